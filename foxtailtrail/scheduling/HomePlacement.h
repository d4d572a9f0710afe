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
    bool alive = false;
    bool leaving = false;
};

// Settings of HomePlacement.
struct HomePlacementSettings {
    // A VM that comes back has to stay for this time before it gets homes. Each move of a home ends all its connections, so a
    // VM that comes and goes must not move homes every time.
    Duration returnDelay = std::chrono::seconds(2);
    // How long a VM that handed a home over is passed over for it.
    Duration handoverLife = std::chrono::seconds(30);
};

// Which VM is the home of the backend servers of a database in a region: the first in the rendezvous order of the region's VMs.
// All VMs compute it for themselves. Disagreement costs a hop, never correctness, as the backend server accepts one claim.
class HomePlacement {
public:
    explicit HomePlacement(HomePlacementSettings);

    // Takes over what this VM believes of all VMs, itself included. The first call makes every live VM eligible at once.
    void update(const std::vector<PlacementCandidate>&, TimePoint now);

    // The eligible VMs in the order in which they become home. VMs of other regions stand in when the region has none.
    std::vector<VmId> order(const DatabaseId&, const Region&) const;

    // The home, or nothing when no VM lives.
    std::optional<VmId> home(const DatabaseId&, const Region&) const;

    // The VM that takes over from the given one.
    std::optional<VmId> successor(const DatabaseId&, const Region&, const VmId&) const;

    // Passes over a VM for one database and region, because it handed the home over (takeHome) or cannot reach the servers.
    void passOver(const DatabaseId&, const Region&, const VmId&, TimePoint now);

private:
    struct Member {
        Region region;
        bool alive = false;
        bool leaving = false;
        TimePoint eligibleFrom;
    };

    struct PassedOver {
        DatabaseId database;
        Region region;
        VmId vm;
        TimePoint until;
    };

    bool isPassedOver(const DatabaseId&, const Region&, const VmId&) const;

    HomePlacementSettings settings;
    std::map<VmId, Member> members;
    std::vector<PassedOver> passedOver;
    TimePoint updatedAt;
    bool isFirstUpdate = true;
};

}
