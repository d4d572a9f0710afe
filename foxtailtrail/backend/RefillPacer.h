#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <deque>

namespace foxtail {

// The rate at which a pool may open connections. After a change of primary all pools refill at once, and a new connection costs the
// server about 10 ms of work, so each pool spreads its attempts over time.
struct RefillPacerSettings {
    uint32_t openingsPerInterval = 2;
    Duration interval = std::chrono::milliseconds(10);
};

// Limits the number of connections opened in any interval.
class RefillPacer {
public:
    explicit RefillPacer(RefillPacerSettings);

    // Reserves one attempt and returns its start time, which is not before `now`.
    TimePoint reserve(TimePoint now);

private:
    RefillPacerSettings settings;
    // The latest reserved start times, oldest first; at most openingsPerInterval of them.
    std::deque<TimePoint> reservedStarts;
};

}
