#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// A VM of the fleet's list that may allocate quota.
struct AllocatorCandidate {
    VmId vm;
    double processorShare = 1;
};

// Chooses the VM that allocates quota to this one. All VMs compute the same order from the fleet's list, the largest VMs first, and use
// the first VM in it that is not known to be unavailable. A VM that was unavailable is used again only once it has been heard from, which
// the current allocator passes on with its grants: so all VMs return to it at about the same time.
class QuotaAllocatorChoice {
public:
    explicit QuotaAllocatorChoice(VmId self)
        : self(std::move(self))
    {
    }

    // Sets the VMs of the list, this one included. A VM that was not in the previous list counts as unavailable at first, because it
    // allocates no quota while it does not know the VMs that join with it.
    void setCandidates(const std::vector<AllocatorCandidate>&, TimePoint now);
    // Returns the allocator, which may be this VM, or std::nullopt when there is none. This VM counts only when it may allocate.
    std::optional<VmId> allocatorAt(TimePoint now, bool mayAllocateItself) const;

    // Records that several requests to the VM had no reply.
    void recordUnresponsive(const VmId&, TimePoint now);
    // Records that the VM has announced its stop.
    void recordStop(const VmId&, TimePoint now);
    // Records that the VM runs but may not allocate quota yet.
    void recordNotReady(const VmId&, TimePoint now);
    // Records that this VM or another one heard from the VM, ready to allocate quota, at the given time.
    void recordHeard(const VmId&, TimePoint heardAt);
    // Records a grant of the VM to this one.
    void recordGrant(const VmId& vm) { this->unavailable.erase(vm); }

    // Returns the first VMs that precede this one in the order. While this VM allocates quota, it asks them for heartbeats, to learn soon
    // that one of them is available again.
    std::vector<VmId> precedingCandidates() const;

private:
    struct Unavailability {
        // What was heard before this time does not end the unavailability.
        TimePoint since {};
        // The VM is not used before this time even when it has been heard from.
        TimePoint excludedUntil {};
        TimePoint heardAt {};
        unsigned failureCount = 0;
    };
    bool isAvailable(const VmId&, TimePoint now) const;

    VmId self;
    // All VMs of the list in the order of preference.
    std::vector<VmId> order;
    std::map<VmId, Unavailability> unavailable;
};

}
