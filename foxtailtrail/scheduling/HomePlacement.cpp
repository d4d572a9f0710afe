#include "foxtailtrail/scheduling/HomePlacement.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace foxtail {

HomePlacement::HomePlacement(HomePlacementSettings chosen, VmId ownId)
    : settings(chosen)
    , self(std::move(ownId))
{
}

// When a VM that was not alive before may get homes.
TimePoint HomePlacement::firstEligibleAt(const VmId& vm, TimePoint now) const
{
    const bool wasThereBefore = vm != this->self && now < *this->startedAt + this->settings.startupDelay;
    return wasThereBefore ? now : now + this->settings.rejoinDelay;
}

void HomePlacement::update(const std::vector<PlacementCandidate>& candidates, TimePoint now)
{
    if (!this->startedAt)
        this->startedAt = now;
    std::map<VmId, Member> updated;
    for (const PlacementCandidate& candidate : candidates) {
        const auto known = this->members.find(candidate.vm);
        const bool wasAlive = known != this->members.end() && known->second.isAlive;
        const TimePoint from = wasAlive ? known->second.eligibleAt : this->firstEligibleAt(candidate.vm, now);
        updated[candidate.vm] = { candidate.region, candidate.isAlive, candidate.isLeaving, from };
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
    // Sort by what disqualifies a VM least: a VM passed over, one that has just come back, and one of another region are each
    // used when there is nobody better.
    using Place = std::tuple<bool, bool, bool, uint64_t, VmId>;
    const std::string key = database.value + "/" + region.value;
    std::vector<Place> places;
    for (const auto& [vm, member] : this->members) {
        if (!member.isAlive || member.isLeaving)
            continue;
        const bool isNew = this->updatedAt < member.eligibleAt;
        const uint64_t weight = rendezvousScore(key, vm.value);
        places.emplace_back(this->isExcluded(database, region, vm), member.region != region, isNew, ~weight, vm);
    }
    std::sort(places.begin(), places.end());
    std::vector<VmId> vms;
    vms.reserve(places.size());
    for (const Place& place : places)
        vms.push_back(std::get<VmId>(place));
    return vms;
}

std::optional<VmId> HomePlacement::home(const DatabaseId& database, const Region& region) const
{
    const bool isSettled = this->startedAt && this->updatedAt >= *this->startedAt + this->settings.startupDelay;
    const std::vector<VmId> vms = isSettled ? this->orderedVms(database, region) : std::vector<VmId> {};
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
