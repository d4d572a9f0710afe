#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <deque>
#include <optional>

namespace foxtail {

// Positions that the primary of a group held at known times while it was proven to lead. The position of a sample contains
// every commit acknowledged before the time of the sample, so a replica that holds the position is at most as stale as the
// sample is old.
class PrimaryPositionHistory {
public:
    // Records a position that the primary reported in reply to a request sent at the given time. A sample of a newer term
    // replaces all samples of older terms; a sample of an older term is ignored.
    void recordPosition(LogPoint point, TimePoint sentAt);

    // Returns the lowest position that a read at time `now` may require: that of the oldest sample that is within the
    // staleness bound and, when earliestSampleAt is set, not older than that. Returns std::nullopt when there is no such
    // sample.
    std::optional<LogPoint> requiredPositionFor(
        TimePoint now, Duration maxStaleness, std::optional<TimePoint> earliestSampleAt = std::nullopt) const;

    // A position and the send time of the request that it answered.
    struct Sample {
        TimePoint requestSentAt;
        LogPoint logPoint;
    };
    // Returns the newest sample, or std::nullopt.
    std::optional<Sample> newestSample() const { return this->samples.empty() ? std::nullopt : std::optional(this->samples.back()); }

    // Returns the term of the samples, or term 0 when there are none.
    Term term() const { return this->samples.empty() ? Term {} : this->samples.back().logPoint.term; }

    // Removes all samples after a change of primary.
    void clear() { this->samples.clear(); }

private:
    std::deque<Sample> samples;
};

}
