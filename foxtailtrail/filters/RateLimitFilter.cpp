#include "foxtailtrail/filters/RateLimitFilter.h"

namespace foxtail {

RateLimitFilter::RateLimitFilter(RateLimiter& gate)
    : rateLimiter(gate)
{
}

Result<void> RateLimitFilter::apply(RequestContext& context)
{
    return this->rateLimiter.admit(context.request.organisation, context.request.deadline);
}

}
