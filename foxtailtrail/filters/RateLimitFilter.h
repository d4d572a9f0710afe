#pragma once

#include "foxtailtrail/filters/RequestContext.h"
#include "foxtailtrail/server/RateLimiter.h"

namespace foxtail {

// Takes one token of the organisation's fleet-wide rate limit. Fails with RateLimited, LimitUnavailable, Overloaded or
// DeadlineExceeded.
class RateLimitFilter final : public RequestFilter {
public:
    explicit RateLimitFilter(RateLimiter&);

    Result<void> apply(RequestContext&) override;

private:
    RateLimiter& rateLimiter;
};

}
