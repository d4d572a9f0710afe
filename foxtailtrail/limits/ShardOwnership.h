#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/Configuration.h"

#include <optional>
#include <vector>

namespace foxtail {

// A VM and its state as known to this VM, for the choice of shard owners.
struct OwnerCandidate {
    VmId vm;
    bool isAlive = false;
    bool isLeaving = false;
    // The time since the VM's last heartbeat. Empty if none was ever received.
    std::optional<Duration> heartbeatAge;
};

// A proposed change of an owner. All changes proposed at one time go into one configuration change.
struct OwnerProposal {
    uint32_t shard = 0;
    LimitShardOwner owner;
};

// An owner is replaced after this time without a heartbeat.
constexpr Duration ownerHeartbeatTimeout = std::chrono::seconds(3);

// A VM that has run for less than this may not have received heartbeats of the others, so it takes over no shard without an owner.
constexpr Duration ownerlessShardDelay = std::chrono::seconds(1);

// Returns new owners for the shards without an owner, or whose owner has sent no heartbeat for 3 s or is leaving. The new owner is
// the first in the rendezvous order of the VMs that are alive and not leaving, but is never the owner of the partner shard while
// there is another VM: the partner holds the other halves of the same limits. An owner that is alive and not leaving is never
// replaced, so shards do not move back. runningFor is the time for which this VM has received heartbeats: a VM never seen counts as
// silent for that time.
std::vector<OwnerProposal> proposeShardOwners(
    const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, Duration runningFor);

}
