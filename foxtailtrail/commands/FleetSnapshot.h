#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/InstalledConfiguration.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// What has happened to an organisation's requests since the VMs started, summed over the VMs that answered.
struct OrganisationActivity {
    OrganisationId id;
    uint64_t admittedCount = 0;
    uint64_t refusedCount = 0;
};

// The state of a database group.
struct DatabaseActivity {
    DatabaseId id;
    Term term;
    std::optional<BackendServerId> primary;
    uint32_t slotsInUse = 0;
    uint32_t queueLength = 0;
};

// The state of a backend server.
struct ServerActivity {
    BackendServerId id;
    // Empty while the role is not known.
    std::string role;
    bool isReachable = false;
    Position position;
    // How many transactions the server is behind the primary.
    uint64_t lagTransactions = 0;
};

// The state of a VM.
struct VmActivity {
    VmId id;
    Region region;
    DataCentre dataCentre;
    // The version in force on the VM, or 0.
    uint64_t configurationVersion = 0;
    // For example serving, stale, leaving or silent.
    std::string state;
};

// What the queries read: the configuration in force and the activity that the VM knows of. Secrets are not shown.
struct FleetSnapshot {
    // Null while this VM has none.
    ConfigurationDocument configuration;
    std::vector<OrganisationActivity> organisations;
    std::vector<DatabaseActivity> databases;
    std::vector<ServerActivity> servers;
    std::vector<VmActivity> vms;
};

}
