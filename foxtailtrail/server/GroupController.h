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

// Settings of a GroupController.
struct GroupControllerSettings {
    VmId self;
    DataCentre dataCentre;
    // Identifies this process as promoter and as holder of homes. Differs between two starts of the same VM.
    std::string processName;
    // The interval between two probes of a server while no commit waits for durability.
    Duration probeInterval = std::chrono::milliseconds(100);
    GroupMonitorSettings monitor;
    PromotionSettings promotion;
};

// Callbacks of a GroupController to its owner. All run in fibers of the control thread.
struct GroupControllerCallbacks {
    std::function<void()> onViewChange;
    // Queries other VMs whether they reach a server. Blocks the calling fiber until they have replied or timed out.
    std::function<std::vector<PeerReachabilityReport>(const Database&, const BackendServer&)> queryPeersAboutServer;
    // Records the new primary for operators. The controller does not wait for it.
    std::function<void(const DatabaseId&, const RecordPrimaryHint&)> recordPrimaryHint;
    std::function<void(const DatabaseId&, PromotionCause, Duration)> onPromoted;
};

// Controls one database group from this VM: probes its servers, delays the replies to commits until the commits are durable, promotes a new
// primary when a promotion is due, and claims the homes that are assigned to this VM. Runs in fibers of the control thread.
class GroupController : public std::enable_shared_from_this<GroupController> {
public:
    // Fails if the database has no server.
    static Result<std::shared_ptr<GroupController>> create(
        GroupControllerSettings, GroupControllerCallbacks, const Database&, std::vector<MonitorPeer>);

    // Starts the probes and the periodic tick.
    void start();

    // Ends all tasks and completes all waits as expired. Returns after the last task has ended.
    void stop();

    // Applies a new configuration of the database or a new set of live VMs. newRank is this VM's position, from 0, in the order in which
    // the homes of the database promote.
    void update(const Database&, std::vector<MonitorPeer>, unsigned newRank);

    // Sets the servers whose homes this VM should hold. Releases the homes of all others.
    void setAssignedHomes(const std::vector<BackendServerId>&);

    // Blocks the calling fiber until the commit is durable, has been superseded, or the deadline has passed. Durable also means that a
    // majority of the group reported the commit's term in replies to probes that were sent after this call.
    Durability awaitDurability(LogPoint, TimePoint deadline);

    std::shared_ptr<const GroupView> view() const { return this->currentView; }

    // Returns the epochs of the homes that this process holds, by server.
    std::map<BackendServerId, uint64_t> heldHomeEpochs() const;

private:
    // A backend server with its control connection. Probes and commands share the connection, because connections are scarce. On an
    // unresponsive server a command waits behind a probe, but the command would not get a reply either.
    struct WatchedServer {
        WatchedServer(const BackendServer&, const std::string& processName);

        BackendServer server;
        ControlConnection controlConnection;
        HomeClaim claim;
        bool isHomeAssigned = false;
    };
    // A fiber that waits for a commit to become durable.
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
    // Waiters whose commits are durable and whose term has yet to be confirmed by a majority.
    std::vector<DurabilityWaiter> termConfirmationWaiters;
    std::shared_ptr<const GroupView> currentView;
    TimePoint publishedAt;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable wakeCondition;
    bool isStopping = false;
    size_t runningTaskCount = 0;
};

}
