#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/LinkPool.h"
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

// What one VM tells another about a group: proofs that its primary led, and a position that it held. Times are those of the VM
// that holds the news.
struct GroupUpdate {
    ServiceName service;
    BackendServerId primaryServer;
    Term term;
    TimePoint leaseRenewedAt {};
    // The position that the primary held, and the time of the request that it answered.
    LogPoint position;
    TimePoint sampledAt {};
};

// What the traffic of a group needs of the VM around it.
class GroupContext {
public:
    virtual ~GroupContext() = default;
    virtual const ServerDirectory& directory() const = 0;
    // The pool of a server, or null when the server is not known.
    virtual std::shared_ptr<LinkPool> pool(const BackendServerId&) = 0;
    virtual Distance distanceTo(const ServerEntry&) const = 0;
    virtual const BackendCodec& backendCodec() const = 0;
    // Whether this VM is cut off from the store and from most other VMs, so that it won't learn of a new primary.
    virtual bool isIsolated() const = 0;
    // Whether the list of servers may lack some that have joined, as the store does not serve this VM.
    virtual bool mayMissServers() const = 0;
    // Asks for an examination of the group's primary.
    virtual void examineGroup(const ServiceName&, std::string_view reason) = 0;
};

// What this VM's traffic has shown about one group: fresh positions, the lease on its primary, and signs of failure.
class GroupTracker : public std::enable_shared_from_this<GroupTracker> {
public:
    using PrimaryCallback = std::function<void(std::optional<BackendServerId>)>;

    GroupTracker(ServiceName, GroupContext&);

    // Takes an answer of a server. A commit is an acknowledged one that wrote.
    void recordReply(const BackendServerId&, const std::optional<LogPoint>& position, TimePoint sentAt, bool isCommit);
    // Takes the refusal of a server that was taken for the primary.
    void recordNotPrimary(const BackendServerId&);
    // Takes a sign that a server does not answer.
    void recordFailure(const BackendServerId&, TimePoint now);
    // Takes a commit that has had no answer until its deadline.
    void recordUnansweredCommit(const BackendServerId&, TimePoint now);
    // Takes what the servers of the group say. It proves that the primary still leads when every replica says that it receives in the
    // primary's term, as a promoted one would say that it leads. Where one does not answer, or may be unknown here, the others have to
    // say so twice, some time apart: a promotion would have paused them, or told them of the new primary since.
    void applyStatusRound(const std::vector<ProbedStatus>&);
    // Takes the result of an examination: the primary of the directory answered and no server knows a newer term.
    void confirmPrimary(const ProbedStatus&);
    // The directory has changed.
    void directoryChanged();

    // What this VM knows that is newer than the given time, or nothing.
    std::optional<GroupUpdate> updateSince(TimePoint newerThan) const;
    // Takes what another VM knows. Its times must be lower bounds of this VM's.
    void applyUpdate(const GroupUpdate&);

    // The position that a read must require, or nothing when only the primary can serve it.
    std::optional<LogPoint> requiredPositionFor(
        TimePoint now, Duration maxStaleness, const std::optional<AcknowledgedCommit>& commit) const;
    // The servers that may run reads.
    std::vector<ReadCandidate> readCandidates(const std::string& organisation) const;
    ReadServerSelector& selector() { return this->readServerSelector; }

    // Calls back with the primary once the lease covers it, or with nothing at the deadline. Writes need the lease too: one that is
    // sent to a primary that has been replaced is in doubt, one that waits can still be refused. Returns a ticket for cancel(), or 0.
    uint64_t whenPrimaryUsable(const std::string& organisation, TimePoint giveUpAt, PrimaryCallback);
    void cancel(uint64_t ticket);
    // Whether the server may be used as the primary at this time.
    bool isUsablePrimary(const BackendServerId& server, TimePoint now) const { return this->usablePrimary(now) == server; }
    void sweep(TimePoint now);

    // Commits at the primary have had no answer for long, although it answers.
    bool areCommitsStalled(TimePoint now) const;
    // The highest position known to hold an acknowledged commit.
    const std::optional<LogPoint>& highestAcknowledgedPoint() const { return this->highestAcknowledged; }
    // The term in which the primary leads by its own answers, or term 0 while it is not known.
    Term primaryTerm() const { return this->knownPrimaryTerm; }
    const ServiceName& service() const { return this->serviceName; }

private:
    struct StatusRound;
    void logUnprovenLease(const ProbedStatus&) const;
    struct Waiter {
        uint64_t ticket = 0;
        std::string organisation;
        TimePoint since {};
        TimePoint giveUpAt {};
        PrimaryCallback callback;
    };
    // Whether the directory names a primary and nothing speaks against it.
    bool hasSettledPrimary() const;
    // The primary when the lease covers it at this time.
    std::optional<BackendServerId> usablePrimary(TimePoint now) const;
    void serveWaiters();
    // Asks a replica whether it still receives from the primary.
    void renewLease(const std::string& organisation, TimePoint now);
    // Asks the primary for its term, with which the words of replicas are compared.
    void queryPrimaryTerm(const std::string& organisation, TimePoint now);

    ServiceName serviceName;
    GroupContext& groupContext;
    PrimaryPositionHistory positionHistory;
    PrimaryLease lease;
    ReadServerSelector readServerSelector;
    std::optional<LogPoint> highestAcknowledged;
    // Since when statements have waited for a primary without one becoming usable.
    std::optional<TimePoint> noPrimarySince;
    std::list<Waiter> waiters;
    uint64_t nextTicket = 1;
    // The server that denied to lead although the directory says so.
    BackendServerId serverReportingNotPrimary;
    // The last view of the directory, to notice a change of primary.
    std::optional<PrimaryView> lastPrimaryView;
    // By the primary's own answers: the record of a promotion may carry a higher number.
    Term knownPrimaryTerm;
    bool isRenewingLease = false;
    // When the replicas were first asked, if all of them have said since that they receive.
    std::optional<TimePoint> firstRoundAt;
    TimePoint renewalStartedAt {};
    // The first failure of the primary since its last answer.
    std::optional<TimePoint> failingSince;
    uint32_t failures = 0;
    std::optional<TimePoint> commitsUnansweredSince;
    uint32_t unansweredCommits = 0;
};

}
