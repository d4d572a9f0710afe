#include "foxtailtrail/server/Upkeep.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <openssl/rand.h>

namespace foxtail {

namespace {

    VmAddress addressOf(const LiveVm& vm) { return { vm.id, vm.peerEndpoint.address, vm.peerEndpoint.port }; }

    bool isLive(const UpkeepView& view, const VmId& id)
    {
        return std::any_of(view.liveVms.begin(), view.liveVms.end(), [&](const LiveVm& vm) { return vm.id == id; });
    }

    bool isWitness(const Configuration& configuration, const VmId& id)
    {
        return std::any_of(
            configuration.witnesses.begin(), configuration.witnesses.end(), [&](const VmAddress& witness) { return witness.id == id; });
    }

    const LiveVm& firstFor(const std::vector<LiveVm>& vms, const std::string& key)
    {
        return *std::max_element(vms.begin(), vms.end(), [&](const LiveVm& left, const LiveVm& right) {
            return rendezvousWeight(key, left.id.value) < rendezvousWeight(key, right.id.value);
        });
    }

    std::optional<ChangeAction> firstVersion(const UpkeepView& view)
    {
        InitializeFleet change { makeFleetSecret(), {} };
        for (const LiveVm& vm : view.liveVms) {
            if (change.witnesses.size() < wantedWitnesses)
                change.witnesses.push_back(addressOf(vm));
        }
        return change;
    }

    // The shard that holds the other halves of the limits of a shard.
    uint32_t partnerShard(uint32_t shard) { return (shard + limitShardCount / 2) % limitShardCount; }

    // The live VMs without the owner of the partner shard, so that one VM's death never takes both halves of a limit.
    std::vector<LiveVm> candidatesFor(uint32_t shard, const std::map<uint32_t, VmId>& owners, const std::vector<LiveVm>& live)
    {
        const auto partner = owners.find(partnerShard(shard));
        std::vector<LiveVm> candidates = live;
        if (partner != owners.end() && live.size() > 1)
            std::erase_if(candidates, [&](const LiveVm& vm) { return vm.id == partner->second; });
        return candidates;
    }

    std::optional<ChangeAction> shardMoves(const UpkeepView& view, const UpkeepSettings& settings)
    {
        MoveLimitShards change;
        std::map<uint32_t, VmId> owners;
        for (const auto& [shard, owner] : view.configuration->limitShards) {
            if (isLive(view, owner.vm))
                owners[shard] = owner.vm;
        }
        for (uint32_t shard = 0; shard < limitShardCount; ++shard) {
            const auto owner = view.configuration->limitShards.find(shard);
            const bool hasOwner = owner != view.configuration->limitShards.end();
            if (hasOwner && (isLive(view, owner->second.vm) || view.silence(owner->second.vm) < settings.limitOwnerSilence))
                continue;
            const LiveVm next = firstFor(candidatesFor(shard, owners, view.liveVms), "limit shard " + std::to_string(shard));
            owners[shard] = next.id;
            change.moves.push_back({ shard, next.id, hasOwner ? owner->second.epoch : 0 });
        }
        if (change.moves.empty())
            return std::nullopt;
        return change;
    }

    std::optional<ChangeAction> witnessReplacement(const UpkeepView& view, const UpkeepSettings& settings)
    {
        const Configuration& configuration = *view.configuration;
        if (!configuration.previousWitnesses.empty())
            return std::nullopt;
        const auto joining
            = std::find_if(view.liveVms.begin(), view.liveVms.end(), [&](const LiveVm& vm) { return !isWitness(configuration, vm.id); });
        if (joining == view.liveVms.end())
            return std::nullopt;
        if (configuration.witnesses.size() < wantedWitnesses)
            return ReplaceWitness { std::nullopt, addressOf(*joining) };
        for (const VmAddress& witness : configuration.witnesses) {
            if (!isLive(view, witness.id) && view.silence(witness.id) >= settings.witnessSilence)
                return ReplaceWitness { witness.id, addressOf(*joining) };
        }
        return std::nullopt;
    }

}

std::optional<ChangeAction> dueUpkeep(const UpkeepView& view, const UpkeepSettings& settings)
{
    if (view.liveVms.empty() || view.liveVms.front().id != view.self)
        return std::nullopt;
    if (!view.configuration)
        return view.storeIsEmpty ? firstVersion(view) : std::nullopt;
    std::optional<ChangeAction> change = shardMoves(view, settings);
    return change ? change : witnessReplacement(view, settings);
}

std::string makeFleetSecret()
{
    unsigned char bytes[32];
    RAND_bytes(bytes, sizeof(bytes));
    return sha256Hex({ reinterpret_cast<const char*>(bytes), sizeof(bytes) });
}

}
