#include "foxtailtrail/replication/ServerDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxtail {

namespace {

    // Entries that expired while the store was unavailable are back within two seconds of its return. The remaining time
    // covers the propagation of the update.
    constexpr Duration removalDelay = std::chrono::milliseconds(2500);
    // The store drops the entry of a server that has been silent for three reports; the rest covers the propagation of the update.
    constexpr Duration oldEntryDelay = std::chrono::milliseconds(5000);
    // How long a server may be behind a partition after its entry was removed, before it counts as lost. A change of primary is over within
    // 16 s; the rest of that time is for the lapse of the entry and the promotion.
    constexpr Duration lapsedServerLifetime = std::chrono::seconds(11);
    // A copy from which the store is restored is younger than this.
    constexpr Duration departedServerLifetime = std::chrono::seconds(60);

    // Returns true when an entry tells less than a known one. Reports of a process are ordered by their sequence; of two processes, the one
    // that started later is the newer one.
    bool isOlder(const ServerEntry& entry, const ServerEntry& known)
    {
        return entry.startedAtMs == known.startedAtMs ? entry.sequence < known.sequence : entry.startedAtMs < known.startedAtMs;
    }

}

bool ServerDirectory::put(const ServerEntry& entry)
{
    ListedServer& known = this->servers[entry.id];
    const bool changed = known.removedAt.has_value() || known.entry != entry;
    known = ListedServer { entry, std::nullopt, std::nullopt, entry.isDraining ? known.leavingSince : std::nullopt };
    this->oldEntries.erase(entry.id);
    this->departedServers.erase(entry.id);
    this->lapsedServers.erase(entry.id);
    return changed;
}

void ServerDirectory::remove(const BackendServerId& id, TimePoint now)
{
    this->oldEntries.erase(id);
    const auto found = this->servers.find(id);
    if (found != this->servers.end() && !found->second.removedAt)
        found->second.removedAt = now;
}

std::set<BackendServerId> ServerDirectory::putAll(const std::vector<ServerEntry>& entries)
{
    std::set<BackendServerId> listed;
    for (const ServerEntry& entry : entries) {
        listed.insert(entry.id);
        this->put(entry);
    }
    return listed;
}

void ServerDirectory::replaceAll(const std::vector<ServerEntry>& entries, TimePoint now)
{
    const std::set<BackendServerId> listed = this->putAll(entries);
    for (auto& [id, known] : this->servers) {
        if (listed.count(id) == 0 && !known.removedAt)
            known.removedAt = now;
    }
}

void ServerDirectory::awaitReturn(const BackendServerId& id)
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end() && !found->second.removedAt)
        found->second.missingUntil = TimePoint::max();
}

void ServerDirectory::replaceAllAwaitingReturn(const std::vector<ServerEntry>& entries)
{
    const std::set<BackendServerId> listed = this->putAll(entries);
    for (const auto& [id, known] : this->servers) {
        if (listed.count(id) == 0)
            this->awaitReturn(id);
    }
}

void ServerDirectory::removeMissing(TimePoint now)
{
    for (auto& [id, known] : this->servers) {
        if (known.missingUntil != TimePoint::max())
            continue;
        known.missingUntil.reset();
        known.removedAt = now;
    }
}

void ServerDirectory::replaceAllFromOlderCopy(const std::vector<ServerEntry>& entries, TimePoint now)
{
    std::set<BackendServerId> listed;
    for (const ServerEntry& entry : entries) {
        listed.insert(entry.id);
        const auto known = this->servers.find(entry.id);
        const bool isKnown = known != this->servers.end();
        const bool wasRemoved = isKnown && known->second.removedAt;
        const bool isOld = isKnown ? isOlder(entry, known->second.entry) || (wasRemoved && !isOlder(known->second.entry, entry))
                                   : this->isReportOfDeparted(entry);
        if (!isOld) {
            this->put(entry);
            continue;
        }
        // A process that reported that it is draining stops in any case.
        const bool isSameProcess = isKnown && known->second.entry.startedAtMs == entry.startedAtMs;
        if (wasRemoved || !isSameProcess)
            this->oldEntries.try_emplace(entry.id, OldEntry { entry, now + oldEntryDelay });
    }
    for (auto& [id, known] : this->servers) {
        if (listed.count(id) == 0 && !known.removedAt && !known.missingUntil)
            known.missingUntil = now + removalDelay;
    }
    std::erase_if(this->oldEntries, [&](const auto& old) { return listed.count(old.first) == 0; });
}

