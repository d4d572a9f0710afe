#pragma once

#include "foxtailtrail/limits/TokenLender.h"
#include "foxtailtrail/scheduling/HomePlacement.h"
#include "foxtailtrail/server/ConfigurationMaintenance.h"
#include "foxtailtrail/server/ConfigurationService.h"
#include "foxtailtrail/server/GroupController.h"
#include "foxtailtrail/server/MembershipService.h"
#include "foxtailtrail/server/Metrics.h"
#include "foxtailtrail/server/Settings.h"

#include <map>
#include <memory>

namespace foxtail {

// What the control state of a VM is built from.
struct ControlPlaneSettings {
    Settings vmSettings;
    LiveVm self;
    uint64_t incarnation = 0;
    // Names this process as promoter and holder of homes.
    std::string processName;
};

// The control state of a VM: configuration, peers, lending, homes and promotion. Everything here runs in fibers of the control
// thread; other threads enter through FiberThread::call and read the snapshots that it publishes.
class ControlPlane {
public:
    ControlPlane(ControlPlaneSettings, SnapshotHolder&, Metrics&);

    // Sets the port for calls of other VMs, when the system picked it. Call it before start().
    void setPeerPort(uint16_t);

    // Starts the fibers.
    void start();

    // Marks the VM as leaving, hands homes and limit shards over, and ends the fibers.
    void stop(TimePoint deadline);

    // Tells the peers that this VM leaves, so that they stop sending work.
    void setLeaving();

    // Answers a call of another VM. Fails with the error that the peer receives.
    Result<json::object> handlePing(const json::object& parameters);
    Result<json::object> handleVersionRequest(const json::object& parameters);
    Result<json::object> handleDocumentRequest(const json::object& parameters);
    Result<json::object> handleBorrowRequest(const json::object& parameters);
    Result<json::object> handleLoanReturn(const json::object& parameters);
    Result<json::object> handleProbeRequest(const json::object& parameters);

    // The same for this VM's own traffic threads.
    BorrowReply lend(const BorrowRequest&);
    void applyLoanReturn(const LoanReturn&);
    Durability awaitDurability(const DatabaseId&, LogPoint, TimePoint deadline);

    ProposalOutcome propose(ConfigurationChange, TimePoint deadline);
    PeerClient& peerClient() { return this->peers; }
    const LiveVm& self() const { return this->settings.self; }

private:
    void startLoop(Duration interval, std::function<void()> work);
    void onConfigurationChange();
    void placeHomes();
    void activateAssignedShards();
    std::vector<HomeKey> homeKeys(const Database&) const;
    std::shared_ptr<GroupController> findOrCreateGroupController(const Database&);
    std::vector<MonitorPeer> monitorPeers() const;
    std::vector<PeerReachabilityReport> queryPeersAboutServer(const Database&, const BackendServer&);
    void publish();
    void maintainConfiguration();
    void completeWitnessReplacement();
    std::vector<OwnerCandidate> ownerCandidates() const;
    bool isAcknowledgedByMajority(const std::vector<VmAddress>&, uint64_t version);
    void recordPrimaryHint(const DatabaseId&, const RecordPrimaryHint&);
    ConfigurationChange makeConfigurationChange(ChangeAction);

    ControlPlaneSettings settings;
    SnapshotHolder& snapshots;
    Metrics& metrics;
    StoreClient store;
    PeerClient peers;
    ConfigurationService configuration;
    MembershipService membership;
    TokenLender lender;
    HomePlacement placement;
    std::map<DatabaseId, std::shared_ptr<GroupController>> groupControllers;
    std::map<HomeKey, VmId> homes;
    uint64_t appliedVersion = 0;
    // The limit shards that the configuration gives to this VM, and those that the lender has taken over, as epoch by shard.
    std::map<uint32_t, uint64_t> assignedShards;
    std::map<uint32_t, uint64_t> activeShards;
    std::shared_ptr<const KeyTable> keyTable;
    TimePoint startedAt;
    uint64_t changeCount = 0;
    bool isLeaving = false;
    bool isStopping = false;
    size_t runningLoopCount = 0;
};

}
