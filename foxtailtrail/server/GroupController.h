#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/failover/GroupMonitor.h"
#include "foxtailtrail/failover/Promotion.h"
#include "foxtailtrail/scheduling/HomeClaim.h"
#include "foxtailtrail/server/ControlConnection.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace foxtail {

// What a GroupWatch is built from.
struct GroupControllerSettings {
    VmId self;
    DataCentre dataCentre;
    // Names this process as promoter and as holder of homes. It differs between two starts of the same VM.
    std::string processName;
    // The time between two probes of a server while no commit waits for durability.
    Duration probeInterval = std::chrono::milliseconds(100);
    GroupMonitorSettings monitor;
    PromotionSettings promotion;
};

// What a GroupWatch tells its owner and asks of it. All run in fibers of the control thread.
struct GroupControllerCallbacks {
    std::function<void()> onViewChange;
    // Asks other VMs whether they reach a server, and blocks until they have answered.
    std::function<std::vector<PeerReachabilityReport>(const Database&, const BackendServer&)> queryPeersAboutServer;
    // Notes the new primary for operators. Nothing waits for it.
    std::function<void(const DatabaseId&, const RecordPrimaryHint&)> recordPrimaryHint;
    std::function<void(const DatabaseId&, PromotionCause, Duration)> onPromoted;
};

// Watches one database group from this VM: probes its servers, holds back commits until they are durable, promotes a new
// primary when one is due, and claims the homes that are placed here. Runs in fibers of the control thread.
class GroupController : public std::enable_shared_from_this<GroupController> {
public:
    // Fails when the database names no server.
    static Result<std::shared_ptr<GroupController>> create(
        GroupControllerSettings, GroupControllerCallbacks, const Database&, std::vector<MonitorPeer>);

    // Starts the fibers.
    void start();

    // Ends the fibers and the waits. Returns when all have ended.
    void stop();

    // Takes over a new configuration of the database or another set of live VMs. The place is this VM's position in the
    // rendezvous order of the database.
    void update(const Database&, std::vector<MonitorPeer>, unsigned place);

    // Names the servers whose home is to be held by this VM. Others are given up.
    void setAssignedHomes(const std::vector<BackendServerId>&);

    // Blocks the calling fiber until the commit is durable, superseded or the deadline has passed. Durable also says that a
    // majority of the group reported the commit's term in answer to checks that were sent after this call.
    Durability awaitDurability(LogPoint, TimePoint deadline);

    std::shared_ptr<const GroupView> view() const { return this->currentView; }

    // The epochs of the homes that this process holds, by server.
    std::map<BackendServerId, uint64_t> heldHomeEpochs() const;

private:
    // A backend server with its control connection. Probes and commands share it, as connections are scarce; on a server that
    // does not answer, a command waits behind a probe, but it would get no answer either.
    struct WatchedServer {
        WatchedServer(const BackendServer&, const std::string& processName);

        BackendServer server;
        ControlConnection controlConnection;
        HomeClaim claim;
        bool isHomeAssigned = false;
    };
    // A fiber that waits for a commit.
    struct DurabilityWaiter {
        boost::fibers::promise<Durability> promise;
        LogPoint commit;
        TimePoint startedAt;
        TimePoint deadline;
    };

    using ServerPointer = std::shared_ptr<WatchedServer>;

    GroupController(GroupControllerSettings, GroupControllerCallbacks, const Database&, GroupMonitor);

    void setServers(const Database&);
    ServerPointer find(const BackendServerId&) const;
    void startProbing(const ServerPointer&);
    void handleStatusReport(WatchedServer&, TimePoint sentAt, const ControlReply&);
    void advanceClaims();
    void performClaimAction(const ServerPointer&, HomeClaimAction);
    void completeDurabilityWaiters();
    void completeTermConfirmations();
    bool hasWaiters() const { return this->durability.hasPendingCommits() || !this->termConfirmationWaiters.empty(); }
    void publish(bool force);
    void tick();
    void queryPeersIfDue();
    void sendFollowCommandsIfDue();
    void perform(const std::vector<PromotionEffect>&);
    void performCommand(PromotionCommand, const BackendServerId&, Term, const BackendServerId& primary);
    void readStatus(const BackendServerId&);
    void finishPromotionIfEnded();
    void startTask(std::function<void()>);

    GroupControllerSettings settings;
    GroupControllerCallbacks callbacks;
    Database database;
    std::vector<ServerPointer> servers;
    std::vector<MonitorPeer> peers;
    unsigned rendezvousRank = 0;
    GroupMonitor monitor;
    DurabilityTracker durability;
    Promotion promotion;
    std::optional<TimePoint> promotionWakeAt;
    std::optional<DuePromotion> runningPromotion;
    TimePoint promotionStartedAt;
    bool isQueryingPeers = false;
    std::map<DurabilityTicket, DurabilityWaiter> durabilityWaiters;
    // The commits that are durable and wait for a majority to confirm their term.
    std::vector<DurabilityWaiter> termConfirmationWaiters;
    std::shared_ptr<const GroupView> currentView;
    TimePoint publishedAt;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable wakeCondition;
    bool isStopping = false;
    size_t runningTaskCount = 0;
};

}
