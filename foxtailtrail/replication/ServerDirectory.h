#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
    // Counts the reports of this process.
    uint64_t sequence = 0;
    // How much longer the server is cold, that is, slow after its start.
    Duration coldFor { 0 };
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
    // The primary that the promotion replaces, or empty when it is not known. It leads until the promotion takes effect.
    BackendServerId predecessor {};
    // The servers that may hold commits of the group, in the order of their ids, whether listed or not. Empty when they are not known.
    std::vector<BackendServerId> members {};
    // Orders the records of a settled promotion by their members.
    uint64_t memberRevision = 0;
    // The log with which the last primary that is known to have led took over. What others held beyond it, in its terms, was rolled back.
    // Empty when it is not known.
    std::optional<LogPoint> startPoint {};
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
// also expire while the store is unavailable and come back soon after. In a list that the store has restored from an older copy, an entry
// that is older than what this VM knows changes nothing, and servers that are missing get time to report again.
class ServerDirectory {
public:
    // Adds or replaces an entry. Returns true when the entry is new, has changed or had been removed.
    bool put(const ServerEntry&);
    // Marks an entry as removed at the given time.
    void remove(const BackendServerId&, TimePoint now);
    // Applies a full list. Entries that are missing from it are marked as removed.
    void replaceAll(const std::vector<ServerEntry>&, TimePoint now);
    // Marks an entry as missing that may have lapsed while the store was away. The server stays listed until it reports again or
    // removeMissing() is called.
    void awaitReturn(const BackendServerId&);
    // Applies a full list of a store that may just have returned. Entries that are missing from it are marked as missing.
    void replaceAllAwaitingReturn(const std::vector<ServerEntry>&);
    // Marks the missing entries as removed: servers that run and reach the store have reported again.
    void removeMissing(TimePoint now);
    // Applies a full list that may hold entries of an older copy. A server that was removed before stays removed until it reports again;
    // one whose old entry is still listed after the store would have dropped it is running.
    void replaceAllFromOlderCopy(const std::vector<ServerEntry>&, TimePoint now);
    // Accepts the old entries and removes the missing servers whose delay has passed. Returns true when there were any.
    bool resolveOlderCopy(TimePoint now);
    // Deletes the entries whose removal delay has passed, and notes the time for servers that have begun to leave. Returns the ids of the
    // deleted entries.
    std::vector<BackendServerId> expire(TimePoint now);

    // Applies the record of a promotion. A record of an older term is ignored. One that names no members keeps those that are known.
    // Returns true when the known record changed.
    bool recordPrimary(const PrimaryRecord&);
    // Adds the servers that changed records name and the list lacks to the lapsed ones, as of the given time. Without an address, they are
    // only waited for.
    void addRecordedServers(TimePoint now);

    // Returns the entry, including one that was removed a short time ago, or null.
    const ServerEntry* find(const BackendServerId&) const;
    // Returns whether the entry has been removed from the list.
    bool isRemoved(const BackendServerId&) const;
    // Returns all entries of a group, in the order of their ids.
    std::vector<const ServerEntry*> members(const ServiceName&) const;
    // Returns all servers of a group that may be running: the entries, and the servers whose entries have lapsed or that only the record of
    // the primary names, until they count as lost. Those may serve others behind a partition, or report again to a store that was away.
    std::vector<const ServerEntry*> possibleMembers(const ServiceName&, TimePoint primaryLedAt) const;
    // Returns the entry of a server that may be running, or null.
    const ServerEntry* findPossibleMember(const BackendServerId&) const;
    // Returns true when the server had reported that it leaves and was removed before the primary was last known to lead. One that was
    // removed later may be behind a partition together with the primary.
    bool hasLeft(const BackendServerId&, TimePoint primaryLedAt) const;
    // Returns true when the server is draining or removed, and was found to be so at the given time or before.
    bool isLeavingSince(const BackendServerId&, TimePoint) const;
    // Returns the primary of a group, or std::nullopt when none is known.
    std::optional<PrimaryView> findPrimary(const ServiceName&) const;
    // Returns the servers of which one was the last primary of a group: the primary or, while its promotion is not settled, also the one
    // that it replaces. The primary of the record stays the last one after its entry has lapsed. Empty when nothing is known about it.
    std::vector<BackendServerId> possiblePrimaries(const ServiceName&) const;
    // Returns the record of the last promotion, or null.
    const PrimaryRecord* findPrimaryRecord(const ServiceName&) const;
    // Returns the records of the last promotions of all groups.
    std::vector<PrimaryRecord> knownPrimaryRecords() const;

private:
    struct ListedServer {
        ServerEntry entry;
        std::optional<TimePoint> removedAt;
        // Set for a server that a restored list lacks, and to the latest time for one whose entry may have lapsed while the store was away.
        std::optional<TimePoint> missingUntil;
        // When the server was first found to be draining or removed.
        std::optional<TimePoint> leavingSince {};
    };
    // An entry of a restored list that differs from what this VM knows, and when it is accepted if it is still listed.
    struct OldEntry {
        ServerEntry entry;
        TimePoint acceptedAt {};
    };
    // The last report of a server that was removed.
    struct DepartedServer {
        int64_t startedAtMs = 0;
        uint64_t sequence = 0;
        TimePoint forgottenAt {};
    };
    // A server whose entry has been deleted.
    struct LapsedServer {
        ServerEntry entry;
        TimePoint removedAt {};
        bool isLost = false;
    };
    // Adds or replaces all entries of a list. Returns their ids.
    std::set<BackendServerId> putAll(const std::vector<ServerEntry>&);
    // Returns the record's server and, while the promotion is not settled, the one that it replaces.
    static std::vector<BackendServerId> namedServers(const PrimaryRecord&);
    // Returns true when a record names the server, as primary or as a member.
    bool isRecorded(const BackendServerId&) const;
    void expireLapsedServers(TimePoint now);
    // Returns whether a server that was removed before the store was restored sent this report, or a later one, before it left.
    bool isReportOfDeparted(const ServerEntry&) const;
    std::map<BackendServerId, ListedServer> servers;
    std::map<BackendServerId, OldEntry> oldEntries;
    std::map<BackendServerId, DepartedServer> departedServers;
    std::map<BackendServerId, LapsedServer> lapsedServers;
    std::map<ServiceName, PrimaryRecord> primaryRecords;
    // Whether records have changed since their servers were added to the lapsed ones.
    bool haveRecordsChanged = false;
};

}