bool ServerDirectory::isReportOfDeparted(const ServerEntry& entry) const
{
    const auto departed = this->departedServers.find(entry.id);
    if (departed == this->departedServers.end())
        return false;
    const DepartedServer& last = departed->second;
    return entry.startedAtMs == last.startedAtMs ? entry.sequence <= last.sequence : entry.startedAtMs < last.startedAtMs;
}

bool ServerDirectory::resolveOlderCopy(TimePoint now)
{
    bool hasChanged = false;
    for (auto& [id, known] : this->servers) {
        if (!known.missingUntil || now < *known.missingUntil)
            continue;
        known.missingUntil.reset();
        known.removedAt = known.removedAt.value_or(now);
        hasChanged = true;
    }
    std::vector<ServerEntry> accepted;
    for (const auto& [id, old] : this->oldEntries) {
        if (old.acceptedAt <= now)
            accepted.push_back(old.entry);
    }
    for (const ServerEntry& entry : accepted)
        hasChanged = this->put(entry) || hasChanged;
    return hasChanged;
}

std::vector<BackendServerId> ServerDirectory::expire(TimePoint now)
{
    std::vector<BackendServerId> expired;
    std::erase_if(this->departedServers, [&](const auto& departed) { return departed.second.forgottenAt <= now; });
    for (auto entry = this->servers.begin(); entry != this->servers.end();) {
        const bool isLeaving = entry->second.entry.isDraining || entry->second.removedAt;
        if (isLeaving && !entry->second.leavingSince)
            entry->second.leavingSince = now;
        if (entry->second.removedAt && *entry->second.removedAt + removalDelay <= now) {
            expired.push_back(entry->first);
            const ServerEntry& last = entry->second.entry;
            this->departedServers[last.id] = { last.startedAtMs, last.sequence, now + departedServerLifetime };
            this->lapsedServers[last.id] = { last, *entry->second.removedAt };
            entry = this->servers.erase(entry);
        } else {
            ++entry;
        }
    }
    this->expireLapsedServers(now);
    return expired;
}

void ServerDirectory::expireLapsedServers(TimePoint now)
{
    this->addRecordedServers(now);
    for (auto& [id, lapsed] : this->lapsedServers)
        lapsed.isLost = lapsed.isLost || lapsed.removedAt + lapsedServerLifetime <= now;
    std::erase_if(this->lapsedServers, [this](const auto& lapsed) { return lapsed.second.isLost && !this->isRecorded(lapsed.first); });
}

void ServerDirectory::addRecordedServers(TimePoint now)
{
    if (!std::exchange(this->haveRecordsChanged, false))
        return;
    for (const auto& [service, record] : this->primaryRecords) {
        const std::vector<BackendServerId> named = namedServers(record);
        std::vector<BackendServerId> recorded = named;
        recorded.insert(recorded.end(), record.members.begin(), record.members.end());
        for (const BackendServerId& server : recorded) {
            // A member whose removal this VM has seen is not waited for again; another VM may not have dropped it yet.
            const bool hasDeparted
                = this->departedServers.count(server) > 0 && std::find(named.begin(), named.end(), server) == named.end();
            if (this->servers.count(server) > 0 || hasDeparted)
                continue;
            ServerEntry unknown;
            unknown.id = server;
            unknown.service = service;
            this->lapsedServers.try_emplace(server, LapsedServer { unknown, now });
        }
    }
}

bool ServerDirectory::isRecorded(const BackendServerId& id) const
{
    const auto contains = [&](const std::vector<BackendServerId>& ids) { return std::find(ids.begin(), ids.end(), id) != ids.end(); };
    return std::any_of(this->primaryRecords.begin(), this->primaryRecords.end(),
        [&](const auto& recorded) { return contains(namedServers(recorded.second)) || contains(recorded.second.members); });
}

