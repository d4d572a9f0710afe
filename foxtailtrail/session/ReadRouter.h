#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/failover/GroupView.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace foxtail {

// The requirements of a read on the server that answers it.
struct ReadRequirements {
    // The log point of the caller's token for this database.
    std::optional<LogPoint> tokenLogPoint;
    // The oldest data that the caller accepts.
    std::optional<Duration> maximumStaleness;
    TimePoint arrivedAt;
    TimePoint deadline;
    Region region;
};

// The action of one attempt of a read.
enum class ReadAttemptKind : uint8_t {
    // Run the read at the replica.
    Replica,
    // Route again as soon as a replica holds the required log point, and go on with the next attempt at attemptDeadline.
    WaitForReplica,
    // Run the read at the primary. The required log point alone makes it correct.
    Primary,
    // Run the read at the primary, and answer only once a majority of the group has reported the required term in a check
    // that started at earliestConfirmationAt or later.
    ConfirmedPrimary,
    // Route again as soon as the view has another reachable primary or a higher term. Give up at attemptDeadline.
    WaitForPrimary,
};

// One attempt in the plan of a read.
struct ReadAttempt {
    ReadAttemptKind kind = ReadAttemptKind::Replica;
    // Empty for WaitForReplica and WaitForPrimary.
    BackendServerId server;
    // The log point that the server must hold. The server checks it in the transaction of the read.
    LogPoint requiredLogPoint;
    // Set for ConfirmedPrimary.
    std::optional<TimePoint> earliestConfirmationAt;
    // The attempt must not start, or the wait must end, after this time.
    TimePoint attemptDeadline;

    bool operator==(const ReadAttempt&) const = default;
};

// The attempts of a read in their order. A refusal by a server means that the read did not run there.
struct ReadPlan {
    std::vector<ReadAttempt> attempts;
    // The error to return when no attempt succeeds.
    ErrorKind exhaustedError = ErrorKind::ReadNotCurrent;
};

// The strategy that chooses the servers of a read.
class ReadRoutingStrategy {
public:
    virtual ~ReadRoutingStrategy() = default;

    // Returns the plan of a read. The salt spreads reads over equally good replicas. Fails with DeadlineExceeded when the
    // deadline has passed and with NoPrimary when the group has no servers.
    virtual Result<ReadPlan> route(const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const = 0;
};

// The limits of the wait for a replica to catch up with a token.
struct ReadRouterSettings {
    Duration replicaWaitTimeout = std::chrono::milliseconds(50);
    // The wait is at most the time allowed for the whole read divided by this.
    int replicaWaitDivisor = 4;
};

// The strategy that uses replicas wherever the token or the accepted staleness allows it. A view may be out of date, so
// each attempt names the log point that the server itself has to check.
class ReadRouter final : public ReadRoutingStrategy {
public:
    explicit ReadRouter(ReadRouterSettings = {});

    Result<ReadPlan> route(const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const override;

private:
    void addReplicas(ReadPlan&, const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const;
    void addReplicaWait(ReadPlan&, const ReadRequirements&, const GroupView&, TimePoint now) const;

    ReadRouterSettings settings;
};

// The strategy that sends every read to the confirmed primary. It is the baseline that the share of replica reads is
// measured against.
class PrimaryOnlyReadRouter final : public ReadRoutingStrategy {
public:
    Result<ReadPlan> route(const ReadRequirements&, const GroupView&, TimePoint now, uint64_t salt) const override;
};

}
