#pragma once

#include "foxtailtrail/base/Time.h"

#include <ctime>

namespace foxtail {

// Returns the current time of CLOCK_BOOTTIME, which also advances while the machine is suspended. Leases, freshness and quotas use it, so
// that they have expired when a suspended VM resumes.
inline TimePoint bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

}
