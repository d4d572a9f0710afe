#include "foxtailtrail/replication/ReadServerSelector.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    // Weight of a new answer in the moving average.
    constexpr double latencyWeight = 0.1;
    // The price of the bytes of a read over each distance, as microseconds of added answer time.
    constexpr std::array<double, 3> distanceCost { 0, 30'000, 80'000 };
    // A connection that has to be opened first takes a slot of the server for about this many microseconds.
    constexpr double connectionCost = 12'000;
    // Expected time of a statement that waits before this one, in microseconds, per slot of the server.
    constexpr double waitingCost = 20'000;
    // Added to a server in trouble, in microseconds: above any other difference.
    constexpr double troubleCost = 10'000'000;
    constexpr Duration firstAvoidance = std::chrono::milliseconds(100);
    // Doublings of the avoidance; 1.6 s at the most.
    constexpr uint32_t maxAvoidanceDoublings = 4;

}

void ReadServerSelector::recordReply(const BackendServerId& id, Duration latency, TimePoint now)
{
    const bool isFirst = this->statistics.count(id) == 0;
    ServerStatistics& server = this->statistics[id];
    const auto observed = static_cast<double>(latency.count());
    server.averageLatencyUs = isFirst ? observed : server.averageLatencyUs + latencyWeight * (observed - server.averageLatencyUs);
    if (now >= server.deprioritizedUntil)
        server.consecutiveFailures = 0;
}

void ReadServerSelector::deprioritize(const BackendServerId& id, TimePoint now)
{
    ServerStatistics& server = this->statistics[id];
    const uint32_t doublings = std::min(server.consecutiveFailures, maxAvoidanceDoublings);
    server.deprioritizedUntil = now + firstAvoidance * (1 << doublings);
    ++server.consecutiveFailures;
}

double ReadServerSelector::score(const ReadCandidate& candidate, double usualLatency, TimePoint now) const
{
    double cost = distanceCost[static_cast<size_t>(candidate.distance)];
    if (!candidate.hasFreeConnection)
        cost += connectionCost;
    cost += waitingCost * candidate.outstanding / std::max(1U, candidate.slots);
    const auto found = this->statistics.find(candidate.server);
    if (found == this->statistics.end()) {
        cost += usualLatency;
    } else {
        cost += found->second.averageLatencyUs;
        if (now < found->second.deprioritizedUntil)
            cost += troubleCost;
    }
    return cost;
}

std::optional<BackendServerId> ReadServerSelector::choose(
    const std::vector<ReadCandidate>& candidates, const std::vector<BackendServerId>& excluded, TimePoint now) const
{
    // A server that has not answered yet is taken to be as fast as the fastest of the others.
    double usualLatency = 0;
    for (const ReadCandidate& candidate : candidates) {
        const auto found = this->statistics.find(candidate.server);
        if (found != this->statistics.end() && (usualLatency == 0 || found->second.averageLatencyUs < usualLatency))
            usualLatency = found->second.averageLatencyUs;
    }
    const ReadCandidate* best = nullptr;
    double bestScore = 0;
    for (const ReadCandidate& candidate : candidates) {
        if (std::find(excluded.begin(), excluded.end(), candidate.server) != excluded.end())
            continue;
        const double score = this->score(candidate, usualLatency, now);
        if (!best || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best ? std::optional(best->server) : std::nullopt;
}

}
