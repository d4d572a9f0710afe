#pragma once

#include "foxtailtrail/filters/RequestContext.h"

namespace foxtail {

// Reads the target, the headers and the body of a request. Fails with UnknownRoute, MethodNotAllowed or MalformedRequest.
class ParseFilter final : public RequestFilter {
public:
    // The prefix makes the request ids that this filter generates unique over VMs, their starts and threads.
    ParseFilter(RequestParserSettings, TransactionLimits, std::string requestIdPrefix);

    Result<void> apply(RequestContext&) override;

private:
    Result<void> readTarget(RequestContext&) const;
    Result<void> readHeaders(RequestContext&);

    RequestParserSettings parserSettings;
    TransactionLimits limits;
    std::string requestIdPrefix;
    uint64_t lastRequestId = 0;
};

}
