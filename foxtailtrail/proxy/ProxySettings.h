#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/limits/QuotaAllocator.h"
#include "foxtailtrail/net/HttpClient.h"

#include <boost/outcome/result.hpp>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// The settings of a VM that runs on the platform. The file's own layout is YAML; docs/settings.md lists its names.
struct ProxySettings {
    VmId vmId;
    DataCentre dataCentre;
    Region region;
    // The part of a core that the VM has.
    double processorShare = 1;
    // From each data centre to its region.
    std::map<std::string, std::string> regions;
    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    // Where other VMs ask for the configuration.
    Endpoint peerEndpoint;
    // Where other VMs send datagrams.
    uint16_t datagramPort = 0;
    // Where other VMs use this one's connections to backend servers.
    uint16_t relayPort = 0;
    uint16_t metricsPort = 0;
    // The peer addresses of some VMs, of use when the store cannot be reached at the start.
    std::vector<Endpoint> seeds;
    Endpoint storeEndpoint;
    Endpoint promotionEndpoint;
    // From the signal to stop to the kill.
    Duration stopGracePeriod { 0 };
    QuotaBounds quota;
    std::string logLevel = "info";
};

// Whether a file has the layout of these settings: a map with a section "platform".
bool isProxySettingsFile(const std::string& file);

// Reads and checks a settings file. Fails with one line a fault: file, name of the setting, and what is allowed.
boost::outcome_v2::basic_result<ProxySettings, std::vector<std::string>, boost::outcome_v2::policy::terminate> readProxySettings(
    const std::string& file);

}
