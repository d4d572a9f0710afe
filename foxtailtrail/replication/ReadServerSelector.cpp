#include "foxtailtrail/replication/ReadServerSelector.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/replication/LoadEstimate.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    // Weight of a new sample in the moving average of the latency.
    constexpr double latencyWeight = 0.1;
    constexpr std::array<double, 3> distanceCostsUs { 0, 30'000, 80'000 };
    // Opening a connection takes a slot of the server for about this many microseconds.
    constexpr double connectionCostUs = 12'000;
    // Expected time of a statement that is queued before this one, in microseconds, per slot of the server.
    constexpr double queueingCostUs = 20'000;
    // Added to a deprioritized server, in microseconds. Exceeds any other difference.
    constexpr double deprioritizedCostUs = 10'000'000;
    constexpr Duration initialDeprioritizationInterval = std::chrono::milliseconds(100);
    // The deprioritization interval doubles up to this many times, to at most 1.6 s.
    constexpr uint32_t maxDeprioritizationDoublings = 4;

}

double distanceCostUs(Distance distance) { return distanceCostsUs[static_cast<size_t>(distance)]; }

void markPreferred(std::vector<ReadCandidate>& candidates, std::string_view organisation)
{
    ReadCandidate* first = nullptr;
    uint64_t firstScore = 0;
    for (ReadCandidate& candidate : candidates) {
        candidate.isPreferredByOrganisation = false;
        const uint64_t score = rendezvousScore(organisation, candidate.server.value);
        if (!first || score > firstScore) {
            first = &candidate;
            firstScore = score;
        }
    }
    if (first)
        first->isPreferredByOrganisation = true;
}

void ReadServerSelector::recordReply(const BackendServerId& id, Duration latency, TimePoint now)
{
    const bool isFirst = this->statistics.count(id) == 0;
    ServerStatistics& server = this->statistics[id];
    const auto observedLatencyUs = static_cast<double>(latency.count());
    server.averageLatencyUs
        = isFirst ? observedLatencyUs : server.averageLatencyUs + latencyWeight * (observedLatencyUs - server.averageLatencyUs);
    if (now >= server.deprioritizedUntil)
        server.consecutiveFailures = 0;
}

void ReadServerSelector::deprioritize(const BackendServerId& id, TimePoint now)
{
    ServerStatistics& server = this->statistics[id];
    const uint32_t doublings = std::min(server.consecutiveFailures, maxDeprioritizationDoublings);
    server.deprioritizedUntil = now + initialDeprioritizationInterval * (1 << doublings);
    ++server.consecutiveFailures;
}

double ReadServerSelector::score(const ReadCandidate& candidate, double defaultLatencyUs, TimePoint now) const
{
    double costUs = distanceCostUs(candidate.distance);
    if (!candidate.hasFreeConnection)
        costUs += connectionCostUs;
    costUs += queueingCostUs * candidate.outstanding / std::max(1U, candidate.slots);
    const auto found = this->statistics.find(candidate.server);
    if (found == this->statistics.end()) {
        costUs += defaultLatencyUs;
    } else {
        costUs += found->second.averageLatencyUs;
        if (now < found->second.deprioritizedUntil)
            costUs += deprioritizedCostUs;
    }
    return costUs;
}

std::optional<BackendServerId> ReadServerSelector::choose(
    const std::vector<ReadCandidate>& candidates, const std::vector<BackendServerId>& excluded, TimePoint now) const
{
    // A server without a recorded reply is assumed to be as fast as the fastest of the others.
    double defaultLatencyUs = 0;
    for (const ReadCandidate& candidate : candidates) {
        const auto found = this->statistics.find(candidate.server);
        if (found != this->statistics.end() && (defaultLatencyUs == 0 || found->second.averageLatencyUs < defaultLatencyUs))
            defaultLatencyUs = found->second.averageLatencyUs;
    }
    const ReadCandidate* best = nullptr;
    double bestScore = 0;
    for (const ReadCandidate& candidate : candidates) {
        if (std::find(excluded.begin(), excluded.end(), candidate.server) != excluded.end())
            continue;
        const double score = this->score(candidate, defaultLatencyUs, now);
        if (!best || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best ? std::optional(best->server) : std::nullopt;
}

bool ReadServerSelector::isDeprioritized(const BackendServerId& id, TimePoint now) const
{
    const auto found = this->statistics.find(id);
    return found != this->statistics.end() && now < found->second.deprioritizedUntil;
}

std::optional<ReadChoice> ReadServerSelector::chooseByLoad(
    const std::vector<ReadCandidate>& candidates, const std::vector<BackendServerId>& excluded, TimePoint now, double draw) const
{
    std::vector<const ReadCandidate*> eligible;
    bool hasReport = false;
    for (const ReadCandidate& candidate : candidates) {
        if (std::find(excluded.begin(), excluded.end(), candidate.server) != excluded.end() || this->isDeprioritized(candidate.server, now))
            continue;
        eligible.push_back(&candidate);
        hasReport = hasReport || candidate.load;
    }
    if (!hasReport) {
        const std::optional<BackendServerId> server = this->choose(candidates, excluded, now);
        return server ? std::optional(ReadChoice { *server }) : std::nullopt;
    }
    const LoadEstimate estimate = LoadEstimate::create(eligible, now);
    const ReadEstimate& selected = estimate.select(draw);
    ReadChoice choice { selected.candidate->server,
        selected.isTrial                        ? ReadChoiceReason::Trial
            : &selected == &estimate.shortest() ? ReadChoiceReason::Shortest
                                                : ReadChoiceReason::Spread };
    if (selected.candidate->load)
        choice.reportAge = std::max(Duration(0), now - selected.candidate->load->takenAt);
    return choice;
}

}
