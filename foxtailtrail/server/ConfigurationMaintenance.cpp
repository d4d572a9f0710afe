#include "foxtailtrail/server/ConfigurationMaintenance.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <openssl/rand.h>

namespace foxtail {

namespace {

    VmAddress addressOf(const LiveVm& vm) { return { vm.id, vm.peerEndpoint.address, vm.peerEndpoint.port }; }

    // How long a VM has been silent: nothing for one that lives, and since the start of this process for one never heard.
    Duration silenceOf(const MaintenanceInput& view, const VmId& id)
    {
        for (const OwnerCandidate& candidate : view.candidates) {
            if (candidate.vm == id)
                return candidate.isAlive ? Duration(0) : candidate.heartbeatAge.value_or(view.uptime);
        }
        return view.uptime;
    }

    bool isWitness(const Configuration& configuration, const VmId& id)
    {
        return std::any_of(
            configuration.witnesses.begin(), configuration.witnesses.end(), [&](const VmAddress& witness) { return witness.id == id; });
    }

    std::optional<ChangeAction> firstVersion(const MaintenanceInput& view)
    {
        InitializeFleet change { makeFleetSecret(), {} };
        for (const LiveVm& vm : view.liveVms) {
            if (change.witnesses.size() < targetWitnessCount)
                change.witnesses.push_back(addressOf(vm));
        }
        return change;
    }

    std::optional<ChangeAction> shardMoves(const MaintenanceInput& view)
    {
        const auto& owners = view.configuration->limitShards;
        MoveLimitShards change;
        for (const OwnerProposal& proposal : proposeShardOwners(owners, view.candidates, view.uptime))
            change.moves.push_back({ proposal.shard, proposal.owner.vm, proposal.owner.epoch - 1 });
        if (change.moves.empty())
            return std::nullopt;
        return change;
    }

    std::optional<ChangeAction> witnessReplacement(const MaintenanceInput& view, const MaintenanceSettings& settings)
    {
        const Configuration& configuration = *view.configuration;
        if (!configuration.previousWitnesses.empty())
            return std::nullopt;
        const auto joining
            = std::find_if(view.liveVms.begin(), view.liveVms.end(), [&](const LiveVm& vm) { return !isWitness(configuration, vm.id); });
        if (joining == view.liveVms.end())
            return std::nullopt;
        if (configuration.witnesses.size() < targetWitnessCount)
            return ReplaceWitness { std::nullopt, addressOf(*joining) };
        for (const VmAddress& witness : configuration.witnesses) {
            if (silenceOf(view, witness.id) >= settings.witnessHeartbeatTimeout)
                return ReplaceWitness { witness.id, addressOf(*joining) };
        }
        return std::nullopt;
    }

}

std::optional<ChangeAction> dueConfigurationChange(const MaintenanceInput& view, const MaintenanceSettings& settings)
{
    if (view.liveVms.empty() || view.liveVms.front().id != view.self)
        return std::nullopt;
    if (!view.configuration)
        return view.isStoreEmpty ? firstVersion(view) : std::nullopt;
    std::optional<ChangeAction> change = shardMoves(view);
    return change ? change : witnessReplacement(view, settings);
}

std::string makeFleetSecret()
{
    unsigned char bytes[32];
    RAND_bytes(bytes, sizeof(bytes));
    return sha256Hex({ reinterpret_cast<const char*>(bytes), sizeof(bytes) });
}

}
