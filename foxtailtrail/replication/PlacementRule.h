#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

class EvacuationTable;

// The regions in which statements of an organisation on a route may run. Both lists bind where both are there; an empty one restricts
// nothing.
class Homes {
public:
    Homes() = default;
    Homes(std::vector<Region> ofRoute, std::vector<Region> ofOrganisation)
        : routeRegions(std::move(ofRoute))
        , organisationRegions(std::move(ofOrganisation))
    {
    }

    bool isRestricted() const { return !this->routeRegions.empty() || !this->organisationRegions.empty(); }
    bool allow(const Region&) const;

private:
    std::vector<Region> routeRegions;
    std::vector<Region> organisationRegions;
};

// Whether a statement may be sent to the servers of a data centre.
enum class Placement : uint8_t {
    Allowed,
    // The data centre is to be evacuated. Its primaries and open transactions may be used until the evacuation is in force.
    Evacuating,
    // The evacuation is in force.
    Evacuated,
    // The region is no home of the statement.
    OutsideHomes,
};

// Returns the reason for which nothing may be sent, for the caller.
std::string_view placementDetail(Placement);

// Decides where statements may run. Every choice of a server passes it: reads, the primary, retries, statements of open transactions, and
// what other VMs send through this one. A relay needs no rule of its own: it stands in the region of its server (RelayPlacement), so a
// statement passes only through a home, and through the VM to which its caller connected.
//
// Load that it answers: none of its own; it keeps retries and fallbacks under load inside the same borders as everything else.
class PlacementRule {
public:
    // The map gives the region of each data centre. A data centre without region is no home.
    explicit PlacementRule(std::map<std::string, std::string> regions)
        : regionByDataCentre(std::move(regions))
    {
    }

    // Returns whether a statement with these homes may be sent to a server of the data centre.
    Placement serverIn(const DataCentre&, const Homes&, const EvacuationTable&, TimePoint now) const;

private:
    Region regionOf(const DataCentre&) const;

    std::map<std::string, std::string> regionByDataCentre;
};

}
