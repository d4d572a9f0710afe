#pragma once

#include "foxtailtrail/base/Time.h"

#include <chrono>

namespace foxtail {

// The current time of this process's monotonic clock.
inline TimePoint now() { return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())); }

// The same moment as a time point of the standard monotonic clock, for Asio timers.
inline std::chrono::steady_clock::time_point toSteady(TimePoint time)
{
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}
