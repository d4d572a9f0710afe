#pragma once

#include "foxtailtrail/failover/GroupView.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace foxtail {

// The newest status of each server of a group, by the send time of the request for it.
class QuorumObservations {
public:
    explicit QuorumObservations(std::vector<BackendServerId> group);

    // Takes in what a server reported in answer to a request sent at the given time. Older answers are dropped.
    void observe(const BackendServerId&, TimePoint sentAt, const ServerStatus&);

    size_t majority() const { return this->servers.size() / 2 + 1; }

    // The number of servers that take part in the commit's term and hold the commit.
    size_t holderCount(LogPoint commit) const;

    // The number of servers that have promised a higher term.
    size_t higherPromiseCount(Term) const;

    // A time at or after which a majority was in the term: the earliest send time in the newest majority of reports that
    // promise exactly this term. Empty when there is no such majority.
    std::optional<TimePoint> termConfirmedAt(Term) const;

private:
    struct Observation {
        BackendServerId server;
        std::optional<TimePoint> sentAt;
        ServerStatus status;
    };

    std::vector<Observation> servers;
};

// What is known about a commit.
enum class Durability : uint8_t {
    Pending,
    // It can be acknowledged: it survives every later promotion.
    Durable,
    // Its term is over for so many servers that it cannot become durable in it. The outcome has to be resolved by
    // request id at the new primary.
    Superseded,
    // The deadline passed first. The outcome is unknown.
    Expired,
};

// Decides when a commit may be acknowledged.
class AcknowledgementStrategy {
public:
    virtual ~AcknowledgementStrategy() = default;

    // Pending, Durable or Superseded.
    virtual Durability evaluate(LogPoint commit, const QuorumObservations&) const = 0;
};

// A majority of the group, the primary included, holds the commit in its term. A promotion fences a majority too, so one
// of the fenced servers holds it.
class MajorityAcknowledgement final : public AcknowledgementStrategy {
public:
    Durability evaluate(LogPoint commit, const QuorumObservations&) const override;
};

// The primary's word is enough. The baseline: it loses acknowledged writes when a primary fails.
class PrimaryOnlyAcknowledgement final : public AcknowledgementStrategy {
public:
    Durability evaluate(LogPoint commit, const QuorumObservations&) const override;
};

// Names a commit that waits for its acknowledgement.
struct DurabilityTicket {
    uint64_t value = 0;
    bool operator==(const DurabilityTicket&) const = default;
    bool operator<(const DurabilityTicket& other) const { return this->value < other.value; }
};

// A commit whose wait is over.
struct DurabilityOutcome {
    DurabilityTicket ticket;
    LogPoint commit;
    Durability durability = Durability::Pending;
};

// Holds the commits of one group back until they are durable, from statuses that are read after them.
class DurabilityTracker {
public:
    DurabilityTracker(std::vector<BackendServerId> group, std::shared_ptr<const AcknowledgementStrategy>);

    // Replaces the group after a change of configuration. Waits go on; what is known of the servers is read anew.
    void changeGroup(std::vector<BackendServerId> group);

    // Starts the wait of a commit that the primary reported.
    DurabilityTicket track(LogPoint commit, TimePoint deadline);

    // Takes in a status; see QuorumObservations::observe.
    void observe(const BackendServerId&, TimePoint sentAt, const ServerStatus&);

    // Ends and returns every wait that is decided by now, in the order in which the commits were tracked.
    std::vector<DurabilityOutcome> collectOutcomes(TimePoint now);

    // Whether statuses have to be read to bring a wait forward.
    bool hasPendingCommits() const { return !this->pending.empty(); }

    // Whether a majority was in the term in a check that started at the given time or later. Confirms a primary for a
    // read that arrived then.
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
