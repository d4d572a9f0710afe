#pragma once

#include "foxtailtrail/limits/ShareLender.h"
#include "foxtailtrail/scheduling/HomePlacement.h"
#include "foxtailtrail/server/ConfigurationService.h"
#include "foxtailtrail/server/GroupWatch.h"
#include "foxtailtrail/server/MembershipService.h"
#include "foxtailtrail/server/Metrics.h"
#include "foxtailtrail/server/Settings.h"
#include "foxtailtrail/server/Upkeep.h"

#include <map>
#include <memory>

namespace foxtail {

// What the control state of a VM is built from.
struct ControlLoopSettings {
    Settings vm;
    LiveVm self;
    uint64_t incarnation = 0;
    // Names this process as promoter and holder of homes.
    std::string processName;
};

// The control state of a VM: configuration, peers, lending, homes and promotion. Everything here runs in fibers of the control
// thread; other threads enter through FiberThread::call and read the snapshots that it publishes.
class ControlLoop {
public:
    ControlLoop(ControlLoopSettings, SnapshotBoard&, Metrics&);

    // Sets the port for calls of other VMs, when the system picked it. Call it before start().
    void setPeerPort(uint16_t);

    // Starts the fibers.
    void start();

    // Marks the VM as leaving, hands homes and limit shards over, and ends the fibers.
    void stop(TimePoint deadline);

    // Tells the peers that this VM leaves, so that they stop sending work.
    void announceLeaving();

    // Answers a call of another VM. Fails with the error that the peer receives.
    Result<json::object> answerPing(const json::object& parameters);
    Result<json::object> reportVersion(const json::object& parameters);
    Result<json::object> reportDocument(const json::object& parameters);
    Result<json::object> borrow(const json::object& parameters);
    Result<json::object> takeBack(const json::object& parameters);
    Result<json::object> probe(const json::object& parameters);

    // The same for this VM's own traffic threads.
    BorrowReply lend(const BorrowRequest&);
    void takeBack(const GiveBack&);
    Durability awaitDurability(const DatabaseId&, LogPoint, TimePoint deadline);

    ProposalOutcome propose(ConfigurationChange, TimePoint deadline);
    PeerClient& peerClient() { return this->peers; }
    const LiveVm& self() const { return this->settings.self; }

private:
    void startLoop(Duration interval, std::function<void()> work);
    void onConfigurationChange();
    void placeHomes();
    void takeShards();
    std::vector<HomeKey> homeKeys(const Database&) const;
    std::shared_ptr<GroupWatch> watchFor(const Database&);
    std::vector<MonitorPeer> monitorPeers() const;
    std::vector<PeerEvidence> askPeers(const Database&, const BackendServer&);
    void publish();
    void keepUp();
    void settleWitnesses();
    std::vector<OwnerCandidate> ownerCandidates() const;
    bool hasAcknowledged(const std::vector<VmAddress>&, uint64_t version);
    void recordHint(const DatabaseId&, const RecordHint&);
    ConfigurationChange changeBy(ChangeAction);

    ControlLoopSettings settings;
    SnapshotBoard& board;
    Metrics& metrics;
    StoreClient store;
    PeerClient peers;
    ConfigurationService configuration;
    MembershipService membership;
    ShareLender lender;
    HomePlacement placement;
    std::map<DatabaseId, std::shared_ptr<GroupWatch>> watches;
    std::map<HomeKey, VmId> homes;
    uint64_t appliedVersion = 0;
    // The limit shards that the configuration gives to this VM, and those that the lender has taken over, as epoch by shard.
    std::map<uint32_t, uint64_t> ownShards;
    std::map<uint32_t, uint64_t> lentShards;
    std::shared_ptr<const KeyTable> keys;
    TimePoint startedAt;
    uint64_t changeCount = 0;
    bool leaving = false;
    bool stopping = false;
    size_t loops = 0;
};

}
