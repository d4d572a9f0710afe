#include "foxtailtrail/replication/PlacementRule.h"

#include "foxtailtrail/replication/EvacuationTable.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    bool bindsAndLacks(const std::vector<Region>& regions, const Region& region)
    {
        return !regions.empty() && std::find(regions.begin(), regions.end(), region) == regions.end();
    }

}

bool Homes::allow(const Region& region) const
{
    return !bindsAndLacks(this->routeRegions, region) && !bindsAndLacks(this->organisationRegions, region);
}

std::string_view placementDetail(Placement placement)
{
    constexpr std::array<std::string_view, 4> details { "", "the server's data centre is being evacuated",
        "the server's data centre is evacuated", "the server is in none of the allowed regions" };
    return details[static_cast<size_t>(placement)];
}

Region PlacementRule::regionOf(const DataCentre& dataCentre) const
{
    const auto found = this->regionByDataCentre.find(dataCentre.value);
    return found == this->regionByDataCentre.end() ? Region() : Region(found->second);
}

Placement PlacementRule::serverIn(const DataCentre& dataCentre, const Homes& homes, const EvacuationTable& evacuations, TimePoint now) const
{
    if (homes.isRestricted() && !homes.allow(this->regionOf(dataCentre)))
        return Placement::OutsideHomes;
    if (!evacuations.isEvacuated(dataCentre))
        return Placement::Allowed;
    return evacuations.isInForce(dataCentre, now) ? Placement::Evacuated : Placement::Evacuating;
}

}
