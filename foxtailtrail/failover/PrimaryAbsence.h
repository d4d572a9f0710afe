#pragma once

#include "foxtailtrail/base/Time.h"

#include <optional>

namespace foxtail {

// The time for which a group has no usable primary, and how long statements wait for the next one.
//
// It answers the load of all callers of a group whose primary is lost: each would wait for its whole time limit for a primary that a
// promotion brings later than that. Absences shorter than a lease renewal say nothing about promotions. Once one lasts longer, a statement
// waits only if it may wait as long as the shortest promotion that was observed; the others are refused at once with the time at which a
// primary is expected.
class PrimaryAbsence {
public:
    // Records that a statement found no usable primary.
    void recordMissing(TimePoint now);
    // Records that the primary is usable.
    void recordUsable(TimePoint now);
    // Returns since when statements have found no usable primary.
    const std::optional<TimePoint>& since() const { return this->missingSince; }

    // Returns until when a statement waits that could wait until the given time; not later than now when it cannot be served in time. On an
    // isolated VM, and when a promotion takes longer than expected, another VM may know the primary, so the caller gets a result early.
    TimePoint waitUntil(TimePoint now, TimePoint giveUpAt, bool isIsolated) const;

private:
    std::optional<TimePoint> missingSince;
    // Durations of the absences that a promotion ended, from the loss of a primary to the first statement at its successor.
    Duration shortestPromotion = std::chrono::milliseconds(850);
    Duration usualPromotion = std::chrono::milliseconds(1600);
    bool hasObservedPromotion = false;
};

}
