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
            return runningSince >= ownerSilenceLimit;
        return owner->leaving || (!owner->alive && owner->silence.value_or(runningSince) >= ownerSilenceLimit);
    }

    // The VM that is first in the shard's rendezvous order of those that live and stay.
    const OwnerCandidate* firstInOrder(uint32_t shard, const std::vector<OwnerCandidate>& vms)
    {
        const std::string key = "limit-shard/" + std::to_string(shard);
        const OwnerCandidate* best = nullptr;
        for (const OwnerCandidate& vm : vms) {
            if (vm.alive && !vm.leaving && (best == nullptr || rendezvousWeight(key, vm.vm.value) > rendezvousWeight(key, best->vm.value)))
                best = &vm;
        }
        return best;
    }

}

std::vector<OwnerProposal> proposeShardOwners(
    const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, const VmId& self, Duration runningSince)
{
    std::vector<OwnerProposal> proposals;
    for (uint32_t shard = 0; shard < limitShardCount; ++shard) {
        const auto owner = owners.find(shard);
        const bool isOwned = owner != owners.end();
        if (isOwned && !needsReplacement(find(vms, owner->second.vm), runningSince))
            continue;
        const OwnerCandidate* next = firstInOrder(shard, vms);
        const bool isOwnShard = isOwned && owner->second.vm == self;
        if (next != nullptr && (next->vm == self || isOwnShard))
            proposals.push_back({ shard, { next->vm, isOwned ? owner->second.epoch + 1 : 1 } });
    }
    return proposals;
}

}
