#include "foxtailtrail/proxy/FleetTable.h"

#include "foxtailtrail/proxy/FleetRows.h"

#include <utility>

namespace foxtail {

bool FleetTable::apply(const RowSet& rows, bool isWhole, TimePoint now)
{
    // A store reader may pass on changes of an era that has ended.
    if (this->hasRead && rows.version.era < this->appliedVersion.era)
        return false;
    const bool isNewEra = isWhole && std::exchange(this->hasRead, true) && this->appliedVersion.era < rows.version.era;
    if (isWhole) {
        std::map<std::string, TimePoint> unlisted;
        for (const auto& [key, entry] : this->memberEntries) {
            const auto known = this->unlistedUntil.find(key);
            if (known != this->unlistedUntil.end())
                unlisted.insert(*known);
            else if (isNewEra)
                unlisted.emplace(key, now + registrationPeriod);
        }
        std::erase_if(this->memberEntries, [&](const auto& member) { return unlisted.count(member.first) == 0; });
        this->unlistedUntil = std::move(unlisted);
        this->records.clear();
    }
    this->appliedVersion = rows.version;
    for (const TableRow& row : rows.rows) {
        if (row.isDeleted) {
            this->memberEntries.erase(row.key);
            this->unlistedUntil.erase(row.key);
            continue;
        }
        if (const auto peer = decodePeer(row.key, row.value)) {
            this->memberEntries[row.key] = *peer;
            this->unlistedUntil.erase(row.key);
        }
        if (const auto primary = decodePrimary(row.key, row.value))
            this->records[primary->service] = { *primary, row.version };
    }
    return isNewEra;
}

bool FleetTable::expire(TimePoint now)
{
    size_t droppedCount = 0;
    for (auto unlisted = this->unlistedUntil.begin(); unlisted != this->unlistedUntil.end();) {
        if (now < unlisted->second) {
            ++unlisted;
            continue;
        }
        droppedCount += this->memberEntries.erase(unlisted->first);
        unlisted = this->unlistedUntil.erase(unlisted);
    }
    return droppedCount > 0;
}

bool FleetTable::isListed(const PeerEntry& entry) const
{
    const std::string key = vmRowKey(entry.id);
    const auto known = this->memberEntries.find(key);
    return known != this->memberEntries.end() && known->second == entry && this->unlistedUntil.count(key) == 0;
}

std::pair<std::optional<PrimaryRecord>, StoreVersion> FleetTable::findRecord(const ServiceName& service) const
{
    const auto listed = this->records.find(service);
    if (listed == this->records.end())
        return { std::nullopt, StoreVersion { this->appliedVersion.era, 0 } };
    return { listed->second.record, listed->second.version };
}

std::vector<std::pair<PrimaryRecord, StoreVersion>> FleetTable::missingRecords(const std::vector<PrimaryRecord>& known) const
{
    std::vector<std::pair<PrimaryRecord, StoreVersion>> missing;
    for (const PrimaryRecord& record : known) {
        const auto [listed, version] = this->findRecord(record.service);
        if (!listed || listed->term < record.term)
            missing.emplace_back(record, version);
    }
    return missing;
}

}
