#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <optional>
#include <vector>

namespace foxtail {

// A VM that may allocate quota to others.
struct QuotaAllocatorCandidate {
    VmId vm;
    double processorShare = 1;
    // When its process started, or empty when this VM has not learned it yet.
    std::optional<TimePoint> startedAt;
};

// Chooses the VM that allocates quota to the VMs of the fleet, or std::nullopt when there is no candidate. It is one of the oldest
// processes, so that the grants survive restarts of other VMs; among those a large one, by a rendezvous order. Shortly after the own
// start, a process whose start is not known counts as old as the own one: after a restart of the whole fleet, all VMs thereby choose the
// same one from the list of VMs before they have heard from each other. Later such a process is a new VM.
std::optional<VmId> chooseQuotaAllocator(const std::vector<QuotaAllocatorCandidate>&, TimePoint ownStartedAt, TimePoint now);

}
