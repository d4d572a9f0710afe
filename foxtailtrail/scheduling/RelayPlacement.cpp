#include "foxtailtrail/scheduling/RelayPlacement.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Connections wanted for each one that a server accepts from which on they are held by one VM.
    constexpr size_t wantedPerConnection = 10;
    // A choice is kept for this long, as it is asked for with every statement.
    constexpr Duration choiceLife = std::chrono::milliseconds(100);

    double score(const BackendServerId& server, const RelayCandidate& candidate)
    {
        return weightedRendezvousScore(server.value, candidate.vm.value, candidate.processorShare * candidate.processorShare);
    }

}

bool needsRelay(size_t vms, size_t organisations, size_t maxConnections)
{
    return vms * organisations > wantedPerConnection * maxConnections;
}

void RelayPlacement::setCandidates(std::vector<RelayCandidate> live)
{
    if (live == this->candidates)
        return;
    this->candidates = std::move(live);
    this->choices.clear();
}

void RelayPlacement::exclude(const VmId& vm, TimePoint until)
{
    TimePoint& current = this->excludedUntil[vm];
    current = std::max(current, until);
    this->choices.clear();
}

void RelayPlacement::exclude(const VmId& vm, const BackendServerId& server, TimePoint until)
{
    this->excludedUntilByServer[{ vm, server }] = until;
    this->choices.erase(server);
}

std::optional<VmId> RelayPlacement::relayFor(const BackendServerId& server, const DataCentre& place, TimePoint now)
{
    Choice& choice = this->choices[server];
    if (choice.validUntil <= now) {
        std::erase_if(this->excludedUntil, [&](const auto& entry) { return entry.second <= now; });
        std::erase_if(this->excludedUntilByServer, [&](const auto& entry) { return entry.second <= now; });
        choice = Choice { this->choose(server, place, now), now + choiceLife };
    }
    return choice.vm;
}

std::optional<VmId> RelayPlacement::choose(const BackendServerId& server, const DataCentre& place, TimePoint now) const
{
    const std::optional<VmId> inPlace = this->bestCandidate(server, place, false, now);
    return inPlace ? inPlace : this->bestCandidate(server, place, true, now);
}

bool RelayPlacement::isExcluded(const VmId& vm, const BackendServerId& server, TimePoint now) const
{
    const auto always = this->excludedUntil.find(vm);
    const auto here = this->excludedUntilByServer.find({ vm, server });
    return (always != this->excludedUntil.end() && now < always->second)
        || (here != this->excludedUntilByServer.end() && now < here->second);
}

std::optional<VmId> RelayPlacement::bestCandidate(
    const BackendServerId& server, const DataCentre& place, bool wholeRegion, TimePoint now) const
{
    const auto regionOf = [&](const DataCentre& each) {
        const auto found = this->regionByDataCentre.find(each.value);
        return found == this->regionByDataCentre.end() ? std::string() : found->second;
    };
    const RelayCandidate* best = nullptr;
    double bestScore = 0;
    for (const RelayCandidate& candidate : this->candidates) {
        const bool isNear = candidate.dataCentre == place || (wholeRegion && regionOf(candidate.dataCentre) == regionOf(place));
        if (!isNear || this->isExcluded(candidate.vm, server, now))
            continue;
        const double own = score(server, candidate);
        if (!best || own > bestScore) {
            best = &candidate;
            bestScore = own;
        }
    }
    return best ? std::optional(best->vm) : std::nullopt;
}

}
