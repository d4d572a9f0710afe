#include "foxtailtrail/proxy/StoreFollower.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/proxy/ServerChanges.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <utility>

namespace foxtail {

namespace {

    // No promise to callers depends on the time within which changes of the fleet are known; each call has a cost.
    constexpr Duration fleetChangeBound = std::chrono::seconds(18);
    // Used while a fleet starts, when VMs and servers register one after the other.
    constexpr Duration startupBatchDelay = std::chrono::milliseconds(1500);
    constexpr Duration startupPeriod = std::chrono::seconds(4);
    // The VMs that join the fleet together know each other within this time after they have registered.
    constexpr Duration fleetDiscoveryPeriod = std::chrono::milliseconds(2000);
    // All rows share one part of the store, which handles a few hundred transactions a second and rejects those that would wait for more
    // than a second. The VMs of a starting fleet that are rejected retry spread over this time.
    constexpr Duration registrationTimeout = std::chrono::milliseconds(2500);
    constexpr int minRegistrationRetryMs = 300;
    constexpr int maxRegistrationRetryMs = 1500;
    constexpr Duration listTimeout = std::chrono::milliseconds(1000);
    // When all tables are unavailable, the tables other than the declarations are retried after this time at the latest.
    constexpr Duration tableRestoredTimeout = std::chrono::milliseconds(2500);
    constexpr Duration peerFetchTimeout = std::chrono::milliseconds(800);
    // Unlisted seeds are first contacted after this delay, which then doubles up to the maximum.
    constexpr Duration initialSeedContactDelay = std::chrono::seconds(1);
    constexpr Duration maxSeedContactDelay = std::chrono::seconds(16);
    // While the store does not serve a VM that has a configuration, the VM sends a request to one peer per interval. A new configuration
    // must be in force within three seconds.
    constexpr Duration peerFetchInterval = std::chrono::milliseconds(1500);
    // The store's feed delivers a new configuration to every VM within this time, so it is not fetched from a peer earlier.
    constexpr Duration maxFeedDelay = std::chrono::milliseconds(800);
    // A starting VM waits this long for the list of VMs, and then for the configuration of another VM.
    constexpr Duration fleetListTimeout = std::chrono::milliseconds(700);
    constexpr Duration initialFetchTimeout = std::chrono::milliseconds(2000);
    // Interval between two requests to a VM that has no configuration yet.
    constexpr Duration startupPollInterval = std::chrono::milliseconds(80);
    constexpr Duration initialFetchRequestTimeout = std::chrono::milliseconds(600);
    // A VM that starts without a source of the configuration compares that of the store with those of this many other VMs, for this long.
    constexpr size_t comparedPeerCount = 3;
    constexpr Duration comparisonTimeout = std::chrono::milliseconds(300);
    constexpr Duration comparisonPollInterval = std::chrono::milliseconds(10);
    // Servers that run report to a restored store, and the store drops the entries of others, within this time.
    constexpr Duration serverReportPeriod = std::chrono::seconds(5);
    // Every VM writes its row to a restored store within this time of reading it.
    constexpr int maxRegistrationDelayMs = 1500;
    // Key of the rendezvous order in which the VMs of a data centre read the configuration from the store.
    constexpr const char* configurationSourceKey = "configuration";

}

StoreFollower::StoreFollower(SessionProxy& proxy, SharedStore& store, const DeclarationDecoder& decoder, PeerExchange& peers)
    : proxy(proxy)
    , store(store)
    , decoder(decoder)
    , peers(peers)
    , configurationExchange(proxy.settings().peerEndpoint, proxy.evacuations())
    , startedAt(bootNow())
    , storeReaders(proxy.settings().vmId)
    , recordWriter(proxy, store, peers, fleetTable,
          [this] { return this->mayMissServers() ? TimePoint::max() : this->listCompleteness.completeFrom(); })
{
}

HttpResponse StoreFollower::handlePeerRequest(const HttpRequest& request)
{
    if (ChangeExchange::isChangeRequest(request))
        return this->changeExchange.handleRequest(request);
    return this->configurationExchange.handleRequest(request);
}

void StoreFollower::start()
{
    startFiber([this] {
        this->follow(StoreTable::Declarations, "configuration", this->proxy.settings().changeBounds.declarations(),
            [this](const RowSet& rows, bool isWhole) { this->applyDeclarations(rows, isWhole); });
    });
    startFiber([this] {
        this->follow(StoreTable::Servers, "servers", this->proxy.settings().changeBounds.serverDrain,
            [this](const RowSet& rows, bool isWhole) { this->applyServers(rows, isWhole); });
    });
    startFiber([this] {
        this->follow(
            StoreTable::Fleet, "fleet", fleetChangeBound, [this](const RowSet& rows, bool isWhole) { this->applyFleet(rows, isWhole); });
    });
    startFiber([this] { this->contactUnlistedSeeds(); });
    this->recordWriter.start();
}

void StoreFollower::follow(
    StoreTable table, const std::string& name, Duration bound, const std::function<void(const RowSet&, bool isWhole)>& apply)
{
    FeedSchedule schedule = FeedSchedule::create(bound, stableHash(this->proxy.settings().vmId.value + name)).value();
    bool isListed = false;
    StoreVersion version;
    if (table == StoreTable::Declarations) {
        if (const std::optional<StoreVersion> followed = this->fetchInitialConfiguration()) {
            version = *followed;
            this->configurationExchange.setFollowedStoreVersion(version);
            isListed = true;
        }
        this->isStarting = false;
    }
    // Runs until the process ends.
    while (true) {
        const TimePoint calledAt = bootNow();
        const Result<RowSet> rows = isListed ? this->receiveChanges(table, version, schedule) : this->readTable(table);
        if (rows) {
            if (schedule.isUnavailable()) {
                --this->unavailableTableCount;
                this->areDeclarationsUnavailable = this->areDeclarationsUnavailable && table != StoreTable::Declarations;
                this->tableRestored.notify_all();
                logEvent(LogLevel::Info, "store table available again", { { "table", name } });
            }
            schedule.recordResponse();
            version = rows.value().version;
            if (table == StoreTable::Declarations)
                this->configurationExchange.setFollowedStoreVersion(version);
            if (!isListed) {
                logEvent(LogLevel::Info, "store table read",
                    { { "table", name }, { "era", version.era }, { "version", version.number }, { "rows", rows.value().rows.size() } });
                this->changeExchange.recordList(table, rows.value());
            }
            apply(rows.value(), !isListed);
            if (table == StoreTable::Fleet && !std::exchange(this->hasStartedRegistration, true))
                startFiber([this] { this->registerSelf(); });
            // The VMs and servers of a starting fleet register within a short time, so the first changes are collected too.
            const bool isFirstRead = !isListed && table != StoreTable::Declarations;
            isListed = true;
            if (isFirstRead || !rows.value().rows.empty())
                sleepFor(this->batchDelay(table, rows.value()));
            continue;
        }
        const bool hasNoResponse = rows.error().kind == ErrorKind::OutcomeUnknown || rows.error().kind == ErrorKind::PeerUnavailable;
        if (hasNoResponse && calledAt <= this->heldCallsEndedAt && !schedule.isUnavailable()) {
            schedule.requestImmediateResponse();
            continue;
        }
        this->changeExchange.stopServing(table);
        if (rows.error().kind == ErrorKind::VersionConflict) {
            logEvent(LogLevel::Info, "store table is read again as a whole",
                { { "table", name }, { "era", version.era }, { "version", version.number }, { "detail", rows.error().detail } });
            isListed = false;
            continue;
        }
        if (!schedule.isUnavailable()) {
            ++this->unavailableTableCount;
            this->areDeclarationsUnavailable = this->areDeclarationsUnavailable || table == StoreTable::Declarations;
            logEvent(LogLevel::Warning, "store table unavailable; retrying",
                { { "table", name }, { "detail", rows.error().detail }, { "calledMsAgo", toMilliseconds(bootNow() - calledAt) } });
            if (hasNoResponse)
                this->renewHeldCalls("a call for table " + name + " received no response");
        }
        const Duration delay = schedule.recordFailure();
        if (table == StoreTable::Declarations)
            this->fetchFromNextPeer();
        this->waitBeforeRetry(table, delay);
    }
}

Result<RowSet> StoreFollower::receiveChanges(StoreTable table, const StoreVersion& after, FeedSchedule& schedule)
{
    const std::optional<VmId> reader = this->storeReaders.readerAt(bootNow());
    const auto known = reader ? this->fleetTable.members().find(vmRowKey(*reader)) : this->fleetTable.members().end();
    if (known != this->fleetTable.members().end()) {
        this->changeExchange.stopServing(table);
        Result<RowSet> changes
            = this->changeExchange.fetch(known->second.configurationEndpoint, table, after, schedule.nextReaderCall(now()));
        if (changes || changes.error().kind == ErrorKind::VersionConflict) {
            this->storeReaders.recordSuccess(*reader);
            if (changes && table == StoreTable::Servers)
                this->listCompleteness.recordPassedOn(changes.value().areLapsedEntriesBack, bootNow());
            return changes;
        }
        this->storeReaders.recordFailure(*reader, bootNow());
        logEvent(LogLevel::Info, "store reader excluded", { { "reader", reader->value }, { "detail", changes.error().detail } });
        schedule.requestImmediateResponse();
    }
    return this->receiveChangesFromStore(table, after, schedule);
}

Result<RowSet> StoreFollower::readTable(StoreTable table)
{
    const TimePoint calledAt = bootNow();
    Result<RowSet> rows = this->store.list(table, now() + listTimeout);
    if (!rows) {
        this->listCompleteness.recordFailure();
    } else if (table == StoreTable::Servers) {
        this->listCompleteness.recordContent(calledAt, bootNow());
        rows.value().areLapsedEntriesBack = this->listCompleteness.areLapsedEntriesBack();
    }
    return rows;
}

Result<RowSet> StoreFollower::receiveChangesFromStore(StoreTable table, const StoreVersion& after, FeedSchedule& schedule)
{
    const TimePoint calledAt = bootNow();
    Duration longestHold = Duration::max();
    // The first response that shows the entries which have come back ends as early as it can.
    if (const std::optional<TimePoint> needed = this->listCompleteness.neededContentTime(); needed && table == StoreTable::Servers)
        longestHold = *needed - calledAt;
    const FeedCall call = schedule.nextStoreCall(now(), this->storeReaders.isReader(), longestHold);
    Result<RowSet> changes = this->store.follow(table, after, call);
    if (!changes) {
        const bool isEndedHere = calledAt <= this->heldCallsEndedAt;
        if (changes.error().kind != ErrorKind::VersionConflict && !isEndedHere)
            this->listCompleteness.recordFailure();
        return changes;
    }
    if (table == StoreTable::Servers) {
        // Without changes, the store has answered at the end of the hold.
        const TimePoint receivedAt = bootNow();
        const TimePoint asOf = changes.value().rows.empty() ? std::min(calledAt + call.hold, receivedAt) : calledAt;
        this->listCompleteness.recordContent(asOf, receivedAt);
        changes.value().areLapsedEntriesBack = this->listCompleteness.areLapsedEntriesBack();
    }
    this->changeExchange.recordChanges(table, after, changes.value());
    return changes;
}

void StoreFollower::renewHeldCalls(std::string_view reason)
{
    logEvent(LogLevel::Info, "held calls to the store are made again", { { "reason", reason } });
    this->heldCallsEndedAt = bootNow();
    this->store.endHeldCalls();
}

Duration StoreFollower::batchDelay(StoreTable table, const RowSet& rows) const
{
    const bool isStartingUp = bootNow() < this->startedAt + startupPeriod;
    // A promotion waits for its next step, so the feed continues without a delay after rows of primaries.
    const bool isPromotion = table == StoreTable::Fleet && std::any_of(rows.rows.begin(), rows.rows.end(), [](const TableRow& row) {
        return !row.isDeleted && !decodePeer(row.key, row.value);
    });
    if (isPromotion)
        return Duration(0);
    return isStartingUp && table != StoreTable::Declarations ? startupBatchDelay : FeedSchedule::changeBatchDelay;
}

void StoreFollower::waitBeforeRetry(StoreTable table, Duration delay)
{
    if (table == StoreTable::Declarations || this->unavailableTableCount < followedTableCount
        || bootNow() < this->startedAt + startupPeriod) {
        sleepFor(delay);
        return;
    }
    std::unique_lock<boost::fibers::mutex> lock(this->tableRestoredMutex);
    this->tableRestored.wait_for(lock, tableRestoredTimeout);
}

void StoreFollower::applyDeclarations(const RowSet& rows, bool isWhole)
{
    std::vector<EvacuationRow> evacuations;
    for (const TableRow& row : rows.rows) {
        // The key alone asks for the evacuation, whatever the value.
        if (const std::optional<DataCentre> evacuated = this->decoder.evacuatedDataCentre(row.key))
            evacuations.push_back({ *evacuated, row.version, row.isDeleted });
        if (row.key == this->decoder.configurationKey() && !row.isDeleted)
            this->installDocument(row.value, "store");
    }
    this->proxy.updateEvacuations(
        [&](EvacuationTable& table) {
            if (isWhole)
                table.applyList(evacuations, rows.version, bootNow());
            else
                table.applyChanges(evacuations, rows.version, bootNow());
        },
        "store");
}

void StoreFollower::installDocument(const std::string& newDocument, std::string_view source)
{
    Result<RouteTable> table = this->decoder.decodeConfiguration(newDocument);
    if (!table) {
        logEvent(
            LogLevel::Error, "configuration ignored: it cannot be decoded", { { "source", source }, { "detail", table.error().detail } });
        return;
    }
    const uint64_t offeredVersion = table.value().version;
    if (this->proxy.installConfiguration(std::make_shared<const RouteTable>(std::move(table.value())), source))
        this->configurationExchange.setDocument(newDocument, this->proxy.routeTable().version);
    else if (offeredVersion < this->proxy.routeTable().version)
        logEvent(LogLevel::Info, "configuration ignored: it is older than the installed one",
            { { "version", offeredVersion }, { "installed", this->proxy.routeTable().version }, { "source", source } });
}

void StoreFollower::applyServers(const RowSet& rows, bool isWhole)
{
    const TimePoint seenAt = bootNow();
    if (isWhole) {
        if (this->serversEra && *this->serversEra < rows.version.era)
            this->serversRestoredUntil = seenAt + serverReportPeriod;
        this->serversEra = rows.version.era;
    }
    const bool mayBeOlderCopy = isWhole && seenAt < this->serversRestoredUntil;
    const ServerChanges::Content content = mayBeOlderCopy ? ServerChanges::Content::OlderCopy
        : isWhole                                         ? ServerChanges::Content::WholeList
                                                          : ServerChanges::Content::Changes;
    const ServerChanges changes = ServerChanges::decode(rows, this->decoder);
    this->proxy.updateServerDirectory([&](ServerDirectory& directory) { changes.applyTo(directory, content, seenAt); });
    if (isWhole || changes.hasRemoved())
        logEvent(LogLevel::Info, "server list changed",
            { { "isWhole", isWhole }, { "listed", changes.listedCount() }, { "removed", changes.describeRemoved() },
                { "areLapsedEntriesBack", rows.areLapsedEntriesBack }, { "version", rows.version.number } });
}

void StoreFollower::applyFleet(const RowSet& rows, bool isWhole)
{
    const bool isRestored = this->fleetTable.apply(rows, isWhole, bootNow());
    const bool isNewEra = !std::exchange(this->hasReadFleet, true) || isRestored;
    std::vector<PrimaryRecord> primaries;
    for (const TableRow& row : rows.rows) {
        if (row.isDeleted)
            continue;
        if (const auto primary = decodePrimary(row.key, row.value))
            primaries.push_back(*primary);
    }
    this->publishMembers();
    if (!primaries.empty()) {
        this->proxy.updateServerDirectory([&](ServerDirectory& directory) {
            for (const PrimaryRecord& primary : primaries)
                directory.recordPrimary(primary);
            // A promotion that has just read the records must know the servers that they name.
            directory.addRecordedServers(bootNow());
        });
    }
    if (isRestored)
        this->completeRestoredTables(rows.version.era);
    if (isNewEra && this->eraCallback)
        this->eraCallback(rows.version.era);
}

void StoreFollower::publishMembers()
{
    std::vector<PeerEntry> entries;
    for (const auto& [key, entry] : this->fleetTable.members())
        entries.push_back(entry);
    this->peers.setPeers(entries);
    const ProxySettings& own = this->proxy.settings();
    std::vector<StoreReaderCandidate> readers { { own.vmId, own.processorShare } };
    for (const PeerEntry& entry : entries) {
        if (entry.dataCentre == own.dataCentre && entry.id != own.vmId)
            readers.push_back({ entry.id, entry.processorShare });
    }
    std::vector<VmId> registered { own.vmId };
    for (const PeerEntry& entry : entries) {
        if (entry.id != own.vmId)
            registered.push_back(entry.id);
    }
    this->proxy.setRegisteredVms(std::move(registered));
    this->storeReaders.setCandidates(std::move(readers));
}

void StoreFollower::completeRestoredTables(uint64_t era)
{
    startFiber([this, era] {
        std::minstd_rand random(static_cast<std::minstd_rand::result_type>(stableHash(this->proxy.settings().vmId.value)));
        std::uniform_int_distribution<int> delayMs(0, maxRegistrationDelayMs);
        sleepFor(std::chrono::milliseconds(delayMs(random)));
        while (this->fleetTable.version().era == era && !this->tryToRegister())
            sleepFor(std::chrono::milliseconds(minRegistrationRetryMs + delayMs(random)));
    });
    startFiber([this, era] { this->recordWriter.writeAgain(era); });
    startFiber([this, era] {
        sleepFor(FleetTable::registrationPeriod);
        if (this->fleetTable.expire(bootNow()))
            this->publishMembers();
        // A promotion that was running when the store was restored has ended.
        this->recordWriter.writeAgain(era);
    });
}

bool StoreFollower::mayMissServers() const { return this->isAnyTableUnavailable() || bootNow() < this->serversRestoredUntil; }

Result<void> StoreFollower::refreshDirectory()
{
    const Result<RowSet> rows = this->readTable(StoreTable::Fleet);
    if (!rows)
        return fail(rows.error().kind, rows.error().detail);
    this->applyFleet(rows.value(), true);
    // A server that has just rejoined may already receive commits, so the promoter must know it before it pauses the replicas.
    const Result<RowSet> servers = this->readTable(StoreTable::Servers);
    if (!servers)
        return fail(servers.error().kind, servers.error().detail);
    this->applyServers(servers.value(), true);
    return succeed();
}

void StoreFollower::registerSelf()
{
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(stableHash(this->proxy.settings().vmId.value)));
    std::uniform_int_distribution<int> retryMs(minRegistrationRetryMs, maxRegistrationRetryMs);
    const VmId& self = this->proxy.settings().vmId;
    const Duration discovery = this->fleetTable.members().count(vmRowKey(self)) > 0 ? Duration(0) : fleetDiscoveryPeriod;
    this->peers.allowAllocationFrom(bootNow() + discovery);
    while (!this->tryToRegister()) {
        const Duration delay = std::chrono::milliseconds(retryMs(random));
        this->peers.allowAllocationFrom(bootNow() + delay + discovery);
        sleepFor(delay);
    }
    this->peers.allowAllocationFrom(bootNow() + discovery);
}

