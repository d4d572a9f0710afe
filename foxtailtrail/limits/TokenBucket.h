#pragma once

#include "foxtailtrail/base/Time.h"

namespace foxtail {

// A token bucket that fills at a rate up to a depth. Both may change at any time.
class TokenBucket {
public:
    // Rate is in tokens per second, depth and level in tokens.
    TokenBucket(double rate, double depth, double level, TimePoint now);

    // Adds the tokens for the time since the last call. A time before the last call has no effect.
    void advance(TimePoint now);

    // Changes rate and depth from now on. Tokens above the new depth are dropped.
    void configure(double rate, double depth, TimePoint now);

    // Takes the tokens if the bucket holds them all.
    bool tryTake(double amount, TimePoint now);

    // Removes tokens that are known to be present, or adds some, without advancing the time. Never exceeds the depth.
    void adjust(double amount);

    // Returns the tokens present at the last advance.
    double level() const { return this->tokens; }
    double rate() const { return this->tokensPerSecond; }

private:
    double tokensPerSecond;
    double maxTokens;
    double tokens;
    TimePoint lastAdvancedAt;
};

}
