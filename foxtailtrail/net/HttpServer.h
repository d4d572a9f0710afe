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

// What an HttpServer is built from.
struct HttpServerSettings {
    std::string address = "127.0.0.1";
    // 0 lets the system pick a port.
    uint16_t port = 0;
    uint64_t maxBodyBytes = uint64_t { 1 } << 20;
    // The longest time for a request to arrive in full after its first byte, and for an answer to be taken.
    Duration transferTimeout = std::chrono::seconds(15);
    // Builds the answer to a message that cannot be read; it gets the error and nothing of the message.
    std::function<HttpResponse(const Error&)> errorResponse;
    // Lets several servers share one port, one per traffic thread.
    bool reusePort = false;
};

// An HTTP/1.1 server on one fiber thread. A request runs in a fiber of its own; an idle connection holds no fiber.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    // Starts to listen. Fails with Internal when the address cannot be bound. The handler runs in fibers of the thread and
    // must not throw.
    static Result<std::unique_ptr<HttpServer>> listen(FiberThread&, HttpServerSettings, Handler);

    // Closes the listener and the idle connections. Waits for running requests if drain() did not.
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    uint16_t port() const;

    // Refuses new connections, closes idle ones, and lets running requests end with "Connection: close". Blocks the calling
    // thread or fiber until all have ended or the deadline has passed. Returns true when none is left.
    bool drain(TimePoint deadline);

private:
    class Implementation;
    explicit HttpServer(std::shared_ptr<Implementation>);

    std::shared_ptr<Implementation> implementation;
};

}
