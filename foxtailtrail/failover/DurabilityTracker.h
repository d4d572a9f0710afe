#pragma once

#include "foxtailtrail/failover/GroupView.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace foxtail {

// The newest status that each server of a group has reported. Statuses are ordered by the send time of their requests.
class QuorumObservations {
public:
    explicit QuorumObservations(std::vector<BackendServerId> group);

    // Records the status that a server reported in reply to a request sent at the given time. Ignores it unless the request
    // is newer than that of the recorded status.
    void observe(const BackendServerId&, TimePoint sentAt, const ServerStatus&);

    size_t majority() const { return this->servers.size() / 2 + 1; }

    // Returns the number of servers that take part in the commit's term and hold the commit.
    size_t holderCount(LogPoint commit) const;

    // Returns the number of servers that have promised a higher term.
    size_t higherPromiseCount(Term) const;

    // Returns a time at or after which a majority was in the term: the earliest send time among the newest majority of
    // reports that promise exactly this term. Returns std::nullopt when there is no such majority.
    std::optional<TimePoint> termConfirmedAt(Term) const;

private:
    struct Observation {
        BackendServerId server;
        std::optional<TimePoint> sentAt;
        ServerStatus status;
    };

    std::vector<Observation> servers;
};

// Whether a commit can be acknowledged.
enum class Durability : uint8_t {
    Pending,
    // The commit survives every later promotion, so it can be acknowledged.
    Durable,
    // A majority has promised a higher term, so the commit cannot become durable in its own term. The outcome has to be
    // resolved by request id at the new primary.
    Superseded,
    // The deadline passed before the commit was decided. The outcome is unknown.
    Expired,
};

// The rule that decides when a commit may be acknowledged.
class AcknowledgementStrategy {
public:
    virtual ~AcknowledgementStrategy() = default;

    // Returns Pending, Durable or Superseded.
    virtual Durability evaluate(LogPoint commit, const QuorumObservations&) const = 0;
};

// The rule that a majority of the group, including the primary, has to hold the commit in its term. A promotion fences a
// majority as well, so at least one of the fenced servers holds the commit.
class MajorityAcknowledgement final : public AcknowledgementStrategy {
public:
    Durability evaluate(LogPoint commit, const QuorumObservations&) const override;
};

// The rule that only the primary has to hold the commit. This is the baseline for comparisons: it loses acknowledged writes
// when a primary fails.
class PrimaryOnlyAcknowledgement final : public AcknowledgementStrategy {
public:
    Durability evaluate(LogPoint commit, const QuorumObservations&) const override;
};

// The identifier of a commit that waits for its acknowledgement.
struct DurabilityTicket {
    uint64_t value = 0;
    bool operator==(const DurabilityTicket&) const = default;
    bool operator<(const DurabilityTicket& other) const { return this->value < other.value; }
};

// A commit that has been decided or whose deadline has passed.
struct DurabilityOutcome {
    DurabilityTicket ticket;
    LogPoint commit;
    Durability durability = Durability::Pending;
};

// The commits of one group that wait to become durable. Durability is decided from statuses that are read after the
// commits.
class DurabilityTracker {
public:
    DurabilityTracker(std::vector<BackendServerId> group, std::shared_ptr<const AcknowledgementStrategy>);

    // Replaces the group after a change of configuration. Pending commits are kept; recorded statuses are discarded and
    // have to be read again.
    void changeGroup(std::vector<BackendServerId> group);

    // Starts tracking a commit that the primary reported.
    DurabilityTicket track(LogPoint commit, TimePoint deadline);

    // Records a status; see QuorumObservations::observe.
    void observe(const BackendServerId&, TimePoint sentAt, const ServerStatus&);

    // Removes and returns every commit that is decided or has expired, in the order in which the commits were tracked.
    std::vector<DurabilityOutcome> collectOutcomes(TimePoint now);

    // Returns whether commits are pending, so that statuses have to be read.
    bool hasPendingCommits() const { return !this->pending.empty(); }

    // Returns whether a majority was in the term in a check that started at the given time or later. This confirms the
    // primary for a read that arrived at that time.
    bool isTermConfirmed(Term, TimePoint since) const;

private:
    struct PendingCommit {
        DurabilityTicket ticket;
        LogPoint commit;
        TimePoint deadline;
    };

    QuorumObservations observations;
    std::shared_ptr<const AcknowledgementStrategy> strategy;
    std::vector<PendingCommit> pending;
    uint64_t lastTicket = 0;
};

}
