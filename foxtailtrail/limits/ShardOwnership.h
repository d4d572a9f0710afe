#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/Configuration.h"

#include <optional>
#include <vector>

namespace foxtail {

// A VM as this VM believes it to be, for the choice of shard owners.
struct OwnerCandidate {
    VmId vm;
    bool isAlive = false;
    bool isLeaving = false;
    // How long the VM has been silent. Empty when it was never heard.
    std::optional<Duration> heartbeatAge;
};

// A change of owner to propose. All changes of one moment go into one configuration change.
struct OwnerProposal {
    uint32_t shard = 0;
    LimitShardOwner owner;
};

// An owner is replaced after this silence.
constexpr Duration ownerHeartbeatTimeout = std::chrono::seconds(3);

// A VM that has listened for less than this may not have heard the others, so it takes over no shard that has no owner.
constexpr Duration ownerlessShardDelay = std::chrono::seconds(1);

// The shards that need another owner: those without an owner, or whose owner has been silent for 3 s or is leaving. The new
// owner is the first in the rendezvous order of the VMs that live and stay, but never the owner of the partner shard while there
// is another VM: the partner holds the other halves of the same limits. An owner that lives and stays is never replaced, so shards
// do not move back. runningSince is how long this VM has been listening: a VM never heard counts as silent for that time.
std::vector<OwnerProposal> proposeShardOwners(
    const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, Duration runningSince);

}
