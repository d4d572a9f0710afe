#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <optional>
#include <string_view>
#include <vector>

namespace foxtail {

// A command that controls the replication of a backend server.
enum class ReplicationCommand : uint8_t { Status, Pause, Resume, Demote };

std::string_view replicationCommandName(ReplicationCommand);

struct ReplicationOrder {
    BackendServerId server;
    ReplicationCommand command = ReplicationCommand::Status;
    bool operator==(const ReplicationOrder&) const = default;
};

// The outcome of the platform's call that makes a server the primary of its group.
enum class PromotionOrderOutcome : uint8_t {
    Accepted,
    // The named server is not running.
    NotRunning,
    // The platform did not accept the order, or its response was lost. The order may still take effect, also after a long time.
    Unknown,
};

// What the driver of a replacement does next, before it reports the result.
struct ReplacementStep {
    enum class Kind : uint8_t {
        // Send the orders to the servers at the same time, and report their statuses.
        SendOrders,
        // Read the list of servers and the records of primaries again.
        ReadDirectory,
        // Store the record under the condition that the promotion lock is held.
        RecordDecision,
        // Order the platform to promote the server of the record.
        OrderPromotion,
        Wait,
        // Use the server of the record as the primary.
        SettlePrimary,
        // Store the settled record, if there is one, and release the promotion lock.
        ReleaseLock,
        // Nothing is left to do.
        Finish,
    };
    Kind kind = Kind::Finish;
    std::vector<ReplicationOrder> orders {};
    // The term of the orders.
    Term term {};
    std::optional<PrimaryRecord> record {};
    TimePoint waitUntil {};
    // Whether the VMs of the fleet are asked about the group: at the same time as the orders are sent, or shortly before a wait ends.
    bool asksFleet = false;
    // Whether they are asked to send no commits meanwhile.
    bool holdsBackCommits = false;
};

// How a replacement ended.
enum class ReplacementResult : uint8_t {
    Running,
    // The primary leads and stays.
    PrimaryKept,
    Replaced,
    // No server could be promoted safely while the promotion lock was held.
    NoSuccessor,
    // An order may still take effect.
    OrderUnknown,
    // The promotion lock was lost, or its time has ended.
    LockEnded,
    // The primary goes on to acknowledge commits to other VMs.
    PrimaryServesOthers,
};

std::string_view replacementResultName(ReplacementResult);

}
