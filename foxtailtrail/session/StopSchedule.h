#pragma once

#include "foxtailtrail/base/Time.h"

namespace foxtail {

// When a VM that was told to stop ends its sessions, and until when it still begins work for its callers. The load balancer may send new
// sessions to a stopping VM until the end, because it uses all VMs of a data centre when fewer than half of them are ready.
class StopSchedule {
public:
    // Returns the schedule of a VM that was told to stop at the given time and is killed after the grace period.
    static StopSchedule create(TimePoint signalledAt, Duration gracePeriod);

    // Returns true while an operation can be answered within its latency objective before the replies are due. An operation that is
    // refused at once can still be served by another VM. In the first half of the grace period every operation of an open session begins.
    bool canBeginOperation(TimePoint now, Duration latencyObjective) const
    {
        return now < this->abortTransactionsAt || now + latencyObjective <= this->replyAt;
    }
    // Returns true when an open transaction that has been idle since the given time is aborted. An active one may end before the replies
    // are due.
    bool hasToAbortTransaction(TimePoint idleSince, TimePoint now) const;
    // Returns true while new sessions are accepted. Later ones would keep the process from exiting, and other VMs can serve them.
    bool canBeginSession(TimePoint now) const { return now < this->closeIdleAt; }
    // Returns true once a session is closed as soon as it has neither a request nor a transaction.
    bool hasToCloseIdleSessions(TimePoint now) const { return now >= this->closeIdleAt; }
    // Returns true once each outstanding request gets its final reply and all sessions are closed.
    bool hasToEndSessions(TimePoint now) const { return now >= this->replyAt; }

    // The time from which idle sessions are closed. The process exits no earlier.
    TimePoint closeIdleFrom() const { return this->closeIdleAt; }
    // The latest time at which every request has its reply.
    TimePoint replyBy() const { return this->replyAt; }
    // The time at which the process exits at the latest.
    TimePoint exitBy() const { return this->exitAt; }

private:
    StopSchedule() = default;

    TimePoint closeIdleAt {};
    TimePoint abortTransactionsAt {};
    TimePoint replyAt {};
    TimePoint exitAt {};
};

}