bool StoreFollower::tryToRegister()
{
    const ProxySettings& settings = this->proxy.settings();
    const PeerEntry self { settings.vmId, settings.peerEndpoint, settings.datagramPort, settings.relayPort, settings.dataCentre,
        settings.processorShare };
    if (this->fleetTable.isListed(self))
        return true;
    StoreTransaction transaction;
    transaction.puts.push_back({ StoreTable::Fleet, vmRowKey(self.id), encodePeer(self) });
    const Result<StoreVersion> stored = this->store.commit(transaction, now() + registrationTimeout);
    if (!stored)
        logEvent(LogLevel::Warning, "registration in the store failed; it is retried", { { "detail", stored.error().detail } });
    return stored.has_value();
}

std::optional<StoreVersion> StoreFollower::fetchInitialConfiguration()
{
    const TimePoint fleetListDeadline = bootNow() + fleetListTimeout;
    while (!this->hasReadFleet && bootNow() < fleetListDeadline)
        sleepFor(startupPollInterval);
    // Collects the VMs of the data centre that precede this one, the largest first. The first VM in the order has no such sources and reads
    // from the store.
    const ProxySettings& own = this->proxy.settings();
    using Rank = std::pair<double, uint64_t>;
    const auto rankOf = [](const VmId& vm, double share) { return Rank { share, rendezvousScore(configurationSourceKey, vm.value) }; };
    const Rank ownRank = rankOf(own.vmId, own.processorShare);
    std::map<Rank, Endpoint, std::greater<>> sources;
    for (const auto& [key, peer] : this->fleetTable.members()) {
        const Rank rank = rankOf(peer.id, peer.processorShare);
        if (peer.dataCentre == own.dataCentre && rank > ownRank)
            sources.emplace(rank, peer.configurationEndpoint);
    }
    std::optional<StoreVersion> followedVersion;
    const TimePoint giveUpAt = bootNow() + initialFetchTimeout;
    for (const auto& [rank, source] : sources) {
        while (bootNow() < giveUpAt && !followedVersion && this->fetchInitialConfigurationFrom(source, followedVersion))
            sleepFor(startupPollInterval);
        if (followedVersion)
            return followedVersion;
    }
    this->compareConfigurationWithPeers();
    return std::nullopt;
}

