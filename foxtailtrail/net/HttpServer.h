#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/Http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtail {

// The settings of an HttpServer.
struct HttpServerSettings {
    std::string address = "127.0.0.1";
    // 0 lets the operating system choose a port.
    uint16_t port = 0;
    uint64_t maxBodyBytes = uint64_t { 1 } << 20;
    // Limits the time from the first byte of a request to its last, and the time to send a response.
    Duration transferTimeout = std::chrono::seconds(15);
    // Builds the response to a malformed message. It receives only the error and no part of the message.
    std::function<HttpResponse(const Error&)> errorResponse;
    // When this many connections are open, the one that has been idle for longest is closed for each further one.
    size_t maxConnections = 10'000;
    // Sets SO_REUSEPORT, so that several servers, one per traffic thread, share one port.
    bool reusePort = false;
};

// An HTTP/1.1 server on one fiber thread. Each request runs in its own fiber. An idle connection occupies no fiber.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    // Starts to listen. Fails with Internal if the address cannot be bound. The handler runs in fibers of the thread and must not
    // throw.
    static Result<std::unique_ptr<HttpServer>> listen(FiberThread&, HttpServerSettings, Handler);

    // Closes the listener and the idle connections, and waits up to the transfer timeout for running requests.
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    uint16_t port() const;

    // Stops accepting connections and closes idle ones, without waiting for running requests.
    void stopAccepting();
    // Stops accepting connections, closes idle ones, and completes running requests with "Connection: close". Blocks the calling
    // thread or fiber until all connections are closed or the deadline has passed. Returns whether all are closed.
    bool drain(TimePoint deadline);

private:
    class Implementation;
    explicit HttpServer(std::shared_ptr<Implementation>);

    std::shared_ptr<Implementation> implementation;
};

}
