#pragma once

#include "foxtailtrail/base/Time.h"

#include <chrono>

namespace foxtail {

// Returns the current time of the monotonic clock.
inline TimePoint now() { return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())); }

// Converts to a time point of std::chrono::steady_clock, which Asio timers and fibers use.
inline std::chrono::steady_clock::time_point toSteady(TimePoint time)
{
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}
