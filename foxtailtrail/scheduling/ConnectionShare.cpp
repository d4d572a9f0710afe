#include "foxtailtrail/scheduling/ConnectionShare.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Reads use this many times the connections that writes and strict reads use.
    constexpr double readWeight = 2;
    // What a VM that usually reads elsewhere needs for the times when its own server is in trouble.
    constexpr double distantWeight = 0.15;

    std::string regionOf(const GroupTopology& placement, const DataCentre& dataCentre)
    {
        const auto found = placement.regionByDataCentre.find(dataCentre.value);
        return found == placement.regionByDataCentre.end() ? std::string() : found->second;
    }

    // The part of a data centre's reads that go to a server: to one in the same data centre, else in the region, else anywhere.
    double readPart(const GroupTopology& placement, const DataCentre& vm, const DataCentre& server)
    {
        const auto isIn = [&](const DataCentre& each) { return each == vm; };
        const auto isNear = [&](const DataCentre& each) { return regionOf(placement, each) == regionOf(placement, vm); };
        const auto here = std::count_if(placement.serverDataCentres.begin(), placement.serverDataCentres.end(), isIn);
        if (here > 0)
            return isIn(server) ? 1.0 / static_cast<double>(here) : 0;
        const auto near = std::count_if(placement.serverDataCentres.begin(), placement.serverDataCentres.end(), isNear);
        if (near > 0)
            return isNear(server) ? 1.0 / static_cast<double>(near) : 0;
        return 1.0 / static_cast<double>(std::max<size_t>(1, placement.serverDataCentres.size()));
    }

}

double connectionShare(
    const GroupTopology& placement, const DataCentre& vm, const DataCentre& server, bool isPrimary, size_t maxConnections)
{
    const auto weight = [&](const DataCentre& dataCentre) {
        const double reads = readPart(placement, dataCentre, server);
        return isPrimary ? 1 + readWeight * reads : std::max(distantWeight, readWeight * reads);
    };
    double total = 0;
    for (const auto& [dataCentre, count] : placement.vmCountByDataCentre)
        total += static_cast<double>(count) * weight(dataCentre);
    return total > 0 ? static_cast<double>(maxConnections) * weight(vm) / total : 0;
}

}
