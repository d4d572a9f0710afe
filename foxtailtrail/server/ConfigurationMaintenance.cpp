#include "foxtailtrail/server/ConfigurationMaintenance.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <openssl/rand.h>

namespace foxtail {

namespace {

    VmAddress addressOf(const LiveVm& vm) { return { vm.id, vm.peerEndpoint.address, vm.peerEndpoint.port }; }

    // Returns the time since the last heartbeat of a VM: zero for a live VM, and the uptime of this process for a VM that never sent one.
    Duration heartbeatAgeOf(const MaintenanceInput& input, const VmId& id)
    {
        for (const OwnerCandidate& candidate : input.candidates) {
            if (candidate.vm == id)
                return candidate.isAlive ? Duration(0) : candidate.heartbeatAge.value_or(input.uptime);
        }
        return input.uptime;
    }

    bool isWitness(const Configuration& configuration, const VmId& id)
    {
        return std::any_of(
            configuration.witnesses.begin(), configuration.witnesses.end(), [&](const VmAddress& witness) { return witness.id == id; });
    }

    std::optional<ChangeAction> firstVersion(const MaintenanceInput& input)
    {
        InitializeFleet change { makeFleetSecret(), {} };
        for (const LiveVm& vm : input.liveVms) {
            if (change.witnesses.size() < targetWitnessCount)
                change.witnesses.push_back(addressOf(vm));
        }
        return change;
    }

    std::optional<ChangeAction> shardMoves(const MaintenanceInput& input)
    {
        const auto& owners = input.configuration->limitShards;
        MoveLimitShards change;
        for (const OwnerProposal& proposal : proposeShardOwners(owners, input.candidates, input.uptime))
            change.moves.push_back({ proposal.shard, proposal.owner.vm, proposal.owner.epoch - 1 });
        if (change.moves.empty())
            return std::nullopt;
        return change;
    }

    std::optional<ChangeAction> witnessReplacement(const MaintenanceInput& input, const MaintenanceSettings& settings)
    {
        const Configuration& configuration = *input.configuration;
        if (!configuration.previousWitnesses.empty())
            return std::nullopt;
        const auto newWitness
            = std::find_if(input.liveVms.begin(), input.liveVms.end(), [&](const LiveVm& vm) { return !isWitness(configuration, vm.id); });
        if (newWitness == input.liveVms.end())
            return std::nullopt;
        if (configuration.witnesses.size() < targetWitnessCount)
            return ReplaceWitness { std::nullopt, addressOf(*newWitness) };
        for (const VmAddress& witness : configuration.witnesses) {
            if (heartbeatAgeOf(input, witness.id) >= settings.witnessHeartbeatTimeout)
                return ReplaceWitness { witness.id, addressOf(*newWitness) };
        }
        return std::nullopt;
    }

}

std::optional<ChangeAction> dueConfigurationChange(const MaintenanceInput& input, const MaintenanceSettings& settings)
{
    if (input.liveVms.empty() || input.liveVms.front().id != input.self)
        return std::nullopt;
    if (!input.configuration)
        return input.isStoreEmpty ? firstVersion(input) : std::nullopt;
    std::optional<ChangeAction> change = shardMoves(input);
    return change ? change : witnessReplacement(input, settings);
}

std::string makeFleetSecret()
{
    unsigned char bytes[32];
    RAND_bytes(bytes, sizeof(bytes));
    return sha256Hex({ reinterpret_cast<const char*>(bytes), sizeof(bytes) });
}

}
