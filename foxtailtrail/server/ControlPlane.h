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

// Settings of a ControlPlane.
struct ControlPlaneSettings {
    Settings vmSettings;
    LiveVm self;
    uint64_t incarnation = 0;
    // Identifies this process as promoter and as holder of homes.
    std::string processName;
};

// The control state of a VM: configuration, peers, lending, homes and promotion. All functions run in fibers of the control thread; other
// threads call them through FiberThread::call and read the published snapshots.
class ControlPlane {
public:
    ControlPlane(ControlPlaneSettings, SnapshotHolder&, Metrics&);

    // Sets this VM's peer port if the operating system has picked it. Must be called before start().
    void setPeerPort(uint16_t);

    // Starts the periodic tasks.
    void start();

    // Hands limit shards over to other VMs, stops the group controllers and ends the periodic tasks.
    void stop(TimePoint deadline);

    // Marks this VM as leaving. The next pings notify its peers, which then stop sending requests.
    void setLeaving();

    // Handle calls of other VMs. The error of a failed call is returned to the calling VM.
    Result<json::object> handlePing(const json::object& parameters);
    Result<json::object> handleVersionRequest(const json::object& parameters);
    Result<json::object> handleDocumentRequest(const json::object& parameters);
    Result<json::object> handleBorrowRequest(const json::object& parameters);
    Result<json::object> handleLoanReturn(const json::object& parameters);
    Result<json::object> handleProbeRequest(const json::object& parameters);

    // Operations for this VM's own traffic threads. The first two correspond to the peer calls "borrow" and "giveBack".
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
    // The limit shards that the configuration assigns to this VM, and those for which the lender is active, as epoch by shard.
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
