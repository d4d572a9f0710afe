#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/failover/GroupView.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace foxtail {

// What a read asks of the server that answers it.
struct ReadRequirements {
    // The log point of the caller's token for this database.
    std::optional<LogPoint> tokenLogPoint;
    // The oldest data that the caller accepts.
    std::optional<Duration> maximumStaleness;
    TimePoint arrivedAt;
    TimePoint deadline;
    Region region;
};

// What to do in one attempt.
enum class ReadAttemptKind : uint8_t {
    // Run the read at the replica.
    Replica,
    // Route again as soon as a replica holds the required log point, and go on with the next attempt at notAfter.
    WaitForReplica,
    // Run the read at the primary. The required log point alone makes it correct.
    Primary,
    // Run the read at the primary, and answer only once a majority of the group reported the required term in a check
    // that started at confirmedSince or later.
    ConfirmedPrimary,
    // Route again as soon as the view has another reachable primary or a higher term; give up at notAfter.
    WaitForPrimary,
};

// One step of a read's plan.
struct ReadAttempt {
    ReadAttemptKind kind = ReadAttemptKind::Replica;
    // Empty for the two waits.
    BackendServerId server;
    // What the server must hold, checked there in the transaction of the read.
    LogPoint requiredLogPoint;
    // Set for ConfirmedPrimary.
    std::optional<TimePoint> earliestConfirmationAt;
    // The attempt must not start, or the wait must end, after this.
    TimePoint attemptDeadline;

    bool operator==(const ReadAttempt&) const = default;
};

// The attempts in the order to make them. A refusal by a server means that the read did not run there.
struct ReadPlan {
    std::vector<ReadAttempt> attempts;
    // The answer when no attempt succeeds.
    ErrorKind exhaustedError = ErrorKind::ReadNotCurrent;
};

// Chooses the servers of a read.
class ReadRoutingStrategy {
public:
    virtual ~ReadRoutingStrategy() = default;

    // The plan of a read. The salt spreads reads over equally good replicas. Fails with DeadlineExceeded when the
    // deadline has passed and with NoPrimary when the group has no servers.
    virtual Result<ReadPlan> route(const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const = 0;
};

// The bound of the wait for a replica to catch up with a token.
struct ReadRouterSettings {
    Duration replicaWaitTimeout = std::chrono::milliseconds(50);
    // The wait is at most the time allowed for the whole read divided by this.
    int replicaWaitDivisor = 4;
};

// Uses replicas wherever the token or the stated age allows it. A view is only a hint: each attempt names the log point
// that the server itself has to check.
class ReadRouter final : public ReadRoutingStrategy {
public:
    explicit ReadRouter(ReadRouterSettings = {});

    Result<ReadPlan> route(const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const override;

private:
    void addReplicas(ReadPlan&, const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const;
    void addReplicaWait(ReadPlan&, const ReadRequirements&, const GroupView&, TimePoint now) const;

    ReadRouterSettings settings;
};

// Sends every read to the confirmed primary. The baseline that the share of replica reads is measured against.
class PrimaryOnlyReadRouter final : public ReadRoutingStrategy {
public:
    Result<ReadPlan> route(const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const override;
};

}
