#include "foxtailtrail/replication/ServerDirectory.h"

#include <set>

namespace foxtail {

namespace {

    // Entries that expired while the store was unavailable are back within two seconds of its return. The remaining time
    // covers the propagation of the update.
    constexpr Duration removalDelay = std::chrono::milliseconds(2500);

}

bool ServerDirectory::put(const ServerEntry& entry)
{
    ListedServer& known = this->servers[entry.id];
    const bool changed = known.removedAt.has_value() || known.entry != entry;
    known = ListedServer { entry, std::nullopt };
    return changed;
}

void ServerDirectory::remove(const BackendServerId& id, TimePoint now)
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end() && !found->second.removedAt)
        found->second.removedAt = now;
}

void ServerDirectory::replaceAll(const std::vector<ServerEntry>& entries, TimePoint now)
{
    std::set<BackendServerId> listed;
    for (const ServerEntry& entry : entries) {
        listed.insert(entry.id);
        this->put(entry);
    }
    for (auto& [id, known] : this->servers) {
        if (listed.count(id) == 0 && !known.removedAt)
            known.removedAt = now;
    }
}

std::vector<BackendServerId> ServerDirectory::expire(TimePoint now)
{
    std::vector<BackendServerId> expired;
    for (auto entry = this->servers.begin(); entry != this->servers.end();) {
        if (entry->second.removedAt && *entry->second.removedAt + removalDelay <= now) {
            expired.push_back(entry->first);
            entry = this->servers.erase(entry);
        } else {
            ++entry;
        }
    }
    return expired;
}

bool ServerDirectory::recordPrimary(const PrimaryRecord& record)
{
    const auto found = this->primaryRecords.find(record.service);
    if (found == this->primaryRecords.end()) {
        this->primaryRecords.emplace(record.service, record);
        return true;
    }
    PrimaryRecord& known = found->second;
    if (record.term < known.term || record == known)
        return false;
    // Within a term, only a record that is not settled may be replaced: by its settled form, or by another successor when
    // the first one could not start.
    if (record.term == known.term && known.isSettled)
        return false;
    known = record;
    return true;
}

const ServerEntry* ServerDirectory::find(const BackendServerId& id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? nullptr : &found->second.entry;
}

bool ServerDirectory::isRemoved(const BackendServerId& id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() || found->second.removedAt.has_value();
}

std::vector<const ServerEntry*> ServerDirectory::members(const ServiceName& service) const
{
    std::vector<const ServerEntry*> found;
    for (const auto& [id, known] : this->servers) {
        if (known.entry.service == service)
            found.push_back(&known.entry);
    }
    return found;
}

std::optional<PrimaryView> ServerDirectory::findPrimary(const ServiceName& service) const
{
    const auto recorded = this->primaryRecords.find(service);
    if (recorded != this->primaryRecords.end() && this->servers.count(recorded->second.server) > 0) {
        const PrimaryRecord& record = recorded->second;
        // The successor's own report settles a promotion whose last record was not written.
        const bool isPromotionSettled = record.isSettled || this->servers.at(record.server).entry.reportsPrimary;
        return PrimaryView { record.server, isPromotionSettled, record.term };
    }
    // Without a usable record only the servers' own reports are left. A server that is not draining is preferred.
    std::optional<PrimaryView> reported;
    for (const ServerEntry* entry : this->members(service)) {
        if (entry->reportsPrimary && (!reported || !entry->isDraining))
            reported = PrimaryView { entry->id, true, Term {} };
    }
    return reported;
}

const PrimaryRecord* ServerDirectory::findPrimaryRecord(const ServiceName& service) const
{
    const auto found = this->primaryRecords.find(service);
    return found == this->primaryRecords.end() ? nullptr : &found->second;
}

}
