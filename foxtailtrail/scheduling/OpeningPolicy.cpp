#include "foxtailtrail/scheduling/OpeningPolicy.h"

namespace foxtail {

namespace {

    // The weight of one observation in a mean.
    constexpr int meanWeight = 16;
    // A connection that has not become free after this many times the expected wait is not expected any more.
    constexpr int expectedWaitMargin = 2;

}

void OpeningPolicy::recordUse(Duration held) { this->meanUse += (held - this->meanUse) / meanWeight; }

void OpeningPolicy::recordOpening(Duration taken) { this->meanOpening += (taken - this->meanOpening) / meanWeight; }

bool OpeningPolicy::shouldOpen(size_t busyConnections, size_t statementsBefore, Duration waited, bool isReplacement) const
{
    if (busyConnections == 0)
        return true;
    const Duration reuseWait
        = this->meanUse * static_cast<Duration::rep>(statementsBefore + 1) / static_cast<Duration::rep>(busyConnections);
    if (waited > reuseWait * expectedWaitMargin)
        return true;
    // The organisation that loses a connection has to open it again.
    return reuseWait > this->meanOpening * (isReplacement ? 2 : 1);
}

}
