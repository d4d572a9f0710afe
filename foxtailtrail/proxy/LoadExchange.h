#pragma once

#include "foxtailtrail/proxy/RelayFrame.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <vector>

namespace foxtail {

// What this VM knows of the loads of backend servers, for messages that it exchanges with other VMs.
class LoadExchange {
public:
    virtual ~LoadExchange() = default;
    // Returns recent reports of the other servers of the server's group.
    virtual std::vector<LoadReport> reportsBeside(const ServerEntry&) = 0;
    // Handles reports of servers of the group that another VM has passed on.
    virtual void handleReports(const ServiceName&, const std::vector<LoadReport>&) = 0;
};

}
