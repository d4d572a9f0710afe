#pragma once

#include "foxtailtrail/config/ConfigurationChange.h"
#include "foxtailtrail/limits/ShardOwnership.h"
#include "foxtailtrail/server/ControlSnapshot.h"

#include <optional>
#include <vector>

namespace foxtail {

// What the upkeep of the configuration is decided from.
struct MaintenanceInput {
    VmId self;
    // Null while there is no configuration; then storeIsEmpty tells whether the store has none either.
    ConfigurationDocument configuration;
    bool isStoreEmpty = false;
    // The VMs that live and are not leaving, ordered by id.
    std::vector<LiveVm> liveVms;
    // The owners of limit shards, the witnesses and the live VMs, as this VM believes them to be.
    std::vector<OwnerCandidate> candidates;
    // How long this VM has been listening.
    Duration uptime { 0 };
};

// How long a VM must be silent before its task as a witness is given to another.
struct MaintenanceSettings {
    // Longer than a restart, since each replacement of a witness needs majorities of two lists.
    Duration witnessHeartbeatTimeout = std::chrono::seconds(10);
};

// The number of witnesses that the fleet keeps when it has that many VMs.
constexpr size_t targetWitnessCount = 5;

// The change that this VM should propose now so that the configuration fits the live VMs, if any: the first version, owners for
// limit shards, or a witness. The VM with the lowest id proposes; should two do so, the compare-and-set lets one win.
std::optional<ChangeAction> dueConfigurationChange(const MaintenanceInput&, const MaintenanceSettings&);

// A random secret for the first version, as hexadecimal text.
std::string makeFleetSecret();

}
