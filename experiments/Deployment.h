#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/Configuration.h"

#include <string>
#include <vector>

namespace foxtail {

// A deployment to simulate: one of the two in section 1.4 of the design page.
struct Deployment {
    std::string name;
    Region mainRegion;
    Region otherRegion;
    // The three data centres. The third is in the other region.
    std::vector<DataCentre> dataCentres;
    // One-way latencies: 0.5 ms within a region and 8 ms between the regions.
    Duration latencyWithinRegion { 500 };
    Duration latencyBetweenRegions { 8000 };
    Duration latencyToClients { 0 };
    uint32_t slots = 1;
    // The first two organisations are large. The second one exceeds its rate.
    std::vector<Organisation> organisations;

    // The VMs are distributed evenly over the data centres.
    static constexpr uint32_t vmCount = 9;
    static constexpr size_t dataCentreCount = 3;
    static constexpr size_t noisyOrganisation = 1;

    size_t dataCentreOf(uint32_t vm) const { return vm % dataCentreCount; }
    Region regionOf(size_t dataCentre) const { return dataCentre + 1 < dataCentreCount ? this->mainRegion : this->otherRegion; }

    // Returns the one-way latency between two data centres.
    Duration latency(size_t from, size_t to) const
    {
        return this->regionOf(from) == this->regionOf(to) ? this->latencyWithinRegion : this->latencyBetweenRegions;
    }
};

// Returns booking databases with 3 slots, and organisations with a burst of one second of their rate.
Deployment wattle();

// Returns programme databases with 2 slots, and larger organisations with a burst of half a second of their rate.
Deployment wislomar();

}
