#pragma once

#include "foxtailtrail/base/Time.h"

#include <ctime>

namespace foxtail {

// The current time of the clock that goes on while the machine is suspended. Leases, freshness and quotas are measured by it, so
// that a VM that wakes sees that they have run out.
inline TimePoint bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

}
