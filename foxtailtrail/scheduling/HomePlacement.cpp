#include "foxtailtrail/scheduling/HomePlacement.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace foxtail {

HomePlacement::HomePlacement(HomePlacementSettings initialSettings, VmId ownId)
    : settings(initialSettings)
    , self(std::move(ownId))
{
}

// Returns when a VM that was not alive before may become a home.
TimePoint HomePlacement::firstEligibleAt(const VmId& vm, TimePoint now) const
{
    const bool wasAliveBefore = vm != this->self && now < *this->startedAt + this->settings.startupDelay;
    return wasAliveBefore ? now : now + this->settings.rejoinDelay;
}

void HomePlacement::update(const std::vector<PlacementCandidate>& candidates, TimePoint now)
{
    if (!this->startedAt)
        this->startedAt = now;
    std::map<VmId, Member> updated;
    for (const PlacementCandidate& candidate : candidates) {
        const auto previous = this->members.find(candidate.vm);
        const bool wasAlive = previous != this->members.end() && previous->second.isAlive;
        const TimePoint memberEligibleAt = wasAlive ? previous->second.eligibleAt : this->firstEligibleAt(candidate.vm, now);
        updated[candidate.vm] = { candidate.region, candidate.isAlive, candidate.isLeaving, memberEligibleAt };
    }
    this->members = std::move(updated);
    this->updatedAt = now;
    std::erase_if(this->exclusions, [&](const Exclusion& entry) { return entry.until <= now; });
}

bool HomePlacement::isExcluded(const DatabaseId& database, const Region& region, const VmId& vm) const
{
    return std::any_of(this->exclusions.begin(), this->exclusions.end(),
        [&](const Exclusion& entry) { return entry.database == database && entry.region == region && entry.vm == vm; });
}

std::vector<VmId> HomePlacement::orderedVms(const DatabaseId& database, const Region& region) const
{
    // Sorts the least disqualified VMs first: an excluded VM, one of another region and one that has just rejoined are used only if
    // there is no better one.
    using RankedVm = std::tuple<bool, bool, bool, uint64_t, VmId>;
    const std::string key = database.value + "/" + region.value;
    std::vector<RankedVm> rankedVms;
    for (const auto& [vm, member] : this->members) {
        if (!member.isAlive || member.isLeaving)
            continue;
        const bool isRejoining = this->updatedAt < member.eligibleAt;
        const uint64_t score = rendezvousScore(key, vm.value);
        rankedVms.emplace_back(this->isExcluded(database, region, vm), member.region != region, isRejoining, ~score, vm);
    }
    std::sort(rankedVms.begin(), rankedVms.end());
    std::vector<VmId> vms;
    vms.reserve(rankedVms.size());
    for (const RankedVm& rankedVm : rankedVms)
        vms.push_back(std::get<VmId>(rankedVm));
    return vms;
}

std::optional<VmId> HomePlacement::home(const DatabaseId& database, const Region& region) const
{
    const bool hasStartupDelayPassed = this->startedAt && this->updatedAt >= *this->startedAt + this->settings.startupDelay;
    const std::vector<VmId> vms = hasStartupDelayPassed ? this->orderedVms(database, region) : std::vector<VmId> {};
    return vms.empty() ? std::nullopt : std::optional(vms.front());
}

std::optional<VmId> HomePlacement::nextHome(const DatabaseId& database, const Region& region, const VmId& from) const
{
    for (const VmId& vm : this->orderedVms(database, region)) {
        if (vm != from)
            return vm;
    }
    return std::nullopt;
}

void HomePlacement::exclude(const DatabaseId& database, const Region& region, const VmId& vm, TimePoint now)
{
    std::erase_if(
        this->exclusions, [&](const Exclusion& entry) { return entry.database == database && entry.region == region && entry.vm == vm; });
    this->exclusions.push_back({ database, region, vm, now + this->settings.exclusionLifetime });
}

}
