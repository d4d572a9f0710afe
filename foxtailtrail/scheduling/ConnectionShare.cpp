#include "foxtailtrail/scheduling/ConnectionShare.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Reads need this many times the connections of writes and strict reads.
    constexpr double readWeight = 2;
    // The minimum for a VM that usually reads elsewhere, for the times when its own server has a fault.
    constexpr double minimumWeight = 0.15;

    std::string regionOf(const GroupTopology& topology, const DataCentre& dataCentre)
    {
        const auto found = topology.regionByDataCentre.find(dataCentre.value);
        return found == topology.regionByDataCentre.end() ? std::string() : found->second;
    }

    // Returns the fraction of a data centre's reads that go to a server: to those in the same data centre, else in the same region,
    // else anywhere.
    double readFraction(const GroupTopology& topology, const DataCentre& vm, const DataCentre& server)
    {
        const auto isInDataCentre = [&](const DataCentre& each) { return each == vm; };
        const auto isInRegion = [&](const DataCentre& each) { return regionOf(topology, each) == regionOf(topology, vm); };
        const auto sameDataCentreCount
            = std::count_if(topology.serverDataCentres.begin(), topology.serverDataCentres.end(), isInDataCentre);
        if (sameDataCentreCount > 0)
            return isInDataCentre(server) ? 1.0 / static_cast<double>(sameDataCentreCount) : 0;
        const auto sameRegionCount = std::count_if(topology.serverDataCentres.begin(), topology.serverDataCentres.end(), isInRegion);
        if (sameRegionCount > 0)
            return isInRegion(server) ? 1.0 / static_cast<double>(sameRegionCount) : 0;
        return 1.0 / static_cast<double>(std::max<size_t>(1, topology.serverDataCentres.size()));
    }

}

double connectionShare(const GroupTopology& topology, const DataCentre& vm, const DataCentre& server, bool isPrimary, size_t maxConnections)
{
    const auto weight = [&](const DataCentre& dataCentre) {
        const double reads = readFraction(topology, dataCentre, server);
        return isPrimary ? 1 + readWeight * reads : std::max(minimumWeight, readWeight * reads);
    };
    double total = 0;
    for (const auto& [dataCentre, count] : topology.vmCountByDataCentre)
        total += static_cast<double>(count) * weight(dataCentre);
    return total > 0 ? static_cast<double>(maxConnections) * weight(vm) / total : 0;
}

}
