#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace foxtail {

// Whether a log that ends at one point holds every acknowledged write up to another point. An acknowledged write keeps
// its position in all later terms. The order of LogPoint doesn't answer this: a lagging log of a later term may be
// shorter than what the earlier term acknowledged.
inline bool holdsLogPoint(LogPoint held, LogPoint required) { return held.term >= required.term && held.position >= required.position; }

// What a backend server is in its group at the moment.
enum class ServerRole : uint8_t {
    Primary,
    Replica,
    Fenced,
};

// What a backend server reports of itself.
struct ServerStatus {
    // The highest term that the server has promised to a promoter.
    Term promisedTerm;
    // The term of the log that the server holds. It equals promisedTerm unless the server is fenced.
    Term logTerm;
    Position position;
    ServerRole role = ServerRole::Replica;
    // For a replica: how long ago it last heard its primary, by its own clock.
    Duration primaryContactAge { 0 };
    bool isLeaving = false;

    LogPoint logPoint() const { return { this->logTerm, this->position }; }

    // Whether the server takes part in the term: it has promised no other and holds the term's log.
    bool isInTerm(Term term) const { return this->promisedTerm == term && this->logTerm == term; }
};

// What a VM knows of one backend server of a group.
struct ServerView {
    BackendServerId server;
    Region region;
    ServerStatus status;
    // The send time of the newest probe that was answered. Empty before the first answer.
    std::optional<TimePoint> lastAnsweredProbeAt;
    // The oldest moment up to which the server is known to hold all acknowledged writes. Empty when not known.
    std::optional<TimePoint> freshAsOf;
    bool isReachable = false;
    // Set when the configuration drains the server or the server itself reports that it is leaving.
    bool isDraining = false;
};

// A VM's picture of one database group. The control thread publishes it as an immutable snapshot.
struct GroupView {
    DatabaseId database;
    Term term;
    // Empty while no primary is known for the term.
    std::optional<BackendServerId> primary;
    // The latest time at or after which a majority of the group is known to have been in the term. Empty when not known.
    std::optional<TimePoint> termConfirmedAt;
    std::vector<ServerView> servers;

    // The view of a server, or null when the group has no such server.
    const ServerView* find(const BackendServerId& server) const
    {
        for (const ServerView& view : this->servers) {
            if (view.server == server)
                return &view;
        }
        return nullptr;
    }

    // The number of servers that form a majority of the group.
    size_t majority() const { return this->servers.size() / 2 + 1; }
};

}
