#include "foxtailtrail/scheduling/HomePlacement.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace foxtail {

HomePlacement::HomePlacement(HomePlacementSettings chosen)
    : settings(chosen)
{
}

void HomePlacement::update(const std::vector<PlacementCandidate>& candidates, TimePoint now)
{
    std::map<VmId, Member> updated;
    for (const PlacementCandidate& candidate : candidates) {
        const auto known = this->members.find(candidate.vm);
        const bool wasAlive = known != this->members.end() && known->second.alive;
        const TimePoint newlyEligible = this->isFirstUpdate ? now : now + this->settings.returnDelay;
        updated[candidate.vm]
            = { candidate.region, candidate.alive, candidate.leaving, wasAlive ? known->second.eligibleFrom : newlyEligible };
    }
    this->members = std::move(updated);
    this->isFirstUpdate = this->isFirstUpdate && candidates.empty();
    this->updatedAt = now;
    std::erase_if(this->passedOver, [&](const PassedOver& entry) { return entry.until <= now; });
}

bool HomePlacement::isPassedOver(const DatabaseId& database, const Region& region, const VmId& vm) const
{
    return std::any_of(this->passedOver.begin(), this->passedOver.end(),
        [&](const PassedOver& entry) { return entry.database == database && entry.region == region && entry.vm == vm; });
}

std::vector<VmId> HomePlacement::order(const DatabaseId& database, const Region& region) const
{
    // Sort by what disqualifies a VM least: a VM passed over, one that has just come back, and one of another region are each
    // used when there is nobody better.
    using Place = std::tuple<bool, bool, bool, uint64_t, VmId>;
    const std::string key = database.value + "/" + region.value;
    std::vector<Place> places;
    for (const auto& [vm, member] : this->members) {
        if (!member.alive || member.leaving)
            continue;
        const bool isNew = this->updatedAt < member.eligibleFrom;
        const uint64_t weight = rendezvousWeight(key, vm.value);
        places.emplace_back(this->isPassedOver(database, region, vm), member.region != region, isNew, ~weight, vm);
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
    const std::vector<VmId> vms = this->order(database, region);
    return vms.empty() ? std::nullopt : std::optional(vms.front());
}

std::optional<VmId> HomePlacement::successor(const DatabaseId& database, const Region& region, const VmId& from) const
{
    for (const VmId& vm : this->order(database, region)) {
        if (vm != from)
            return vm;
    }
    return std::nullopt;
}

void HomePlacement::passOver(const DatabaseId& database, const Region& region, const VmId& vm, TimePoint now)
{
    std::erase_if(
        this->passedOver, [&](const PassedOver& entry) { return entry.database == database && entry.region == region && entry.vm == vm; });
    this->passedOver.push_back({ database, region, vm, now + this->settings.handoverLife });
}

}
