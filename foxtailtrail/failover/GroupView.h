#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace foxtail {

// Returns whether a log that ends at one point holds every acknowledged write up to another point. An acknowledged write
// keeps its position in all later terms. The order of LogPoint is not sufficient: a lagging log of a later term may be
// shorter than what the earlier term acknowledged.
inline bool holdsLogPoint(LogPoint held, LogPoint required) { return held.term >= required.term && held.position >= required.position; }

// The current role of a backend server in its group.
enum class ServerRole : uint8_t {
    Primary,
    Replica,
    Fenced,
};

// The status that a backend server reports.
struct ServerStatus {
    // The highest term that the server has promised to a promoter.
    Term promisedTerm;
    // The term of the log that the server holds. It equals promisedTerm unless the server is fenced.
    Term logTerm;
    Position position;
    ServerRole role = ServerRole::Replica;
    // For a replica: the time since its last contact with its primary, by its own clock.
    Duration primaryContactAge { 0 };
    bool isLeaving = false;

    LogPoint logPoint() const { return { this->logTerm, this->position }; }

    // Returns whether the server takes part in the term: it has promised no other term and holds the log of this term.
    bool isInTerm(Term term) const { return this->promisedTerm == term && this->logTerm == term; }
};

// The state of one backend server of a group as a VM knows it.
struct ServerView {
    BackendServerId server;
    Region region;
    ServerStatus status;
    // The send time of the newest probe that was answered. Empty before the first answer.
    std::optional<TimePoint> lastAnsweredProbeAt;
    // The time up to which the server is known to hold all acknowledged writes. Empty when unknown.
    std::optional<TimePoint> freshAsOf;
    bool isReachable = false;
    // Set when the configuration drains the server or the server itself reports that it is leaving.
    bool isDraining = false;
};

// The state of one database group as a VM knows it. The control thread publishes it as an immutable snapshot.
struct GroupView {
    DatabaseId database;
    Term term;
    // Empty while no primary is known for the term.
    std::optional<BackendServerId> primary;
    // The latest time at or after which a majority of the group is known to have been in the term. Empty when unknown.
    std::optional<TimePoint> termConfirmedAt;
    std::vector<ServerView> servers;

    // Returns the view of a server, or null when the group has no such server.
    const ServerView* find(const BackendServerId& server) const
    {
        for (const ServerView& view : this->servers) {
            if (view.server == server)
                return &view;
        }
        return nullptr;
    }

    // Returns the number of servers that form a majority of the group.
    size_t majority() const { return this->servers.size() / 2 + 1; }
};

}
