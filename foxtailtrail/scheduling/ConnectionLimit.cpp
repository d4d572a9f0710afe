#include "foxtailtrail/scheduling/ConnectionLimit.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Delay before the next opening after a refusal.
    constexpr Duration initialDelay = std::chrono::milliseconds(60);
    // The delay before the limit is exceeded doubles with each refusal up to this many times.
    constexpr unsigned maxDoublings = 3;
    // An opening without an outcome after this time no longer prevents the next try.
    constexpr Duration openingTimeout = std::chrono::milliseconds(500);

}

void ConnectionLimit::recordAttempt(size_t size, TimePoint now)
{
    if (size >= this->limit)
        this->nextTryAt = std::max(this->nextTryAt, now + openingTimeout);
}

void ConnectionLimit::recordRefusal(size_t held, TimePoint now, double jitter)
{
    this->limit = held;
    this->pauseEndsAt = now + Duration(static_cast<Duration::rep>(static_cast<double>(initialDelay.count()) * (0.5 + jitter)));
    // A VM without a connection can serve nothing, so its delay does not grow.
    const unsigned doublings = held == 0 ? 0 : std::min(this->consecutiveRefusals, maxDoublings);
    this->nextTryAt = now + (this->pauseEndsAt - now) * (1 << doublings);
    ++this->consecutiveRefusals;
}

void ConnectionLimit::recordOpening(size_t held, TimePoint now)
{
    if (held <= this->limit)
        return;
    this->limit = held;
    this->consecutiveRefusals = 0;
    this->nextTryAt = now;
}

}
