#include "foxtailtrail/limits/TokenBucket.h"

#include <algorithm>

namespace foxtail {

TokenBucket::TokenBucket(double rate, double depth, double level, TimePoint now)
    : tokensPerSecond(rate)
    , maxTokens(depth)
    , tokens(std::min(level, depth))
    , lastAdvancedAt(now)
{
}

void TokenBucket::advance(TimePoint now)
{
    if (now <= this->lastAdvancedAt)
        return;
    const double seconds = std::chrono::duration<double>(now - this->lastAdvancedAt).count();
    this->tokens = std::min(this->maxTokens, this->tokens + this->tokensPerSecond * seconds);
    this->lastAdvancedAt = now;
}

void TokenBucket::configure(double rate, double depth, TimePoint now)
{
    this->advance(now);
    this->tokensPerSecond = rate;
    this->maxTokens = std::max(0.0, depth);
    this->tokens = std::min(this->tokens, this->maxTokens);
}

bool TokenBucket::tryTake(double amount, TimePoint now)
{
    this->advance(now);
    if (this->tokens < amount)
        return false;
    this->tokens -= amount;
    return true;
}

void TokenBucket::adjust(double amount) { this->tokens = std::clamp(this->tokens + amount, 0.0, this->maxTokens); }

}
