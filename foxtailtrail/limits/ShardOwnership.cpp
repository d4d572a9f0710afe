#include "foxtailtrail/limits/ShardOwnership.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>

namespace foxtail {

namespace {

    const OwnerCandidate* findVm(const std::vector<OwnerCandidate>& vms, const VmId& id)
    {
        const auto found = std::find_if(vms.begin(), vms.end(), [&](const OwnerCandidate& vm) { return vm.vm == id; });
        return found == vms.end() ? nullptr : &*found;
    }

    bool needsReplacement(const OwnerCandidate* owner, Duration runningFor)
    {
        if (owner == nullptr)
            return runningFor >= ownerHeartbeatTimeout;
        return owner->isLeaving || (!owner->isAlive && owner->heartbeatAge.value_or(runningFor) >= ownerHeartbeatTimeout);
    }

    // Returns the shard that holds the other halves of the limits of a shard.
    uint32_t partnerShardOf(uint32_t shard) { return (shard + limitShardCount / 2) % limitShardCount; }

    // Returns the VM that is first in the shard's rendezvous order of those that are alive and not leaving. The owner of the
    // partner shard comes last.
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
    const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, Duration runningFor)
{
    // The owners that stay or have been proposed so far, which keeps partner shards apart.
    std::map<uint32_t, VmId> ownerByShard;
    std::vector<uint32_t> shardsToAssign;
    for (uint32_t shard = 0; shard < limitShardCount; ++shard) {
        const auto owner = owners.find(shard);
        const bool isOwned = owner != owners.end();
        if (isOwned ? needsReplacement(findVm(vms, owner->second.vm), runningFor) : runningFor >= ownerlessShardDelay)
            shardsToAssign.push_back(shard);
        else if (isOwned)
            ownerByShard[shard] = owner->second.vm;
    }
    std::vector<OwnerProposal> proposals;
    for (const uint32_t shard : shardsToAssign) {
        const auto partner = ownerByShard.find(partnerShardOf(shard));
        const OwnerCandidate* newOwner = firstInOrder(shard, vms, partner == ownerByShard.end() ? VmId() : partner->second);
        if (newOwner == nullptr)
            continue;
        const auto owner = owners.find(shard);
        ownerByShard[shard] = newOwner->vm;
        proposals.push_back({ shard, { newOwner->vm, owner == owners.end() ? 1 : owner->second.epoch + 1 } });
    }
    return proposals;
}

}
