#pragma once

#include "foxtailtrail/filters/RequestContext.h"

namespace foxtail {

// Parses the target, the headers and the body of a request. Fails with UnknownRoute, MethodNotAllowed or MalformedRequest.
class ParseFilter final : public RequestFilter {
public:
    // The prefix makes generated request ids unique across VMs, restarts of a VM and threads.
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
