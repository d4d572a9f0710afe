#pragma once

#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/proxy/SharedStore.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtail {

// This VM's copy of the fleet table: the VMs, and the records of primaries as the store holds them. After the store was restored from an
// older copy, a VM that the table lacks stays a member for the time that it needs to register again.
class FleetTable {
public:
    // How long a VM has to register again. It does so within two seconds of reading the restored table, later while the store rejects it.
    static constexpr Duration registrationPeriod = std::chrono::seconds(8);

    // Applies all rows, or changes of them, that were read from the store or from a store reader.
    // Returns true when the table was read as a whole in a later era than before.
    bool apply(const RowSet&, bool isWhole, TimePoint now);
    // Drops members that have not registered again. Returns true when there were any.
    bool expire(TimePoint now);

    // The members by the keys of their rows.
    const std::map<std::string, PeerEntry>& members() const { return this->memberEntries; }
    // Returns true when the table holds exactly this row.
    bool isListed(const PeerEntry&) const;
    // Returns the records that the table lacks or holds in an older form, each with the version that its row must have to be replaced.
    std::vector<std::pair<PrimaryRecord, StoreVersion>> missingRecords(const std::vector<PrimaryRecord>& known) const;
    // Returns the record of a group, if the table holds one, and the version that its row must have to be replaced.
    std::pair<std::optional<PrimaryRecord>, StoreVersion> findRecord(const ServiceName&) const;
    // The newest version that was applied.
    const StoreVersion& version() const { return this->appliedVersion; }

private:
    struct ListedRecord {
        PrimaryRecord record;
        StoreVersion version;
    };
    std::map<std::string, PeerEntry> memberEntries;
    // Members that the restored table lacks, and when they are dropped.
    std::map<std::string, TimePoint> unlistedUntil;
    std::map<ServiceName, ListedRecord> records;
    StoreVersion appliedVersion;
    bool hasRead = false;
};

}