std::vector<BackendServerId> ServerDirectory::namedServers(const PrimaryRecord& record)
{
    if (record.isSettled || record.predecessor.empty())
        return { record.server };
    return { record.server, record.predecessor };
}

bool ServerDirectory::recordPrimary(const PrimaryRecord& record)
{
    const auto found = this->primaryRecords.find(record.service);
    if (found == this->primaryRecords.end()) {
        this->primaryRecords.emplace(record.service, record);
        this->haveRecordsChanged = true;
        return true;
    }
    PrimaryRecord& known = found->second;
    if (record.term < known.term || record == known)
        return false;
    // Within a term, only a record that is not settled may be replaced: by its settled form, or by another successor when
    // the first one could not start. The members of a settled one may change.
    const bool hasNewerMembers = record.isSettled && record.server == known.server && known.memberRevision < record.memberRevision;
    if (record.term == known.term && known.isSettled && !hasNewerMembers)
        return false;
    std::vector<BackendServerId> knownMembers = std::move(known.members);
    known = record;
    if (known.members.empty())
        known.members = std::move(knownMembers);
    this->haveRecordsChanged = true;
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

bool ServerDirectory::isLeavingSince(const BackendServerId& id, TimePoint time) const
{
    const auto found = this->servers.find(id);
    return found != this->servers.end() && found->second.leavingSince && *found->second.leavingSince <= time;
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

std::vector<const ServerEntry*> ServerDirectory::possibleMembers(const ServiceName& service, TimePoint primaryLedAt) const
{
    std::vector<const ServerEntry*> found = this->members(service);
    for (const auto& [id, lapsed] : this->lapsedServers) {
        if (lapsed.entry.service == service && !lapsed.isLost && !this->hasLeft(id, primaryLedAt))
            found.push_back(&lapsed.entry);
    }
    return found;
}

const ServerEntry* ServerDirectory::findPossibleMember(const BackendServerId& id) const
{
    if (const ServerEntry* listed = this->find(id))
        return listed;
    const auto lapsed = this->lapsedServers.find(id);
    return lapsed != this->lapsedServers.end() && !lapsed->second.isLost ? &lapsed->second.entry : nullptr;
}

bool ServerDirectory::hasLeft(const BackendServerId& id, TimePoint primaryLedAt) const
{
    const auto listed = this->servers.find(id);
    if (listed != this->servers.end())
        return listed->second.entry.isDraining && listed->second.removedAt && *listed->second.removedAt <= primaryLedAt;
    const auto lapsed = this->lapsedServers.find(id);
    return lapsed != this->lapsedServers.end() && lapsed->second.entry.isDraining && lapsed->second.removedAt <= primaryLedAt;
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

std::vector<BackendServerId> ServerDirectory::possiblePrimaries(const ServiceName& service) const
{
    const std::optional<PrimaryView> primary = this->findPrimary(service);
    const PrimaryRecord* record = this->findPrimaryRecord(service);
    std::vector<BackendServerId> possible;
    if (primary && primary->isSettled)
        possible.push_back(primary->server);
    if (!record || !this->findPossibleMember(record->server) || possible == std::vector { record->server })
        return possible;
    if (!record->isSettled && record->predecessor.empty())
        return {};
    for (const BackendServerId& server : namedServers(*record))
        possible.push_back(server);
    return possible;
}

const PrimaryRecord* ServerDirectory::findPrimaryRecord(const ServiceName& service) const
{
    const auto found = this->primaryRecords.find(service);
    return found == this->primaryRecords.end() ? nullptr : &found->second;
}

std::vector<PrimaryRecord> ServerDirectory::knownPrimaryRecords() const
{
    std::vector<PrimaryRecord> records;
    records.reserve(this->primaryRecords.size());
    for (const auto& [service, record] : this->primaryRecords)
        records.push_back(record);
    return records;
}

}
