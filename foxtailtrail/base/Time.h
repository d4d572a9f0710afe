#pragma once

#include <chrono>
#include <cstdint>

namespace foxtail {

// A duration in microseconds. Settings and messages hold durations; state that is kept over time holds a TimePoint instead.
using Duration = std::chrono::microseconds;

// A monotonic clock without now(). Code that makes decisions receives the current time from its caller.
struct MonotonicClock {
    // NOLINTBEGIN(readability-identifier-naming): the standard library prescribes these names.
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)
};

// A point in time on the monotonic clock of one process. Values of different processes must not be compared.
using TimePoint = MonotonicClock::time_point;

// Converts a duration to whole milliseconds, truncated, for messages and reports.
inline int64_t toMilliseconds(Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); }

}
