#include "foxtailtrail/failover/PrimaryAbsence.h"

#include <algorithm>

namespace foxtail {

namespace {

    // A lease renewal, also a repeated one, is over within this time.
    constexpr Duration longestRenewal = std::chrono::milliseconds(300);
    // Limits the wait for a primary when none is expected soon. A lease renewal takes one round trip, about 20 ms across regions.
    constexpr Duration shortWait = std::chrono::milliseconds(80);
    // An absence that lasts this many times the usual promotion has other reasons.
    constexpr int maxPromotionFactor = 2;

}

void PrimaryAbsence::recordMissing(TimePoint now)
{
    if (!this->missingSince)
        this->missingSince = now;
}

void PrimaryAbsence::recordUsable(TimePoint now)
{
    if (!this->missingSince)
        return;
    const Duration lasted = now - *this->missingSince;
    this->missingSince.reset();
    // Neither a renewal nor the absence on a VM that was cut off shows how long a promotion takes.
    if (lasted <= longestRenewal || lasted > this->usualPromotion * maxPromotionFactor)
        return;
    this->shortestPromotion = this->hasObservedPromotion ? std::min(this->shortestPromotion, lasted) : lasted;
    this->usualPromotion = (this->usualPromotion + lasted) / 2;
    this->hasObservedPromotion = true;
}

TimePoint PrimaryAbsence::waitUntil(TimePoint now, TimePoint giveUpAt, bool isIsolated) const
{
    const TimePoint start = this->missingSince.value_or(now);
    if (isIsolated || now >= start + this->usualPromotion)
        return std::min(giveUpAt, now + shortWait);
    if (now < start + longestRenewal)
        return giveUpAt;
    return giveUpAt < start + this->shortestPromotion ? now : giveUpAt;
}

}
