#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <vector>

namespace foxtail {

// Requests counted against an objective.
struct RequestCounts {
    uint64_t total = 0;
    // Not served, for a reason that is not the caller's.
    uint64_t failed = 0;
    // Served, but later than the objective's latency threshold.
    uint64_t slow = 0;

    uint64_t bad() const { return this->failed + this->slow; }
    // The share of requests served well, from 0 to 1. Without requests it is 1.
    double goodShare() const;
    RequestCounts& operator+=(const RequestCounts&);
    bool operator==(const RequestCounts&) const = default;
};

// Counts in buckets of equal length, of which a fixed number is kept.
class CounterRing {
public:
    CounterRing(Duration bucketLength, size_t bucketCount);

    // Adds counts at a time. A time before the newest bucket counts into the newest one.
    void add(const RequestCounts&, TimePoint now);

    // The sum of the buckets that cover the window up to now, the bucket of now included. A window longer than the
    // ring gives what the ring holds.
    RequestCounts sum(TimePoint now, Duration window) const;

private:
    struct Bucket {
        // The number of bucket lengths since the clock's start.
        int64_t number = -1;
        RequestCounts counts;
    };

    int64_t bucketNumberAt(TimePoint now) const { return now.time_since_epoch() / this->bucketLength; }

    Duration bucketLength;
    std::vector<Bucket> buckets;
    int64_t newestBucketNumber = 0;
};

}
