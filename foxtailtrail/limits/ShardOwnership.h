#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/Configuration.h"

#include <optional>
#include <vector>

namespace foxtail {

// A VM as this VM believes it to be, for the choice of shard owners.
struct OwnerCandidate {
    VmId vm;
    bool alive = false;
    bool leaving = false;
    // How long the VM has been silent. Empty when it was never heard.
    std::optional<Duration> silence;
};

// A change of owner to propose. All changes of one moment go into one configuration change.
struct OwnerProposal {
    uint32_t shard = 0;
    LimitShardOwner owner;
};

// An owner is replaced after this silence.
constexpr Duration ownerSilenceLimit = std::chrono::seconds(3);

// The shards that this VM should take over or hand on: shards without an owner, with an owner that has been silent for 3 s or
// is leaving, and of which this VM is the first in the rendezvous order of the VMs that live and stay. A VM that leaves proposes
// the first in the order for each shard of its own. An owner that lives is never replaced, so shards do not move back.
// runningSince is how long this VM has been listening: a VM never heard counts as silent for that time.
std::vector<OwnerProposal> proposeShardOwners(
    const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, const VmId& self, Duration runningSince);

}
