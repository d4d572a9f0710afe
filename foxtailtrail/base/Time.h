#pragma once

#include <chrono>
#include <cstdint>

namespace foxtail {

// A length of time in microseconds. It appears in settings and messages; state stores a TimePoint instead.
using Duration = std::chrono::microseconds;

// A monotonic clock that has no now(): the caller of a decision always passes the time in.
struct MonotonicClock {
    // NOLINTBEGIN(readability-identifier-naming): the standard library prescribes these names.
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)
};

// A point in time of one process's monotonic clock. Values of two processes are never compared.
using TimePoint = MonotonicClock::time_point;

// Whole milliseconds of a duration, rounded down, for messages and reports.
inline int64_t toMilliseconds(Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); }

}
