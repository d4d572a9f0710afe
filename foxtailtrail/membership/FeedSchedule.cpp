#include "foxtailtrail/membership/FeedSchedule.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Bounds a held call of a table on which no promise with a short bound depends.
    constexpr Duration maxHold = std::chrono::seconds(15);
    // Covers a round trip between regions and a slow store.
    constexpr Duration longestReplyTimeout = std::chrono::milliseconds(1200);
    // The delay after a failed call doubles up to the maximum.
    constexpr Duration initialRetryDelay = std::chrono::milliseconds(100);
    constexpr Duration longestRetryDelay = std::chrono::milliseconds(800);
    // With a short bound, timeouts and delays are parts of it: two initial reply timeouts fit in it beside the hold, and after an outage
    // the longest timeout, the longest delay and a response do.
    constexpr int initialReplyTimeoutsPerBound = 5;
    constexpr int retryDelaysPerBound = 5;
    constexpr unsigned maxDoublings = 8;
    // The time in which a change reaches the other VMs of the data centre from the one that read it.
    constexpr Duration passOnTime = std::chrono::milliseconds(300);
    // A hold varies by this part, so that the calls of VMs that began together end at different times.
    constexpr double holdVariation = 0.2;
    // Bounds the time until a VM notices that its reader does not respond, also where changes may be known much later.
    constexpr Duration maxReaderHold = std::chrono::milliseconds(2500);
    // Covers a round trip within the data centre, and a reader that has used up its processor quota.
    constexpr Duration readerReplyTimeout = std::chrono::milliseconds(700);

}

Result<FeedSchedule> FeedSchedule::create(Duration bound, uint64_t seed)
{
    if (bound < minBound)
        return fail(ErrorKind::MalformedRequest,
            "changes must be known within " + std::to_string(toMilliseconds(bound)) + " ms; at least "
                + std::to_string(toMilliseconds(minBound)) + " ms are needed");
    return FeedSchedule(bound, seed);
}

FeedSchedule::FeedSchedule(Duration bound, uint64_t seed)
    : bound(bound)
    , initialReplyTimeout(std::min(longestReplyTimeout, bound / initialReplyTimeoutsPerBound))
    , maxReplyTimeout(std::min(longestReplyTimeout, 2 * this->initialReplyTimeout))
    , maxRetryDelay(std::min(longestRetryDelay, bound / retryDelaysPerBound))
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

Duration FeedSchedule::replyTimeout() const
{
    return std::min(this->maxReplyTimeout, this->initialReplyTimeout * (1 << std::min(this->failureCount, maxDoublings)));
}

FeedCall FeedSchedule::nextStoreCall(TimePoint now, bool isReader, Duration longestHold)
{
    // The first call after a failure is not held, because only its response shows whether the store serves this VM again.
    if (this->isImmediate || this->isUnavailable())
        return { Duration(0), now + this->replyTimeout() };
    // A change may be confirmed just before the call begins, while a batch is collected. The call is lost, and the next one is not held.
    const Duration longest
        = this->bound - changeBatchDelay - 2 * this->initialReplyTimeout - initialRetryDelay - (isReader ? passOnTime : Duration(0));
    const double part = 1 - holdVariation * std::uniform_real_distribution<double>(0, 1)(this->random);
    const auto varied = Duration(static_cast<Duration::rep>(static_cast<double>(longest.count()) * part));
    const Duration hold = std::clamp(std::min(varied, longestHold), Duration(0), maxHold);
    return { hold, now + hold + this->initialReplyTimeout };
}

FeedCall FeedSchedule::nextReaderCall(TimePoint now) const
{
    // When the reader does not respond, the store is asked at once.
    const Duration longest = this->bound - changeBatchDelay - readerReplyTimeout - this->initialReplyTimeout;
    const Duration hold = std::clamp(longest, Duration(0), maxReaderHold);
    return { hold, now + hold + readerReplyTimeout };
}

void FeedSchedule::recordResponse()
{
    this->failureCount = 0;
    this->isImmediate = false;
}

Duration FeedSchedule::recordFailure()
{
    const Duration delay = std::min(this->maxRetryDelay, initialRetryDelay * (1 << std::min(this->failureCount, maxDoublings)));
    ++this->failureCount;
    return delay;
}

}
