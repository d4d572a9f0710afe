#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/failover/FleetEvidence.h"
#include "foxtailtrail/failover/PrimaryAbsence.h"
#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/replication/PlacementRule.h"
#include "foxtailtrail/replication/PrimaryLease.h"
#include "foxtailtrail/replication/PrimaryPositionHistory.h"
#include "foxtailtrail/replication/ReadServerSelector.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

class StatusQuery;

// What one VM reports to another about a group: when the lease of its primary was last renewed, and a position that the primary held. Times
// are those of the VM that holds the update.
struct GroupUpdate {
    ServiceName service;
    BackendServerId primaryServer;
    Term term;
    TimePoint leaseRenewedAt {};
    // A position that the primary reported, and when the request for it was sent.
    LogPoint position;
    TimePoint sampledAt {};
    // The highest position that the VM knows to contain an acknowledged commit.
    std::optional<LogPoint> acknowledged {};
};

// The interface through which a group tracker uses the VM.
class GroupContext {
public:
    virtual ~GroupContext() = default;
    virtual const ServerDirectory& directory() const = 0;
    // Returns the pool of a server, or null when the server is not known.
    virtual std::shared_ptr<LinkPool> pool(const BackendServerId&) = 0;
    virtual Distance distanceTo(const ServerEntry&) const = 0;
    virtual const BackendCodec& backendCodec() const = 0;
    // Returns true when this VM is cut off from the store and from most other VMs, so that it cannot learn of a new primary.
    virtual bool isIsolated() const = 0;
    // Returns true when the list of servers may lack some that have joined, because the store does not serve this VM.
    virtual bool mayMissServers() const = 0;
    // Returns true when a server that leaves may stop so soon that nothing new is sent to it.
    virtual bool mayStopSoon(const BackendServerId&, TimePoint now) const = 0;
    // Returns whether a statement with these homes may be sent to a server of the data centre.
    virtual Placement placementIn(const DataCentre&, const Homes&, TimePoint) const { return Placement::Allowed; }
    // Returns whether the choice of a server for a read uses reports of the servers' loads, and whether the pool's report is of all
    // statements that VMs send to the server.
    virtual bool usesReportedLoad(const LinkPool&) { return false; }
    // Returns a uniformly distributed number from 0 to 1.
    virtual double randomDraw() { return 0; }
    // Counts the choice of a server for a read.
    virtual void recordReadChoice(const ReadChoice&) { }
    // Returns whether this VM may send a statement to the server now, which it may not if the server is cold and others have its share.
    virtual bool maySendWhileCold(const ServerEntry&, TimePoint) const { return true; }
    // Records a statement that is sent to the server now.
    virtual void recordSentWhileCold(const ServerEntry&, TimePoint) { }
    // Requests an examination of the group's primary.
    virtual void examineGroup(const ServiceName&, std::string_view reason) = 0;
};

// What the traffic of this VM shows about one group: recent positions, the lease of its primary, and signs of failure.
class GroupTracker : public std::enable_shared_from_this<GroupTracker> {
public:
    using PrimaryCallback = std::function<void(std::optional<BackendServerId>)>;
    // How long commits that no answering server holds may come back with a server that holds them. A change of primary is over within 16 s;
    // the rest of that time is for the promotion.
    static constexpr Duration lostCommitDelay = std::chrono::seconds(14);

    GroupTracker(ServiceName, GroupContext&);

    // Records the reply of a server. isCommit is set for an acknowledged commit of a transaction that wrote.
    void recordReply(const BackendServerId&, const std::optional<LogPoint>& position, TimePoint sentAt, bool isCommit);
    // Records that the server that this VM uses as the primary refused a statement because it is not the primary.
    void recordNotPrimary(const BackendServerId&);
    // Records that a server did not answer.
    void recordFailure(const BackendServerId&, TimePoint now);
    // Counts the commits that have been sent to the primary and have no reply yet.
    void recordCommitSent() { ++this->commitsInFlight; }
    void recordCommitEnded() { --this->commitsInFlight; }
    // Records a commit that had no reply until its deadline.
    void recordUnansweredCommit(const BackendServerId&, TimePoint now);
    // Evaluates one round of statuses of the group's servers. The lease is renewed when every replica reports that it receives in the
    // primary's term, because a promoted replica would report that it is the primary. When a replica does not answer or still
    // leads in an older term, or this VM may not know all replicas, the others must report this in two rounds some time apart: by the
    // second round, a promotion would have paused them or informed them of the new primary. An isolated VM does not renew the lease while a
    // replica does not answer.
    void applyStatusRound(const std::vector<ProbedStatus>&);
    // Handles the result of an examination: the primary of the directory answered and no server knows a newer term.
    void confirmPrimary(const ProbedStatus&);
    // Handles a change of the directory.
    void directoryChanged();

    // Returns an update if the lease has been renewed after the given time, or an empty optional.
    std::optional<GroupUpdate> updateSince(TimePoint newerThan) const;
    // Applies an update of another VM. Its times, converted to the clock of this VM, must not be later than the true ones.
    void applyUpdate(const GroupUpdate&);

    // Returns what this VM knows about the commits of the group, for a VM that examines it. With holdsBackCommits, this VM sends no commit
    // to the primary for a while from now on, unless it uses the primary or waits for the reply to a commit; the report says whether.
    GroupReport report(TimePoint now, bool holdsBackCommits);
    // Returns true while this VM has promised to send no commit.
    bool areCommitsHeldBack(TimePoint now) const { return now < this->commitsHeldBackUntil; }

