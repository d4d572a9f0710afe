#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/scheduling/StatementQueue.h"

#include <cstddef>

namespace foxtail {

// The observed speed of one backend server, and how many statements keep its slots busy.
//
// A server runs as many statements at a time as it has slots and queues the others in the order of their arrival, without regard to their
// objectives. So this VM sends it only what its slots can run, and as much more as they need while replies and the next statements travel.
class ServerThroughput {
public:
    // Handles the reply to a statement, with the time at which the statement was sent.
    void recordReply(TimePoint sentAt, TimePoint now);

    // Returns the mean time from the sending of a statement to its reply.
    Duration statementTime() const { return this->meanTime; }
    // Returns the number of statements that keep the slots busy.
    size_t statementsToKeepBusy(size_t slots) const;
    // Returns the pace for this number of statements at a time; the oldest one without a reply was sent at the given time.
    ServerPace pace(size_t concurrent, bool isFull, TimePoint oldestSentAt, TimePoint now) const;

private:
    // An estimate until replies arrive: a statement of usual length at a server in the same region.
    Duration meanTime = std::chrono::milliseconds(12);
    Duration meanDeviation = std::chrono::milliseconds(6);
    // The shortest time to a reply in this period and in the one before, which shows the time of travel.
    Duration shortestTime = Duration::max();
    Duration formerShortestTime = Duration::max();
    TimePoint periodEndsAt {};
    TimePoint repliedAt {};
};

}
