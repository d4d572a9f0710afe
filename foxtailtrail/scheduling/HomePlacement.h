#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// A VM and its state as known to this VM.
struct PlacementCandidate {
    VmId vm;
    Region region;
    bool isAlive = false;
    bool isLeaving = false;
};

// Settings of HomePlacement.
struct HomePlacementSettings {
    // A VM that rejoins must stay alive for this time before it becomes a home. Moving a home closes all of its connections, so a
    // VM that repeatedly fails and rejoins must not move homes each time.
    Duration rejoinDelay = std::chrono::seconds(2);
    // No home is named for this time after the first update: four pings, within which a VM that has just started receives the
    // heartbeats of the others. Without this delay it would assume that it is alone and claim every home.
    Duration startupDelay = std::chrono::seconds(1);
    // The time for which a VM that handed a home over is excluded from being that home.
    Duration exclusionLifetime = std::chrono::seconds(30);
};

// Chooses the VM that is the home of the backend servers of a database in a region: the first in the rendezvous order of the
// region's VMs. Every VM computes the choice by itself. Disagreement costs an extra hop but is safe, because the backend server
// accepts only one claim.
class HomePlacement {
public:
    // Self is this VM, which is treated as a VM that has just rejoined.
    explicit HomePlacement(HomePlacementSettings, VmId self = {});

    // Updates the state of all VMs, including this one. Must be called at least every 100 ms. Other VMs that are seen within the
    // startup delay count as having been alive before.
    void update(const std::vector<PlacementCandidate>&, TimePoint now);

    // Returns the VMs that are alive and not leaving, in the order in which they become home. VMs of other regions are used if the
    // region has none.
    std::vector<VmId> orderedVms(const DatabaseId&, const Region&) const;

    // Returns the home, or std::nullopt if no VM is alive or the startup delay has not passed.
    std::optional<VmId> home(const DatabaseId&, const Region&) const;

    // Returns the VM that takes over from the given one.
    std::optional<VmId> nextHome(const DatabaseId&, const Region&, const VmId&) const;

    // Excludes a VM for one database and region, because it handed the home over (takeHome) or cannot reach the servers.
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
