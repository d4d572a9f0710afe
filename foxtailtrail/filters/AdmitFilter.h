#pragma once

#include "foxtailtrail/filters/RequestContext.h"
#include "foxtailtrail/server/LimitGate.h"

namespace foxtail {

// Takes one token of the organisation's fleet-wide limit. Fails with RateLimited, LimitUnavailable, Overloaded or
// DeadlineExceeded.
class AdmitFilter final : public RequestFilter {
public:
    explicit AdmitFilter(LimitGate&);

    Result<void> apply(RequestContext&) override;

private:
    LimitGate& gate;
};

}
