#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <vector>

namespace foxtail {

// Counts of requests by their outcome.
struct RequestCounts {
    uint64_t total = 0;
    // Requests that failed for a reason that counts against the service.
    uint64_t failed = 0;
    // Requests that succeeded, but took longer than the latency threshold of the objective.
    uint64_t slow = 0;

    uint64_t bad() const { return this->failed + this->slow; }
    // Returns the share of requests that were neither failed nor slow, from 0 to 1. Returns 1 if there are no requests.
    double goodShare() const;
    RequestCounts& operator+=(const RequestCounts&);
    bool operator==(const RequestCounts&) const = default;
};

// A ring buffer of request counts in a fixed number of time buckets of equal length.
class CounterRing {
public:
    CounterRing(Duration bucketLength, size_t bucketCount);

    // Adds counts to the bucket of the given time. If that time lies before the newest bucket, adds them to the newest bucket.
    void add(const RequestCounts&, TimePoint now);

    // Returns the sum of the buckets of the window that ends now, including the current bucket. If the window is longer than the ring,
    // returns the sum of all buckets in the ring.
    RequestCounts sum(TimePoint now, Duration window) const;

private:
    struct Bucket {
        // The number of bucket lengths since the epoch of the clock, or -1 if the bucket has not been used.
        int64_t number = -1;
        RequestCounts counts;
    };

    int64_t bucketNumberAt(TimePoint now) const { return now.time_since_epoch() / this->bucketLength; }

    Duration bucketLength;
    std::vector<Bucket> buckets;
    int64_t newestBucketNumber = 0;
};

}
