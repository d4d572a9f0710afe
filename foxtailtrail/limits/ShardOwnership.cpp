#include "foxtailtrail/limits/ShardOwnership.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>

namespace foxtail {

namespace {

    const OwnerCandidate* find(const std::vector<OwnerCandidate>& vms, const VmId& id)
    {
        const auto found = std::find_if(vms.begin(), vms.end(), [&](const OwnerCandidate& vm) { return vm.vm == id; });
        return found == vms.end() ? nullptr : &*found;
    }

    bool needsReplacement(const OwnerCandidate* owner, Duration runningSince)
    {
        if (owner == nullptr)
            return runningSince >= ownerHeartbeatTimeout;
        return owner->isLeaving || (!owner->isAlive && owner->heartbeatAge.value_or(runningSince) >= ownerHeartbeatTimeout);
    }

    // The shard that holds the other halves of the limits of a shard.
    uint32_t partnerOf(uint32_t shard) { return (shard + limitShardCount / 2) % limitShardCount; }

    // The VM that is first in the shard's rendezvous order of those that live and stay. The owner of the partner shard comes
    // last.
    const OwnerCandidate* firstInOrder(uint32_t shard, const std::vector<OwnerCandidate>& vms, const VmId& partnerOwner)
    {
        const std::string key = "limit-shard/" + std::to_string(shard);
        const OwnerCandidate* best = nullptr;
        const OwnerCandidate* partner = nullptr;
        for (const OwnerCandidate& vm : vms) {
            if (!vm.isAlive || vm.isLeaving)
                continue;
            if (vm.vm == partnerOwner)
                partner = &vm;
            else if (best == nullptr || rendezvousScore(key, vm.vm.value) > rendezvousScore(key, best->vm.value))
                best = &vm;
        }
        return best != nullptr ? best : partner;
    }

}

std::vector<OwnerProposal> proposeShardOwners(
    const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, Duration runningSince)
{
    // The owners that stay or have been proposed so far, so that partner shards are kept apart.
    std::map<uint32_t, VmId> settled;
    std::vector<uint32_t> due;
    for (uint32_t shard = 0; shard < limitShardCount; ++shard) {
        const auto owner = owners.find(shard);
        const bool isOwned = owner != owners.end();
        if (isOwned ? needsReplacement(find(vms, owner->second.vm), runningSince) : runningSince >= ownerlessShardDelay)
            due.push_back(shard);
        else if (isOwned)
            settled[shard] = owner->second.vm;
    }
    std::vector<OwnerProposal> proposals;
    for (const uint32_t shard : due) {
        const auto partner = settled.find(partnerOf(shard));
        const OwnerCandidate* next = firstInOrder(shard, vms, partner == settled.end() ? VmId() : partner->second);
        if (next == nullptr)
            continue;
        const auto owner = owners.find(shard);
        settled[shard] = next->vm;
        proposals.push_back({ shard, { next->vm, owner == owners.end() ? 1 : owner->second.epoch + 1 } });
    }
    return proposals;
}

}
