#pragma once

#include "foxtailtrail/config/ConfigurationChange.h"
#include "foxtailtrail/limits/ShardOwnership.h"
#include "foxtailtrail/server/ControlSnapshot.h"

#include <optional>
#include <vector>

namespace foxtail {

// Input of the decision about configuration maintenance.
struct MaintenanceInput {
    VmId self;
    // Null while there is no configuration; isStoreEmpty then reports whether the store has none either.
    ConfigurationDocument configuration;
    bool isStoreEmpty = false;
    // The live VMs that are not leaving, ordered by id.
    std::vector<LiveVm> liveVms;
    // The owners of limit shards, the witnesses and the live VMs, as known to this VM.
    std::vector<OwnerCandidate> candidates;
    // The time since this VM started to receive heartbeats.
    Duration uptime { 0 };
};

// Timeouts of configuration maintenance.
struct MaintenanceSettings {
    // A witness is replaced once its last heartbeat is this old. Longer than a restart, because each replacement needs majorities of
    // two witness lists.
    Duration witnessHeartbeatTimeout = std::chrono::seconds(10);
};

// The number of witnesses in a fleet that has at least this many VMs.
constexpr size_t targetWitnessCount = 5;

// Returns the change that this VM should propose now to match the configuration to the live VMs, if any: the first version, new owners of
// limit shards, or a replacement of a witness. Only the live VM with the lowest id proposes; if two VMs do, the compare-and-set lets one
// succeed.
std::optional<ChangeAction> dueConfigurationChange(const MaintenanceInput&, const MaintenanceSettings&);

// Returns a random secret for the first configuration version, as hexadecimal text.
std::string makeFleetSecret();

}
