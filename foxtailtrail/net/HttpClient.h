#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/net/Http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtail {

// The IP address and port that a server listens on.
struct Endpoint {
    std::string address;
    uint16_t port = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
    auto operator<=>(const Endpoint&) const = default;
};

// The bytes that a client has sent and received. The report of traffic by purpose adds them up.
struct TransferCounters {
    uint64_t sentBytes = 0;
    uint64_t receivedBytes = 0;
};

// A client of one HTTP/1.1 server that keeps a bounded number of idle connections. It belongs to one fiber thread.
class HttpClient {
public:
    explicit HttpClient(Endpoint, size_t maxIdleConnections = 8);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Returns whether a request may be sent at this moment.
    using SendCheck = std::function<bool()>;

    // Sends one request and blocks the calling fiber until the complete response has arrived. Fails with PeerUnavailable if no
    // connection could be made, so that the server cannot have received any part of the request, and with OutcomeUnknown on any
    // later failure. Opening a connection may take long, and the process may be suspended meanwhile, so the deadline and the check, if
    // there is one, are evaluated right before the request is written; otherwise nothing is sent, and the request fails with
    // PeerUnavailable.
    Result<HttpResponse> send(const HttpRequest&, TimePoint deadline, const SendCheck& maySend = nullptr);

    // Closes the connections of the requests that wait for a response. The requests fail with OutcomeUnknown.
    void abortRequests();

    const Endpoint& endpoint() const;
    const TransferCounters& counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
