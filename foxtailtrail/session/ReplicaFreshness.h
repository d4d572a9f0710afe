#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <deque>
#include <optional>

namespace foxtail {

// How many samples are kept and how far apart they are. Their product is the oldest age that can be told.
struct ReplicaFreshnessSettings {
    size_t capacity = 512;
    Duration sampleInterval = std::chrono::milliseconds(50);
};

// Tells up to which moment a replica holds all acknowledged writes, from samples of the primary's log point. All times
// are of this VM's own clock, so no clock of another machine is compared.
class ReplicaFreshness {
public:
    explicit ReplicaFreshness(ReplicaFreshnessSettings = {});

    // Adds the log point that a primary reported in answer to a request sent at the given time.
    void record(TimePoint sentAt, LogPoint primary);

    // Says that a majority of the group was still in the term at the given time or later. Samples count only from then
    // on: a replaced primary that still answers would otherwise make its replicas look current.
    void confirm(Term, TimePoint confirmedAt);

    // The latest moment whose acknowledged writes a server at this log point holds. Empty when it is not known.
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
