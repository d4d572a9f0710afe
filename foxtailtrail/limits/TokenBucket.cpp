#include "foxtailtrail/limits/TokenBucket.h"

#include <algorithm>

namespace foxtail {

TokenBucket::TokenBucket(double rate, double depth, double level, TimePoint now)
    : tokensPerSecond(rate)
    , maximum(depth)
    , tokens(std::min(level, depth))
    , advancedTo(now)
{
}

void TokenBucket::advance(TimePoint now)
{
    if (now <= this->advancedTo)
        return;
    const double seconds = std::chrono::duration<double>(now - this->advancedTo).count();
    this->tokens = std::min(this->maximum, this->tokens + this->tokensPerSecond * seconds);
    this->advancedTo = now;
}

void TokenBucket::configure(double rate, double depth, TimePoint now)
{
    this->advance(now);
    this->tokensPerSecond = rate;
    this->maximum = std::max(0.0, depth);
    this->tokens = std::min(this->tokens, this->maximum);
}

bool TokenBucket::take(double amount, TimePoint now)
{
    this->advance(now);
    if (this->tokens < amount)
        return false;
    this->tokens -= amount;
    return true;
}

void TokenBucket::adjust(double amount) { this->tokens = std::clamp(this->tokens + amount, 0.0, this->maximum); }

}
