#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/limits/MemoryBudget.h"
#include "foxtailtrail/limits/QuotaAllocator.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/replication/ColdServerRule.h"

#include <boost/outcome/result.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// The times within which changes that the store has confirmed must be in force on every VM.
struct ChangeBounds {
    Duration configuration = std::chrono::milliseconds(3000);
    Duration keyWithdrawal = std::chrono::milliseconds(5000);
    Duration serverDrain = std::chrono::milliseconds(7000);
    // The evacuation of a data centre. Empty when the platform gives no bound; the default is then used for what it takes.
    std::optional<Duration> evacuation {};

    // Returns how long the primaries and the open transactions of an evacuated data centre have from when the evacuation is known.
    Duration evacuationSettlingPeriod() const;
    // Returns the time within which changes of the declarations must be known.
    Duration declarations() const;
};

// The settings of a VM that runs on the platform, read from a YAML file. docs/settings.md lists the names.
struct ProxySettings {
    VmId vmId;
    DataCentre dataCentre;
    Region region;
    // The share of a processor core that the VM has.
    double processorShare = 1;
    // Maps each data centre to its region.
    std::map<std::string, std::string> regions;
    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    // The address at which other VMs request the configuration.
    Endpoint peerEndpoint;
    // The UDP port at which this VM receives datagrams from other VMs.
    uint16_t datagramPort = 0;
    // The port at which this VM relays statements of other VMs over its connections to backend servers.
    uint16_t relayPort = 0;
    uint16_t metricsPort = 0;
    // The peer addresses of some VMs, used when the store cannot be reached at startup.
    std::vector<Endpoint> seeds;
    Endpoint storeEndpoint;
    Endpoint promotionEndpoint;
    // The time between the stop signal and the kill signal.
    Duration stopGracePeriod { 0 };
    QuotaBounds quota;
    ChangeBounds changeBounds;
    ColdServerBounds coldServers;
    std::string logLevel = "info";
    // Whether reads are divided between the servers by reports of their loads.
    bool usesEvenLoad = false;
    // Divides the memory and the descriptors that the process may use.
    MemoryBudget memory;
};

// Returns whether a file has the layout of these settings: a map with a section "platform".
bool isProxySettingsFile(const std::string& file);

// Reads and validates a settings file. On failure returns one line for each error: the file, the name of the setting and the
// allowed values.
boost::outcome_v2::basic_result<ProxySettings, std::vector<std::string>, boost::outcome_v2::policy::terminate> readProxySettings(
    const std::string& file);

}
