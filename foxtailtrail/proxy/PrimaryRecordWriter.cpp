#include "foxtailtrail/proxy/PrimaryRecordWriter.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <map>

namespace foxtail {

namespace {

    // Servers that join together are written together.
    constexpr Duration memberCheckInterval = std::chrono::milliseconds(500);
    // Each VM waits this much longer per rank before it writes the record of a primary again, so that usually one VM does.
    constexpr Duration recordRankDelay = std::chrono::milliseconds(150);
    constexpr size_t maxRecordRankDelays = 16;
    // A transaction may hold 100 entries; each record takes a precondition and a write.
    constexpr size_t maxRecordsPerTransaction = 40;
    constexpr Duration recordWriteTimeout = std::chrono::milliseconds(1000);

}

PrimaryRecordWriter::PrimaryRecordWriter(
    SessionProxy& proxy, SharedStore& store, PeerExchange& peers, const FleetTable& fleetTable, ServerListCheck listCompleteFrom)
    : proxy(proxy)
    , store(store)
    , peers(peers)
    , fleetTable(fleetTable)
    , listCompleteFrom(std::move(listCompleteFrom))
{
}

void PrimaryRecordWriter::start()
{
    startFiber([this] {
        // Runs until the process ends.
        while (true) {
            sleepFor(memberCheckInterval);
            const Records due = this->dueMemberRecords(bootNow());
            if (!due.empty())
                this->write(due, "the members of the groups have changed");
        }
    });
}

PrimaryRecordWriter::Records PrimaryRecordWriter::dueMemberRecords(TimePoint now)
{
    Records due;
    const ServerDirectory& directory = this->proxy.directory();
    for (const auto& [service, group] : this->proxy.followedGroups()) {
        const std::optional<PrimaryView> primary = directory.findPrimary(service);
        if (!primary || !primary->isSettled || group->primaryTerm() == Term {} || group->lastLedAt() < this->listCompleteFrom())
            continue;
        GroupMembers members { service, primary->server, group->primaryTerm(), {} };
        for (const ServerEntry* entry : directory.possibleMembers(service, group->lastLedAt()))
            members.members.push_back(entry->id);
        std::sort(members.members.begin(), members.members.end());
        const auto [stored, version] = this->fleetTable.findRecord(service);
        const auto rank = [this, &key = service.value] { return this->peers.rendezvousRank(key); };
        if (const auto record = this->memberRecords.dueRecord(members, stored, rank, now))
            due.emplace_back(*record, version);
    }
    return due;
}

void PrimaryRecordWriter::writeAgain(uint64_t era)
{
    std::map<size_t, std::vector<ServiceName>> servicesByRank;
    for (const auto& [record, version] : this->fleetTable.missingRecords(this->proxy.directory().knownPrimaryRecords()))
        servicesByRank[std::min(this->peers.rendezvousRank(record.service.value), maxRecordRankDelays)].push_back(record.service);
    const TimePoint startedWritingAt = bootNow();
    for (const auto& each : servicesByRank) {
        const std::vector<ServiceName>& services = each.second;
        const TimePoint writeAt = startedWritingAt + recordRankDelay * static_cast<Duration::rep>(each.first);
        sleepFor(std::max(Duration(0), Duration(writeAt - bootNow())));
        if (this->fleetTable.version().era != era)
            return;
        Records missing = this->fleetTable.missingRecords(this->proxy.directory().knownPrimaryRecords());
        std::erase_if(missing,
            [&](const auto& record) { return std::find(services.begin(), services.end(), record.first.service) == services.end(); });
        if (!missing.empty())
            this->write(missing, "the store was restored from an older copy");
    }
}

void PrimaryRecordWriter::write(const Records& records, std::string_view reason)
{
    for (size_t first = 0; first < records.size(); first += maxRecordsPerTransaction) {
        const size_t end = std::min(records.size(), first + maxRecordsPerTransaction);
        StoreTransaction transaction;
        for (size_t index = first; index < end; ++index) {
            const auto& [record, version] = records[index];
            transaction.preconditions.push_back({ StoreTable::Fleet, primaryRowKey(record.service), version });
            transaction.puts.push_back({ StoreTable::Fleet, primaryRowKey(record.service), encodePrimary(record) });
        }
        const Result<StoreVersion> stored = this->store.commit(transaction, now() + recordWriteTimeout);
        logEvent(LogLevel::Info, "records of primaries written",
            { { "reason", reason }, { "era", this->fleetTable.version().era }, { "records", end - first },
                { "first", records[first].first.service.value }, { "detail", stored ? "" : stored.error().detail } });
    }
}

}
