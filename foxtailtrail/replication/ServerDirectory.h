#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// The entry of a backend server in the shared list, as the server itself reports it.
struct ServerEntry {
    BackendServerId id;
    ServiceName service;
    std::string address;
    uint16_t port = 0;
    DataCentre dataCentre;
    uint32_t slots = 1;
    // Whether the server takes no new work and stops soon.
    bool isDraining = false;
    // Whether the server reports that it is the primary.
    bool reportsPrimary = false;
    // When the server's process started, in milliseconds of Unix time. A process that was restarted under the same id has
    // none of the earlier state.
    int64_t startedAtMs = 0;
    bool operator==(const ServerEntry&) const = default;
};

// The primary of a group according to the last recorded promotion.
struct PrimaryRecord {
    ServiceName service;
    // Orders the records. Equal to the term in which the server leads, or higher after a promotion that changed nothing.
    Term term;
    BackendServerId server;
    // False from the decision to promote until the new primary has been observed to lead.
    bool isSettled = false;
    bool operator==(const PrimaryRecord&) const = default;
};

// The primary of a group as this VM knows it.
struct PrimaryView {
    BackendServerId server;
    // False while a promotion is in progress. Statements for the primary wait meanwhile.
    bool isSettled = true;
    Term term;
    bool operator==(const PrimaryView&) const = default;
};

// The backend servers of all groups and their primaries. A removed entry stays usable for a short time, because entries
// also expire while the store is unavailable and come back soon after.
class ServerDirectory {
public:
    // Adds or replaces an entry. Returns true when the entry is new, has changed or had been removed.
    bool put(const ServerEntry&);
    // Marks an entry as removed at the given time.
    void remove(const BackendServerId&, TimePoint now);
    // Applies a full list. Entries that are missing from it are marked as removed.
    void replaceAll(const std::vector<ServerEntry>&, TimePoint now);
    // Deletes the entries whose removal delay has passed. Returns their ids.
    std::vector<BackendServerId> expire(TimePoint now);

    // Applies the record of a promotion. A record of an older term is ignored. Returns true when the known record changed.
    bool recordPrimary(const PrimaryRecord&);

    // Returns the entry, including one that was removed a short time ago, or null.
    const ServerEntry* find(const BackendServerId&) const;
    // Returns whether the entry has been removed from the list.
    bool isRemoved(const BackendServerId&) const;
    // Returns all entries of a group, in the order of their ids.
    std::vector<const ServerEntry*> members(const ServiceName&) const;
    // Returns the primary of a group, or std::nullopt when none is known.
    std::optional<PrimaryView> findPrimary(const ServiceName&) const;
    // Returns the record of the last promotion, or null.
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
