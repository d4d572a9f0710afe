#include "foxtailtrail/burn/CounterRing.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

double RequestCounts::goodShare() const
{
    return this->total == 0 ? 1 : 1 - static_cast<double>(this->bad()) / static_cast<double>(this->total);
}

RequestCounts& RequestCounts::operator+=(const RequestCounts& other)
{
    this->total += other.total;
    this->failed += other.failed;
    this->slow += other.slow;
    return *this;
}

CounterRing::CounterRing(Duration bucketLength, size_t bucketCount)
    : bucketLength(bucketLength)
    , buckets(bucketCount)
{
    assert(bucketLength.count() > 0 && bucketCount > 0);
}

void CounterRing::add(const RequestCounts& counts, TimePoint now)
{
    this->newestBucketNumber = std::max(this->newestBucketNumber, this->bucketNumberAt(now));
    Bucket& bucket = this->buckets[static_cast<size_t>(this->newestBucketNumber) % this->buckets.size()];
    if (bucket.number != this->newestBucketNumber)
        bucket = { this->newestBucketNumber, {} };
    bucket.counts += counts;
}

RequestCounts CounterRing::sum(TimePoint now, Duration window) const
{
    const int64_t lastBucketNumber = std::max(this->newestBucketNumber, this->bucketNumberAt(now));
    const int64_t firstBucketNumber = lastBucketNumber - window / this->bucketLength + 1;
    RequestCounts total;
    for (const Bucket& bucket : this->buckets) {
        if (bucket.number >= 0 && bucket.number >= firstBucketNumber && bucket.number <= lastBucketNumber)
            total += bucket.counts;
    }
    return total;
}

}
