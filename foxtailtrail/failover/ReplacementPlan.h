#pragma once

#include "foxtailtrail/failover/FailoverPlan.h"

#include <optional>
#include <string_view>
#include <vector>

namespace foxtail {

// How the holder of the promotion lock goes on with a group.
enum class ReplacementAction : uint8_t {
    // The primary leads and stays.
    KeepPrimary,
    // The primary answers and hands over to a replica.
    HandOver,
    // No primary answers, or the commits of the one that does reach no replica.
    ReplaceLostPrimary,
    // The recorded successor may be promoted at any time and does not answer. The replicas stay paused until it does, or is down.
    WaitForSuccessor,
};

std::string_view replacementActionName(ReplacementAction);

// What the holder of the promotion lock knows about a group.
struct ReplacementSituation {
    // The statuses of all servers.
    std::vector<ProbedStatus> statuses;
    // The servers of which one was the last primary. Empty while nothing is known about it.
    std::vector<BackendServerId> possiblePrimaries;
    // The term that the last primary itself reported, or term 0 while unknown.
    Term lastPrimaryTerm;
    // The primary whose commits reach no replica.
    std::optional<BackendServerId> stalledPrimary;
    // The successor of a recorded promotion that has not been observed to lead. An order to promote it may still take effect, however long
    // its sender has been gone.
    std::optional<BackendServerId> recordedSuccessor;
};

struct ReplacementPlan {
    ReplacementAction action = ReplacementAction::ReplaceLostPrimary;
    // The current primary, if it answers.
    std::optional<ProbedStatus> primary;
    // The server to which the primary has to hand over. Until it leads, no other replica may receive, because a commit that it lacks would
    // be lost when it is promoted.
    std::optional<BackendServerId> requiredSuccessor;
};

ReplacementPlan planReplacement(const ReplacementSituation&);

}
