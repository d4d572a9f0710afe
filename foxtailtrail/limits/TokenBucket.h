#pragma once

#include "foxtailtrail/base/Time.h"

namespace foxtail {

// A bucket of tokens that fills at a rate up to a depth. Both may change at any time.
class TokenBucket {
public:
    // Rate is in tokens per second, depth and level in tokens.
    TokenBucket(double rate, double depth, double level, TimePoint now);

    // Adds the tokens of the time since the last call. A time before the last call changes nothing.
    void advance(TimePoint now);

    // Changes rate and depth from now on. Tokens above the new depth are dropped.
    void configure(double rate, double depth, TimePoint now);

    // Takes the tokens if the bucket holds them all.
    bool tryTake(double tokens, TimePoint now);

    // Takes tokens that are known to be present, or puts some back, without passing time. Never exceeds the depth.
    void adjust(double tokens);

    // The tokens present at the last advance.
    double level() const { return this->tokens; }
    double rate() const { return this->tokensPerSecond; }

private:
    double tokensPerSecond;
    double maxTokens;
    double tokens;
    TimePoint lastAdvancedAt;
};

}
