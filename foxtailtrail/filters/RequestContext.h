#pragma once

#include "foxtailtrail/execution/RequestParser.h"
#include "foxtailtrail/execution/Transaction.h"
#include "foxtailtrail/net/Http.h"
#include "foxtailtrail/server/ControlSnapshot.h"

#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// What a caller asks for.
enum class RequestKind : uint8_t {
    Read,
    Write,
    // GET of a request id: did that write run?
    Status,
};

// One request of a caller on its way through the filters. Each filter fills in what the next ones need.
struct RequestContext {
    const HttpRequest& http;
    TimePoint arrivedAt;
    // The configuration that the whole request is judged by.
    std::shared_ptr<const ControlSnapshot> snapshot;

    // Set by AcceptFilter.
    RequestKind kind = RequestKind::Read;
    ServiceName serviceName;
    RequestHeaders headers;
    TransactionRequest request;

    // Set by AuthenticateFilter. Points into the snapshot.
    const Service* service = nullptr;

    // Set by RouteFilter.
    std::optional<TransactionAnswer> answer;
    std::optional<HasRun> status;
    std::string statusDetail;
};

// One step of the request path. A filter that fails ends the request with its error.
class RequestFilter {
public:
    RequestFilter() = default;
    RequestFilter(const RequestFilter&) = delete;
    RequestFilter& operator=(const RequestFilter&) = delete;
    virtual ~RequestFilter() = default;

    // Runs in a fiber of a traffic thread and may block it.
    virtual Result<void> apply(RequestContext&) = 0;
};

}
