#pragma once

#include "foxtailtrail/execution/RequestParser.h"
#include "foxtailtrail/execution/Transaction.h"
#include "foxtailtrail/net/Http.h"
#include "foxtailtrail/server/ControlSnapshot.h"

#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// The operation that a client requests.
enum class RequestKind : uint8_t {
    Read,
    Write,
    // GET of a request id, which reports whether that write has run.
    Status,
};

// A client request and the state that the filters add to it. Each filter sets the members that later filters need.
struct RequestContext {
    const HttpRequest& http;
    TimePoint arrivedAt;
    // The snapshot that all filters use, so that one configuration version applies to the whole request.
    std::shared_ptr<const ControlSnapshot> snapshot;

    // Set by ParseFilter.
    RequestKind kind = RequestKind::Read;
    ServiceName serviceName;
    RequestHeaders headers;
    TransactionRequest request;

    // Set by AuthenticateFilter. Owned by the snapshot.
    const Service* service = nullptr;

    // Set by RouteFilter.
    std::optional<TransactionAnswer> answer;
    std::optional<HasRun> status;
    std::string statusDetail;
};

// A step of request processing. If a filter fails, the request ends with its error.
class RequestFilter {
public:
    RequestFilter() = default;
    RequestFilter(const RequestFilter&) = delete;
    RequestFilter& operator=(const RequestFilter&) = delete;
    virtual ~RequestFilter() = default;

    // Runs on a fiber of a traffic thread and may block that fiber.
    virtual Result<void> apply(RequestContext&) = 0;
};

}
