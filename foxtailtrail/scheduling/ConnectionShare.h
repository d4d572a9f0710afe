#pragma once

#include "foxtailtrail/base/Ids.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// Where the VMs and the servers of one group stand.
struct GroupTopology {
    // VMs by data centre.
    std::map<DataCentre, size_t> vmCountByDataCentre;
    // From each data centre to its region.
    std::map<std::string, std::string> regionByDataCentre;
    // The data centre of each server of the group.
    std::vector<DataCentre> serverDataCentres;
};

// One VM's part of the connections that a server accepts, as a number that may be below one. Reads go to the nearest servers, so
// the VMs near a server get most of its connections; the primary is also used by all VMs for writes and strict reads.
double connectionShare(const GroupTopology&, const DataCentre& vm, const DataCentre& server, bool isPrimary, size_t maxConnections);

}