void StoreFollower::compareConfigurationWithPeers()
{
    std::map<uint64_t, Endpoint, std::greater<>> peersByScore;
    const VmId& self = this->proxy.settings().vmId;
    for (const auto& [key, peer] : this->fleetTable.members()) {
        if (peer.id != self)
            peersByScore.emplace(rendezvousScore(self.value, peer.id.value), peer.configurationEndpoint);
    }
    const auto outstandingCount = std::make_shared<size_t>(std::min(comparedPeerCount, peersByScore.size()));
    auto peer = peersByScore.begin();
    for (size_t index = *outstandingCount; index > 0; --index, ++peer) {
        startFiber([this, outstandingCount, endpoint = peer->second] {
            std::optional<StoreVersion> followedVersion;
            this->fetchInitialConfigurationFrom(endpoint, followedVersion);
            --*outstandingCount;
        });
    }
    const TimePoint giveUpAt = bootNow() + comparisonTimeout;
    while (*outstandingCount > 0 && bootNow() < giveUpAt)
        sleepFor(comparisonPollInterval);
}

bool StoreFollower::fetchInitialConfigurationFrom(const Endpoint& source, std::optional<StoreVersion>& followedVersion)
{
    const Result<PeerAnswer> fetched = this->configurationExchange.fetch(source, initialFetchRequestTimeout);
    if (!fetched)
        return false;
    this->applyPeerEvacuations(fetched.value().evacuations, source);
    if (const std::optional<PeerConfiguration>& configuration = fetched.value().configuration) {
        this->installDocument(configuration->document, "peer " + source.address);
        // Changes are followed only from a version as of which the evacuations are known too.
        if (this->proxy.isConfigured() && this->proxy.evacuations().knownAsOf() >= configuration->followedStoreVersion)
            followedVersion = configuration->followedStoreVersion;
    }
    return true;
}

