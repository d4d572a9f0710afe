#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <deque>
#include <optional>

namespace foxtail {

// The number of samples and their interval. Their product is the greatest staleness that can be determined.
struct ReplicaFreshnessSettings {
    size_t capacity = 512;
    Duration sampleInterval = std::chrono::milliseconds(50);
};

// The samples of the primary's log point that determine up to which time a replica holds all acknowledged writes. All times
// are of this VM's own clock, so clocks of different machines are never compared.
class ReplicaFreshness {
public:
    explicit ReplicaFreshness(ReplicaFreshnessSettings = {});

    // Records the log point that a primary reported in reply to a request sent at the given time.
    void record(TimePoint sentAt, LogPoint primaryLogPoint);

    // Records that a majority of the group was still in the term at the given time or later. Samples count only once they
    // are confirmed: a replaced primary that still answers would otherwise make its replicas look current.
    void confirm(Term, TimePoint confirmedAt);

    // Returns the latest time whose acknowledged writes a server at this log point holds. Empty when it is unknown.
    std::optional<TimePoint> freshAsOf(LogPoint held) const;

private:
    struct Sample {
        TimePoint sentAt;
        LogPoint logPoint;
        bool isConfirmed = false;
    };

    ReplicaFreshnessSettings settings;
    std::deque<Sample> samples;
};

}