    // Returns the required position of a read, or an empty optional when only the primary can serve it.
    std::optional<LogPoint> requiredPositionFor(
        TimePoint now, Duration maxStaleness, const std::optional<AcknowledgedCommit>& commit) const;
    // Returns the servers that may run reads with these homes.
    std::vector<ReadCandidate> readCandidates(const std::string& organisation, const Homes&, TimePoint now) const;
    ReadServerSelector& selector() { return this->readServerSelector; }

    // Calls back with the primary once it holds the lease, or with an empty optional at the deadline. Writes need the lease too: the
    // outcome of a write that is sent to a replaced primary is unknown, while a write that waits can still be refused. Returns a ticket for
    // cancel(), or 0.
    uint64_t whenPrimaryUsable(const std::string& organisation, TimePoint giveUpAt, PrimaryCallback);
    void cancel(uint64_t ticket);
    // Returns true when the server may be used as the primary at this time.
    bool isUsablePrimary(const BackendServerId& server, TimePoint now) const { return this->usablePrimary(now) == server; }
    void sweep(TimePoint now);

    // Returns true when several commits at the primary, or one for a long time, have had no reply and none was acknowledged since.
    bool areCommitsStalled(TimePoint now) const;
    // Records the logs that the replicas of the group report.
    void recordReportedLogs(const std::vector<ProbedStatus>&);
    // Returns the highest position that contains an acknowledged commit, or that a replica has reported, so that its last commit may be
    // acknowledged too.
    std::optional<LogPoint> highestKnownPoint() const { return std::max(this->highestAcknowledged, this->highestReported); }
    // Returns the position that a new primary must have received. Empty when none is known, or when this VM has known no primary to lead
    // for so long that servers that do not answer, and the commits that only they hold, count as lost.
    std::optional<LogPoint> requiredLogPoint(TimePoint now) const;
    // Returns when the primary was last known to lead.
    TimePoint lastLedAt() const { return this->primaryLedAt; }
    // Returns the term that the primary itself reports, or term 0 while it is not known.
    Term primaryTerm() const { return this->knownPrimaryTerm; }
    const ServiceName& service() const { return this->serviceName; }

private:
    struct StatusRound;
    void logLeaseNotRenewed(const ProbedStatus&) const;
    struct Waiter {
        uint64_t ticket = 0;
        std::string organisation;
        TimePoint enqueuedAt {};
        TimePoint giveUpAt {};
        PrimaryCallback callback;
    };
    // Returns true when the directory names a settled primary that has not reported otherwise.
    bool hasSettledPrimary() const;
    // Returns the primary if it holds the lease at this time.
    std::optional<BackendServerId> usablePrimary(TimePoint now) const;
    void serveWaiters();
    // Returns true when the primary is in a data centre whose evacuation is in force and no server elsewhere could replace it, so that
    // waiting is of no use.
    bool isPrimaryEvacuatedForGood(TimePoint now) const;
    Placement placementOf(const BackendServerId&, TimePoint now) const;
    // Requests the status of the replicas to check whether they still receive from the primary.
    void renewLease(const std::string& organisation, TimePoint now);
    // Requests the status of the primary to learn its term, which the terms of the replicas are compared with.
    void queryPrimaryTerm(const std::string& organisation, TimePoint now);

    ServiceName serviceName;
    GroupContext& groupContext;
    PrimaryPositionHistory positionHistory;
    PrimaryLease lease;
    ReadServerSelector readServerSelector;
    std::optional<LogPoint> highestAcknowledged;
    std::optional<LogPoint> highestReported;
    // When the primary was last known to lead, by a reply of its own: replicas report the same while the primary is out of reach.
    TimePoint primaryLedAt {};
    // When this VM began to follow the group.
    TimePoint followedFrom {};
    // When statements began to wait for a usable primary, or empty while there is one.
    PrimaryAbsence absence;
    // Whether a statement was refused for lack of a primary since the last sweep.
    bool hasRefusedStatement = false;
    std::list<Waiter> waiters;
    uint64_t nextTicket = 1;
    // The server that reported that it is not the primary although the directory names it.
    BackendServerId serverReportingNotPrimary;
    // The last primary of the directory, to detect a change.
    std::optional<PrimaryView> lastPrimaryView;
    // Taken from replies of the primary, because the record of a promotion may carry a higher term.
    Term knownPrimaryTerm;
    // Gives up the queries of a renewal that have no reply in time, so that the next renewal can start.
    void giveUpSilentQueries(TimePoint now);

    bool isRenewingLease = false;
    std::vector<std::weak_ptr<StatusQuery>> renewalQueries;
    TimePoint renewalEndsAt {};
    // When the earliest request of the first of two rounds was sent that renew the lease together. Empty when there was none, or when a
    // replica has not received from the primary since.
    std::optional<TimePoint> firstRoundAt;
    TimePoint renewalStartedAt {};
    // The first failure of the primary since its last reply.
    std::optional<TimePoint> firstFailureAt;
    uint32_t consecutiveFailures = 0;
    std::optional<TimePoint> firstUnansweredCommitAt;
    uint32_t unansweredCommitCount = 0;
    uint32_t commitsInFlight = 0;
    // When this VM sent the newest commit that was acknowledged to it.
    std::optional<TimePoint> commitSentAt;
    TimePoint commitsHeldBackUntil {};
};

}
