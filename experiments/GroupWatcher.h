#pragma once

#include "experiments/BackendGroup.h"

#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/failover/GroupMonitor.h"

#include <functional>
#include <memory>

namespace foxtail {

// What the control thread of one VM does for one database group: it probes the servers, keeps the view that the other modules
// use, and holds commits back until they are durable. The intervals are those of the daemon.
class GroupWatcher {
public:
    GroupWatcher(Simulation&, BackendGroup&, const Deployment&, uint32_t vm, std::shared_ptr<const AcknowledgementStrategy>);

    // Starts to probe, and asks the given watchers of other VMs about a suspected primary.
    void start(const std::vector<GroupWatcher*>& others);

    // Starts the wait of a commit. The callback tells how it ended.
    void awaitDurability(LogPoint commit, TimePoint deadline, const std::function<void(Durability)>& done);

    // The view as last published to the traffic threads.
    const GroupView& view() const { return this->publishedView; }

    VmId vmId() const { return VmId("vm-" + std::to_string(this->vm + 1)); }
    size_t dataCentre() const { return this->ownDataCentre; }

    // A VM that has died does nothing any more.
    bool hasCrashed = false;
    GroupMonitor monitor;

    // Statuses read from servers of the other region.
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
    // Servers whose next probe waits for the end of the usual interval.
    std::array<uint64_t, BackendGroup::serverCount> probeRound {};
    std::array<bool, BackendGroup::serverCount> isProbeInFlight {};
    GroupView publishedView;
    TimePoint publishedAt;
};

}
