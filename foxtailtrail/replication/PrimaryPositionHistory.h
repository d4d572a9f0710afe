#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <deque>
#include <optional>

namespace foxtail {

// Positions that the primary of a group held at known times while it provably led. Every commit acknowledged before the time
// of a sample is contained in its position, so a replica that holds the position is at most as stale as the sample is old.
class PrimaryPositionHistory {
public:
    // Records a position that the primary reported in answer to a request sent at the given time. A sample of a newer term
    // replaces all of older terms; one of an older term is ignored.
    void recordPosition(LogPoint point, TimePoint sentAt);

    // The lowest position that a read at the given time may require: that of the oldest sample that is not older than the
    // staleness bound, nor than the given moment. Nothing when there is no such sample.
    std::optional<LogPoint> requiredPositionFor(
        TimePoint now, Duration maxStaleness, std::optional<TimePoint> notBefore = std::nullopt) const;

    // A position with the time of the request that it answered.
    struct Sample {
        TimePoint requestSentAt;
        LogPoint logPoint;
    };
    // The newest sample, or nothing.
    std::optional<Sample> newestSample() const { return this->samples.empty() ? std::nullopt : std::optional(this->samples.back()); }

    // The term of the samples, or term 0 when there is none.
    Term term() const { return this->samples.empty() ? Term {} : this->samples.back().logPoint.term; }

    // Forgets the samples, after a change of primary.
    void clear() { this->samples.clear(); }

private:
    std::deque<Sample> samples;
};

}
