#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/net/Http.h"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtail {

// Where a server listens.
struct Endpoint {
    std::string address;
    uint16_t port = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
    auto operator<=>(const Endpoint&) const = default;
};

// Counts the bytes that a client has moved, for the report of traffic by purpose.
struct TransferCounters {
    uint64_t sentBytes = 0;
    uint64_t receivedBytes = 0;
};

// A client of one HTTP/1.1 server with a bounded number of kept connections. It belongs to one fiber thread.
class HttpClient {
public:
    explicit HttpClient(Endpoint, size_t maxIdleConnections = 8);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends one request and blocks the calling fiber until the whole answer is there. Fails with PeerUnavailable when no byte
    // of the request can have been acted on (the connection could not be made), and with OutcomeUnknown after that.
    Result<HttpResponse> send(const HttpRequest&, TimePoint deadline);

    const Endpoint& endpoint() const;
    const TransferCounters& counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
