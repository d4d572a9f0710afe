#include "foxtailtrail/scheduling/RelayPlacement.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Connections are relayed if more than this many are wanted for each one that the server accepts.
    constexpr size_t maxWantedPerConnection = 4;
    // A choice is cached for this time, because it is needed for every statement.
    constexpr Duration choiceLifetime = std::chrono::milliseconds(100);

    double score(const BackendServerId& server, const RelayCandidate& candidate)
    {
        return weightedRendezvousScore(server.value, candidate.vm.value, candidate.processorShare * candidate.processorShare);
    }

}

bool needsRelay(size_t vmCount, size_t organisationCount, size_t maxConnections)
{
    return vmCount * organisationCount > maxWantedPerConnection * maxConnections;
}

void RelayPlacement::setCandidates(std::vector<RelayCandidate> aliveCandidates)
{
    if (aliveCandidates == this->candidates)
        return;
    this->candidates = std::move(aliveCandidates);
    this->choices.clear();
}

void RelayPlacement::exclude(const VmId& vm)
{
    this->excludedVms.insert(vm);
    this->choices.clear();
}

void RelayPlacement::admit(const VmId& vm)
{
    this->excludedVms.erase(vm);
    this->choices.clear();
}

void RelayPlacement::exclude(const VmId& vm, const BackendServerId& server, TimePoint until)
{
    this->excludedUntilByServer[{ vm, server }] = until;
    this->choices.erase(server);
}

std::optional<VmId> RelayPlacement::relayFor(const BackendServerId& server, const DataCentre& serverDataCentre, TimePoint now)
{
    Choice& choice = this->choices[server];
    if (choice.validUntil <= now) {
        std::erase_if(this->excludedUntilByServer, [&](const auto& entry) { return entry.second <= now; });
        choice = Choice { this->choose(server, serverDataCentre, now), now + choiceLifetime };
    }
    return choice.vm;
}

std::optional<VmId> RelayPlacement::choose(const BackendServerId& server, const DataCentre& serverDataCentre, TimePoint now) const
{
    const std::optional<VmId> sameDataCentreVm = this->bestCandidate(server, serverDataCentre, false, now);
    return sameDataCentreVm ? sameDataCentreVm : this->bestCandidate(server, serverDataCentre, true, now);
}

bool RelayPlacement::isExcluded(const VmId& vm, const BackendServerId& server, TimePoint now) const
{
    const auto serverExclusion = this->excludedUntilByServer.find({ vm, server });
    return this->excludedVms.count(vm) > 0 || (serverExclusion != this->excludedUntilByServer.end() && now < serverExclusion->second);
}

std::optional<VmId> RelayPlacement::bestCandidate(
    const BackendServerId& server, const DataCentre& serverDataCentre, bool isRegionWide, TimePoint now) const
{
    const auto regionOf = [&](const DataCentre& each) {
        const auto found = this->regionByDataCentre.find(each.value);
        return found == this->regionByDataCentre.end() ? std::string() : found->second;
    };
    const RelayCandidate* best = nullptr;
    double bestScore = 0;
    for (const RelayCandidate& candidate : this->candidates) {
        const bool isNear
            = candidate.dataCentre == serverDataCentre || (isRegionWide && regionOf(candidate.dataCentre) == regionOf(serverDataCentre));
        if (!isNear || this->isExcluded(candidate.vm, server, now))
            continue;
        const double candidateScore = score(server, candidate);
        if (!best || candidateScore > bestScore) {
            best = &candidate;
            bestScore = candidateScore;
        }
    }
    return best ? std::optional(best->vm) : std::nullopt;
}

}
