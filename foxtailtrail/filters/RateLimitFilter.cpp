#include "foxtailtrail/filters/RateLimitFilter.h"

namespace foxtail {

RateLimitFilter::RateLimitFilter(RateLimiter& limiter)
    : rateLimiter(limiter)
{
}

Result<void> RateLimitFilter::apply(RequestContext& context)
{
    return this->rateLimiter.admit(context.request.organisation, context.request.deadline);
}

}