void StoreFollower::fetchFromNextPeer()
{
    if (this->proxy.isConfigured() && bootNow() < this->nextPeerFetchAt)
        return;
    this->nextPeerFetchAt = bootNow() + peerFetchInterval;
    std::vector<Endpoint> known = this->proxy.settings().seeds;
    for (const auto& [key, entry] : this->fleetTable.members())
        known.push_back(entry.configurationEndpoint);
    known.insert(known.end(), this->configurationExchange.recentRequesters().begin(), this->configurationExchange.recentRequesters().end());
    std::erase(known, this->proxy.settings().peerEndpoint);
    if (!known.empty())
        this->fetchFromPeer(known[this->nextPeerIndex++ % known.size()]);
}

void StoreFollower::contactUnlistedSeeds()
{
    // Runs until the process ends, because a seed may start or lose the store at any time.
    for (Duration delay = initialSeedContactDelay;; delay = std::min(delay * 2, maxSeedContactDelay)) {
        sleepFor(delay);
        for (const Endpoint& seed : this->proxy.settings().seeds) {
            const bool isListed = std::any_of(this->fleetTable.members().begin(), this->fleetTable.members().end(),
                [&](const auto& peer) { return peer.second.configurationEndpoint == seed; });
            if (!isListed && seed != this->proxy.settings().peerEndpoint)
                this->fetchFromPeer(seed);
        }
    }
}

