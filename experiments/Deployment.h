#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/Configuration.h"

#include <string>
#include <vector>

namespace foxtail {

// One of the two deployments of section 1.4 of the design page.
struct Deployment {
    std::string name;
    Region mainRegion;
    Region otherRegion;
    // The three data centres. The third is in the other region.
    std::vector<DataCentre> dataCentres;
    Duration latencyWithinRegion { 500 };
    Duration latencyBetweenRegions { 8000 };
    Duration latencyToClients { 0 };
    uint32_t slots = 1;
    // The organisations. The first two are large; the second is the one that sends too much.
    std::vector<Organisation> organisations;

    // The VMs are spread evenly over the data centres.
    static constexpr uint32_t vmCount = 9;
    static constexpr size_t dataCentreCount = 3;
    static constexpr size_t noisyOrganisation = 1;

    size_t dataCentreOf(uint32_t vm) const { return vm % dataCentreCount; }
    Region regionOf(size_t dataCentre) const { return dataCentre + 1 < dataCentreCount ? this->mainRegion : this->otherRegion; }

    // The one-way latency between two data centres.
    Duration latency(size_t from, size_t to) const
    {
        return this->regionOf(from) == this->regionOf(to) ? this->latencyWithinRegion : this->latencyBetweenRegions;
    }
};

// Booking databases with 3 slots and organisations whose burst is one second of their rate.
Deployment wattle();

// Programme databases with 2 slots and larger organisations whose burst is half a second of their rate.
Deployment wislomar();

}
