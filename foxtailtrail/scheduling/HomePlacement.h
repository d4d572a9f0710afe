#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// A VM as this VM believes it to be.
struct PlacementCandidate {
    VmId vm;
    Region region;
    bool isAlive = false;
    bool isLeaving = false;
};

// Settings of HomePlacement.
struct HomePlacementSettings {
    // A VM that comes back has to stay for this time before it gets homes. Each move of a home ends all its connections, so a
    // VM that comes and goes must not move homes every time.
    Duration rejoinDelay = std::chrono::seconds(2);
    // How long after the first update no home is named: four pings, in which a VM that has just started hears the others.
    // Without this it would take itself for the only one and claim every home.
    Duration startupDelay = std::chrono::seconds(1);
    // How long a VM that handed a home over is passed over for it.
    Duration exclusionLifetime = std::chrono::seconds(30);
};

// Which VM is the home of the backend servers of a database in a region: the first in the rendezvous order of the region's VMs.
// All VMs compute it for themselves. Disagreement costs a hop, never correctness, as the backend server accepts one claim.
class HomePlacement {
public:
    // Self is this VM, which starts as a VM that has just come back.
    explicit HomePlacement(HomePlacementSettings, VmId self = {});

    // Takes over what this VM believes of all VMs, itself included. Call it every 100 ms or less. The others that are heard
    // within the settle time count as having been there before.
    void update(const std::vector<PlacementCandidate>&, TimePoint now);

    // The VMs that live and stay, in the order in which they become home. VMs of other regions stand in when the region has none.
    std::vector<VmId> orderedVms(const DatabaseId&, const Region&) const;

    // The home, or nothing when no VM lives or the settle time has not passed.
    std::optional<VmId> home(const DatabaseId&, const Region&) const;

    // The VM that takes over from the given one.
    std::optional<VmId> nextHome(const DatabaseId&, const Region&, const VmId&) const;

    // Passes over a VM for one database and region, because it handed the home over (takeHome) or cannot reach the servers.
    void exclude(const DatabaseId&, const Region&, const VmId&, TimePoint now);

private:
    struct Member {
        Region region;
        bool isAlive = false;
        bool isLeaving = false;
        TimePoint eligibleAt;
    };

    struct Exclusion {
        DatabaseId database;
        Region region;
        VmId vm;
        TimePoint until;
    };

    TimePoint firstEligibleAt(const VmId&, TimePoint now) const;
    bool isExcluded(const DatabaseId&, const Region&, const VmId&) const;

    HomePlacementSettings settings;
    VmId self;
    std::map<VmId, Member> members;
    std::vector<Exclusion> exclusions;
    TimePoint updatedAt;
    std::optional<TimePoint> startedAt;
};

}
