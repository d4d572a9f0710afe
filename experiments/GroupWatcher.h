#pragma once

#include "experiments/BackendGroup.h"

#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/failover/GroupMonitor.h"

#include <functional>
#include <memory>

namespace foxtail {

// Simulates the control thread of one VM for one database group: probes the servers, publishes the view that the other modules
// use, and delays acknowledgements until commits are durable. The intervals are those of the daemon.
class GroupWatcher {
public:
    GroupWatcher(Simulation&, BackendGroup&, const Deployment&, uint32_t vm, std::shared_ptr<const AcknowledgementStrategy>);

    // Starts probing. The given watchers of other VMs are queried about the reachability of a suspected primary.
    void start(const std::vector<GroupWatcher*>& others);

    // Waits until the commit is durable or the deadline passes. The callback receives the outcome.
    void awaitDurability(LogPoint commit, TimePoint deadline, const std::function<void(Durability)>& done);

    // Returns the view that was last published to the traffic threads.
    const GroupView& view() const { return this->publishedView; }

    VmId vmId() const { return VmId("vm-" + std::to_string(this->vm + 1)); }
    size_t dataCentre() const { return this->ownDataCentre; }

    // Set when the VM has crashed. It then takes no further action.
    bool hasCrashed = false;
    GroupMonitor monitor;

    // The number of probes sent to servers in the other region.
    size_t crossRegionProbeCount = 0;

private:
    void probe(size_t server);
    void checkWithPeers();
    void completeWaits();
    void publishView();

    Simulation& simulation;
    BackendGroup& group;
    const Deployment& deployment;
    uint32_t vm;
    size_t ownDataCentre;
    std::vector<GroupWatcher*> peers;
    DurabilityTracker tracker;
    std::map<DurabilityTicket, std::function<void(Durability)>> durabilityCallbacks;
    // The number of the latest probe of each server. A scheduled probe of an older round is skipped.
    std::array<uint64_t, BackendGroup::serverCount> probeRound {};
    std::array<bool, BackendGroup::serverCount> isProbeInFlight {};
    GroupView publishedView;
    TimePoint publishedAt;
};

}
