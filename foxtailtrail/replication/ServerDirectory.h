#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// What a backend server says of itself in the shared list.
struct ServerEntry {
    BackendServerId id;
    ServiceName service;
    std::string address;
    uint16_t port = 0;
    DataCentre dataCentre;
    uint32_t slots = 1;
    // It takes no new work and ends soon.
    bool isDraining = false;
    // The role that it believes to have.
    bool reportsPrimary = false;
    // When its process started, in milliseconds of Unix time. A new start under an old id knows nothing of before.
    int64_t startedAtMs = 0;
    bool operator==(const ServerEntry&) const = default;
};

// Who leads a group by the last recorded promotion.
struct PrimaryRecord {
    ServiceName service;
    // Orders the records. At least the term in which the server leads, which may be lower when a promotion changed nothing.
    Term term;
    BackendServerId server;
    // False from the decision to promote until the new primary has been seen to lead.
    bool isSettled = false;
    bool operator==(const PrimaryRecord&) const = default;
};

// The primary of a group as this VM sees it.
struct PrimaryView {
    BackendServerId server;
    // False while a promotion is under way: statements for the primary wait.
    bool isSettled = true;
    Term term;
    bool operator==(const PrimaryView&) const = default;
};

// The backend servers of all groups and their primaries. An entry that disappears stays usable for a short time, since entries
// also lapse while the store is away and are back soon after.
class ServerDirectory {
public:
    // Takes a changed entry. Returns true when something of use changed.
    bool put(const ServerEntry&);
    // Takes the removal of an entry at the given time.
    void remove(const BackendServerId&, TimePoint now);
    // Takes a full list: what is missing from it counts as removed.
    void replaceAll(const std::vector<ServerEntry>&, TimePoint now);
    // Drops entries whose time after removal is over. Returns their ids.
    std::vector<BackendServerId> expire(TimePoint now);

    // Takes the record of a promotion. One of an older term is ignored. Returns true when it changed the view.
    bool recordPrimary(const PrimaryRecord&);

    // The entry, also one that was removed a short time ago, or null.
    const ServerEntry* find(const BackendServerId&) const;
    // Whether the entry has been removed from the list.
    bool isRemoved(const BackendServerId&) const;
    // All entries of a group, in the order of their ids.
    std::vector<const ServerEntry*> members(const ServiceName&) const;
    // The primary of a group, or nothing when none is known.
    std::optional<PrimaryView> findPrimary(const ServiceName&) const;
    // The record of the last promotion, or null.
    const PrimaryRecord* findPrimaryRecord(const ServiceName&) const;

private:
    struct ListedServer {
        ServerEntry entry;
        std::optional<TimePoint> removedAt;
    };
    std::map<BackendServerId, ListedServer> servers;
    std::map<ServiceName, PrimaryRecord> primaryRecords;
};

}