void StoreFollower::handleNewerConfiguration(const Endpoint& peer, uint64_t version)
{
    if (version > this->newestReportedVersion) {
        this->newestReportedVersion = version;
        this->newestReportedAt = bootNow();
    }
    if (this->areDeclarationsUnavailable || bootNow() >= this->newestReportedAt + maxFeedDelay)
        this->fetchFromPeer(peer);
}

void StoreFollower::handleNewerEvacuations(const Endpoint& peer, const StoreVersion& changedAt)
{
    if (changedAt > this->newestReportedEvacuations) {
        this->newestReportedEvacuations = changedAt;
        this->evacuationsReportedAt = bootNow();
    }
    if (this->areDeclarationsUnavailable || bootNow() >= this->evacuationsReportedAt + maxFeedDelay)
        this->fetchFromPeer(peer);
}

bool StoreFollower::applyPeerEvacuations(const std::optional<EvacuationState>& state, const Endpoint& peer)
{
    const StoreVersion changedBefore = this->proxy.evacuations().changedAt();
    if (state)
        this->proxy.updateEvacuations([&](EvacuationTable& table) { table.applyState(*state, bootNow()); }, "peer " + peer.address);
    return this->proxy.evacuations().changedAt() != changedBefore;
}

void StoreFollower::fetchFromPeer(const Endpoint& peer)
{
    if (this->isFetching || this->isStarting)
        return;
    this->isFetching = true;
    startFiber([this, peer] {
        const Result<PeerAnswer> fetched = this->configurationExchange.fetch(peer, peerFetchTimeout);
        if (!fetched)
            logEvent(LogLevel::Warning, "fetching the configuration from a peer failed",
                { { "peer", peer.address }, { "detail", fetched.error().detail } });
        else {
            const uint64_t versionBefore = this->proxy.configurationVersion();
            const bool haveEvacuationsChanged = this->applyPeerEvacuations(fetched.value().evacuations, peer);
            if (const std::optional<PeerConfiguration>& configuration = fetched.value().configuration)
                this->installDocument(configuration->document, "peer " + peer.address);
            // The store has confirmed this, and the held call should have delivered it.
            if ((versionBefore < this->proxy.configurationVersion() || haveEvacuationsChanged) && !this->areDeclarationsUnavailable)
                this->renewHeldCalls("peer " + peer.address + " has newer declarations");
        }
        this->isFetching = false;
    });
}

}
