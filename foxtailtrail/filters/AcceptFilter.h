#pragma once

#include "foxtailtrail/filters/RequestContext.h"

namespace foxtail {

// Reads the target, the headers and the body of a request. Fails with UnknownRoute, MethodNotAllowed or MalformedRequest.
class AcceptFilter final : public RequestFilter {
public:
    AcceptFilter(RequestParserSettings, TransactionLimits);

    Result<void> apply(RequestContext&) override;

private:
    Result<void> readTarget(RequestContext&) const;
    Result<void> readHeaders(RequestContext&) const;

    RequestParserSettings parserSettings;
    TransactionLimits limits;
};

}
