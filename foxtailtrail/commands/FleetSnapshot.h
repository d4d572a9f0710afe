#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/InstalledConfiguration.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// The request counts of an organisation since the VMs started, summed over the VMs that replied.
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
    // Empty while the role is unknown.
    std::string role;
    bool isReachable = false;
    Position position;
    // The number of transactions by which the server is behind the primary.
    uint64_t lagTransactions = 0;
};

// The state of a VM.
struct VmActivity {
    VmId id;
    Region region;
    DataCentre dataCentre;
    // The version of the configuration that the VM uses, or 0 if it has none.
    uint64_t configurationVersion = 0;
    // One word, for example serving, stale, leaving or silent.
    std::string state;
};

// The data that queries read: the current configuration and the activity of the fleet as known to this VM. Queries show no secrets.
struct FleetSnapshot {
    // Null while this VM has no configuration.
    ConfigurationDocument configuration;
    std::vector<OrganisationActivity> organisations;
    std::vector<DatabaseActivity> databases;
    std::vector<ServerActivity> servers;
    std::vector<VmActivity> vms;
};

}
