#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <deque>

namespace foxtail {

// How fast a pool may open connections. After a change of primary all pools refill at once, and a new connection costs the
// server about 10 ms of work, so each pool spreads its openings.
struct RefillPacerSettings {
    uint32_t openingsPerInterval = 2;
    Duration interval = std::chrono::milliseconds(10);
};

// Decides when connections may be opened: in any interval at most the given number.
class RefillPacer {
public:
    explicit RefillPacer(RefillPacerSettings);

    // Books one opening and returns when it may start, which is `now` or later.
    TimePoint reserve(TimePoint now);

private:
    RefillPacerSettings settings;
    // The newest bookings, oldest first; at most as many as an interval may hold.
    std::deque<TimePoint> reservedStarts;
};

}
