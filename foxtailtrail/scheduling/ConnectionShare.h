#pragma once

#include "foxtailtrail/base/Ids.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// The locations of the VMs and servers of one group.
struct GroupTopology {
    // The number of VMs by data centre.
    std::map<DataCentre, size_t> vmCountByDataCentre;
    // The region of each data centre.
    std::map<std::string, std::string> regionByDataCentre;
    // The data centre of each server of the group.
    std::vector<DataCentre> serverDataCentres;
};

// Returns one VM's share of the connections that a server accepts, which may be below one. Reads go to the nearest servers, so the
// VMs near a server get most of its connections; all VMs also use the primary for writes and strict reads.
double connectionShare(const GroupTopology&, const DataCentre& vm, const DataCentre& server, bool isPrimary, size_t maxConnections);

}
