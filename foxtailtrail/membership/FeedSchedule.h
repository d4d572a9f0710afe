#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <random>

namespace foxtail {

// One call for the changes of a table.
struct FeedCall {
    // How long the other side may hold the call open while there are no changes. Zero requests an immediate response.
    Duration hold { 0 };
    // When the call is given up.
    TimePoint giveUpAt {};
};

// Decides how a VM asks for the changes of one table: how long a call may be held open, when it is given up, and when the next one begins.
// A held call tells nothing until it ends, so the longest time that it can take, a lost response and the next call included, is below the
// time within which a change must be known.
class FeedSchedule {
public:
    // Changes often come in bursts, and each response has a cost for every VM, so further changes are collected for this time.
    static constexpr Duration changeBatchDelay = std::chrono::milliseconds(400);
    // With a shorter bound, too little time would be left for a held call.
    static constexpr Duration minBound = std::chrono::milliseconds(1500);

    // The bound is the time from the confirmation of a change until the VM must know it. Calls of VMs with different seeds end at different
    // times. Fails with MalformedRequest when the bound is too short.
    static Result<FeedSchedule> create(Duration bound, uint64_t seed);

    // Returns the next call to the store, which is held no longer than the given time. A VM from which others receive the changes leaves
    // time for passing them on.
    FeedCall nextStoreCall(TimePoint now, bool isReader, Duration longestHold = Duration::max());
    // Returns the next call to a VM that reads the store for this one.
    FeedCall nextReaderCall(TimePoint now) const;
    // Requests an immediate response to the next call, because a call that is held may have been lost.
    void requestImmediateResponse() { this->isImmediate = true; }
    void recordResponse();
    // Records that the store did not serve a call. Returns the delay before the next one.
    Duration recordFailure();
    // Returns true after a failure, until a call is served.
    bool isUnavailable() const { return this->failureCount > 0; }

private:
    FeedSchedule(Duration bound, uint64_t seed);
    // The time that a response takes beyond the hold, before the call is given up.
    Duration replyTimeout() const;

    Duration bound;
    // The reply timeout of a held call, and of the first call after it. It doubles with each failure up to the maximum.
    Duration initialReplyTimeout;
    Duration maxReplyTimeout;
    Duration maxRetryDelay;
    std::minstd_rand random;
    bool isImmediate = false;
    unsigned failureCount = 0;
};

}
