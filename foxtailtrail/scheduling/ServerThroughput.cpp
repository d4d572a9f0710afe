#include "foxtailtrail/scheduling/ServerThroughput.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

namespace {

    // The weight of one reply in the mean.
    constexpr int meanWeight = 32;
    constexpr Duration shortestTimePeriod = std::chrono::seconds(5);
    // A server in another region that only answers from memory needs at most this many times its slots.
    constexpr size_t maxStatementsPerSlot = 4;
    // The silence of a server counts from this many times the mean time of a statement.
    constexpr int silenceFactor = 3;

}

void ServerThroughput::recordReply(TimePoint sentAt, TimePoint now)
{
    const Duration time = std::max(now - sentAt, Duration(1));
    this->repliedAt = now;
    this->meanDeviation += (std::chrono::abs(time - this->meanTime) - this->meanDeviation) / meanWeight;
    this->meanTime += (time - this->meanTime) / meanWeight;
    if (now >= this->periodEndsAt) {
        this->formerShortestTime = this->shortestTime;
        this->shortestTime = Duration::max();
        this->periodEndsAt = now + shortestTimePeriod;
    }
    this->shortestTime = std::min(this->shortestTime, time);
}

size_t ServerThroughput::statementsToKeepBusy(size_t slots) const
{
    // Statements differ in length, so replies come in groups; the square root of the slots bridges that.
    const double spare = std::sqrt(static_cast<double>(slots));
    const Duration travel = std::min(this->shortestTime, this->formerShortestTime);
    double needed = static_cast<double>(slots);
    if (travel != Duration::max()) {
        const Duration workTime = std::max(this->meanTime - travel, Duration(1));
        needed *= static_cast<double>(this->meanTime.count()) / static_cast<double>(workTime.count());
    }
    return static_cast<size_t>(std::ceil(std::min(needed, static_cast<double>(slots * maxStatementsPerSlot)) + spare));
}

ServerPace ServerThroughput::pace(size_t concurrent, bool isFull, TimePoint oldestSentAt, TimePoint now) const
{
    ServerPace pace { this->meanTime, this->meanTime / static_cast<Duration::rep>(std::max<size_t>(1, concurrent)), Duration(0),
        this->meanDeviation };
    // A server that answers some statements is not silent, however long others take.
    const Duration sinceReply = now - std::max(this->repliedAt, oldestSentAt);
    if (isFull && sinceReply > this->meanTime * silenceFactor)
        pace.silence = sinceReply;
    return pace;
}

}
