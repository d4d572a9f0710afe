#include "foxtailtrail/proxy/StoreFollower.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <utility>

namespace foxtail {

namespace {

    // Each call of a feed is paid for. Connections that go silent are noticed by keep-alive within three seconds; the wait is the
    // second bound, and it varies so that the feeds of the VMs don't end together.
    constexpr int feedWaitMinMilliseconds = 10000;
    constexpr int feedWaitMaxMilliseconds = 15000;
    // Changes often come in groups, and each answer of a feed is paid for by every VM, so the next ones are collected for a moment.
    constexpr Duration collectionPause = std::chrono::milliseconds(400);
    // VMs and servers register one after the other while a fleet starts.
    constexpr Duration startCollectionPause = std::chrono::milliseconds(1500);
    constexpr Duration startTime = std::chrono::seconds(4);
    constexpr Duration listTimeout = std::chrono::milliseconds(1000);
    // Pause after a failed call; doubled up to the longest one.
    constexpr Duration firstPause = std::chrono::milliseconds(100);
    constexpr Duration longestPause = std::chrono::milliseconds(800);
    // Tables that are not tried for the others wait for their news up to this time.
    constexpr Duration followingPause = std::chrono::milliseconds(2500);
    constexpr Duration peerTimeout = std::chrono::milliseconds(800);
    // Seeds that the store does not list are asked after this time, and then less and less often.
    constexpr Duration firstIntroduction = std::chrono::seconds(1);
    constexpr Duration longestIntroductionPause = std::chrono::seconds(16);
    // While the store does not serve a configured VM, it asks a peer this often; a configuration is in force within three seconds.
    constexpr Duration askInterval = std::chrono::milliseconds(1500);
    // The store's feed gives a new configuration to every VM within this time, so a peer's copy is not needed before.
    constexpr Duration feedDelay = std::chrono::milliseconds(800);
    // A VM that starts waits this long for the list of VMs, and then for the configuration of another VM.
    constexpr Duration fleetWait = std::chrono::milliseconds(700);
    constexpr Duration startFromPeerTime = std::chrono::milliseconds(2000);
    // Between two questions to a VM that has no configuration yet.
    constexpr Duration startPollInterval = std::chrono::milliseconds(80);
    constexpr Duration startAnswerTimeout = std::chrono::milliseconds(600);
    // Orders the VMs of a data centre for reading the configuration from the store.
    constexpr const char* sourceKey = "configuration";

}

StoreFollower::StoreFollower(SessionProxy& proxy, SharedStore& store, const DeclarationDecoder& decoder, PeerExchange& peers)
    : proxy(proxy)
    , store(store)
    , decoder(decoder)
    , peers(peers)
    , configurationExchange(proxy.settings().peerEndpoint)
    , startedAt(bootNow())
{
}

void StoreFollower::start()
{
    startFiber([this] {
        this->follow(StoreTable::Declarations, "configuration", [this](const RowSet& rows, bool) { this->applyDeclarations(rows); });
    });
    startFiber([this] {
        this->follow(StoreTable::Servers, "servers", [this](const RowSet& rows, bool isWhole) { this->applyServers(rows, isWhole); });
    });
    startFiber([this] {
        this->follow(StoreTable::Fleet, "fleet", [this](const RowSet& rows, bool isWhole) { this->applyFleet(rows, isWhole); });
    });
    startFiber([this] { this->contactUnlistedSeeds(); });
}

void StoreFollower::follow(StoreTable table, const std::string& name, const std::function<void(const RowSet&, bool isWhole)>& apply)
{
    bool isListed = false;
    bool isLost = false;
    uint64_t version = 0;
    Duration pause = firstPause;
    if (table == StoreTable::Declarations) {
        if (const std::optional<uint64_t> followed = this->fetchInitialConfiguration()) {
            version = *followed;
            this->configurationExchange.setFollowedStoreVersion(version);
            isListed = true;
        }
        this->isStarting = false;
    }
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(stableHash(this->proxy.settings().vmId.value + name)));
    std::uniform_int_distribution<int> waits(feedWaitMinMilliseconds, feedWaitMaxMilliseconds);
    // Runs until the process ends.
    while (true) {
        const Result<RowSet> rows = isListed ? this->store.follow(table, version, std::chrono::milliseconds(waits(random)))
                                             : this->store.list(table, now() + listTimeout);
        if (rows) {
            if (std::exchange(isLost, false)) {
                --this->unavailableTableCount;
                this->areDeclarationsUnavailable = this->areDeclarationsUnavailable && table != StoreTable::Declarations;
                this->tableRestored.notify_all();
                logEvent(LogLevel::Info, "store regained", { { "table", name } });
            }
            pause = firstPause;
            version = rows.value().version;
            if (table == StoreTable::Declarations)
                this->configurationExchange.setFollowedStoreVersion(version);
            apply(rows.value(), !isListed);
            isListed = true;
            if (table == StoreTable::Fleet && !this->isRegistered)
                this->registerSelf();
            if (!rows.value().rows.empty())
                sleepFor(this->batchDelay(table, rows.value()));
            continue;
        }
        if (rows.error().kind == ErrorKind::VersionConflict) {
            isListed = false;
            continue;
        }
        if (!std::exchange(isLost, true)) {
            ++this->unavailableTableCount;
            this->areDeclarationsUnavailable = this->areDeclarationsUnavailable || table == StoreTable::Declarations;
            logEvent(LogLevel::Warning, "store lost", { { "table", name }, { "detail", rows.error().detail } });
        }
        if (table == StoreTable::Declarations)
            this->fetchFromNextPeer();
        this->waitBeforeRetry(table, pause);
        pause = std::min(pause * 2, longestPause);
    }
}

Duration StoreFollower::batchDelay(StoreTable table, const RowSet& rows) const
{
    const bool starts = bootNow() < this->startedAt + startTime;
    // The next step of a promotion is waited for.
    const bool isPromotion = table == StoreTable::Fleet && std::any_of(rows.rows.begin(), rows.rows.end(), [](const TableRow& row) {
        return !row.isDeleted && !decodePeer(row.key, row.value);
    });
    if (isPromotion)
        return Duration(0);
    return starts && table != StoreTable::Declarations ? startCollectionPause : collectionPause;
}

void StoreFollower::waitBeforeRetry(StoreTable table, Duration pause)
{
    if (table == StoreTable::Declarations || this->unavailableTableCount < followedTableCount || bootNow() < this->startedAt + startTime) {
        sleepFor(pause);
        return;
    }
    std::unique_lock<boost::fibers::mutex> lock(this->tableRestoredMutex);
    this->tableRestored.wait_for(lock, followingPause);
}

void StoreFollower::applyDeclarations(const RowSet& rows)
{
    for (const TableRow& row : rows.rows) {
        if (row.key == this->decoder.configurationKey() && !row.isDeleted)
            this->installDocument(row.value, "store");
    }
}

void StoreFollower::installDocument(const std::string& newer, std::string_view source)
{
    Result<RouteTable> table = this->decoder.decodeConfiguration(newer);
    if (!table) {
        logEvent(LogLevel::Error, "configuration cannot be read", { { "source", source }, { "detail", table.error().detail } });
        return;
    }
    if (this->proxy.installConfiguration(std::make_shared<const RouteTable>(std::move(table.value())), source))
        this->configurationExchange.setDocument(newer, this->proxy.routeTable().version);
}

void StoreFollower::applyServers(const RowSet& rows, bool isWhole)
{
    const TimePoint seenAt = bootNow();
    std::vector<ServerEntry> entries;
    std::vector<BackendServerId> removed;
    for (const TableRow& row : rows.rows) {
        const Result<ServerEntry> entry = row.isDeleted ? Result<ServerEntry>(Error { ErrorKind::MalformedRequest, "removed" })
                                                        : this->decoder.decodeServer(row.key, row.value);
        if (entry) {
            entries.push_back(entry.value());
            continue;
        }
        removed.emplace_back(row.key);
        if (!row.isDeleted)
            logEvent(LogLevel::Warning, "server entry skipped", { { "server", row.key }, { "detail", entry.error().detail } });
    }
    this->proxy.updateServerDirectory([&](ServerDirectory& directory) {
        if (isWhole)
            directory.replaceAll(entries, seenAt);
        for (const ServerEntry& entry : entries)
            directory.put(entry);
        for (const BackendServerId& id : removed)
            directory.remove(id, seenAt);
    });
}

void StoreFollower::applyFleet(const RowSet& rows, bool isWhole)
{
    if (isWhole)
        this->knownPeers.clear();
    this->hasReadFleet = true;
    std::vector<PrimaryRecord> leaders;
    for (const TableRow& row : rows.rows) {
        if (row.isDeleted) {
            this->knownPeers.erase(row.key);
            continue;
        }
        if (const auto peer = decodePeer(row.key, row.value))
            this->knownPeers[row.key] = *peer;
        if (const auto leader = decodePrimary(row.key, row.value))
            leaders.push_back(*leader);
    }
    std::vector<PeerEntry> entries;
    for (const auto& [key, entry] : this->knownPeers)
        entries.push_back(entry);
    this->peers.setPeers(entries);
    if (leaders.empty())
        return;
    this->proxy.updateServerDirectory([&](ServerDirectory& directory) {
        for (const PrimaryRecord& leader : leaders)
            directory.recordPrimary(leader);
    });
}

Result<void> StoreFollower::refreshDirectory()
{
    const Result<RowSet> rows = this->store.list(StoreTable::Fleet, now() + listTimeout);
    if (!rows)
        return fail(rows.error().kind, rows.error().detail);
    this->applyFleet(rows.value(), true);
    // A server that has just come back may already receive commits, so the promoter must know of it before it pauses the others.
    const Result<RowSet> servers = this->store.list(StoreTable::Servers, now() + listTimeout);
    if (!servers)
        return fail(servers.error().kind, servers.error().detail);
    this->applyServers(servers.value(), true);
    return succeed();
}

void StoreFollower::registerSelf()
{
    const ProxySettings& settings = this->proxy.settings();
    const PeerEntry self { settings.vmId, settings.peerEndpoint, settings.datagramPort, settings.relayPort, settings.dataCentre,
        settings.processorShare };
    const auto known = this->knownPeers.find(vmRowKey(self.id));
    if (known != this->knownPeers.end() && known->second == self) {
        this->isRegistered = true;
        return;
    }
    StoreTransaction change;
    change.puts.push_back({ StoreTable::Fleet, vmRowKey(self.id), encodePeer(self) });
    const Result<uint64_t> stored = this->store.commit(change, now() + listTimeout);
    if (stored)
        this->isRegistered = true;
    else
        logEvent(LogLevel::Warning, "not registered in the store", { { "detail", stored.error().detail } });
}

std::optional<uint64_t> StoreFollower::fetchInitialConfiguration()
{
    const TimePoint fleetBy = bootNow() + fleetWait;
    while (!this->hasReadFleet && bootNow() < fleetBy)
        sleepFor(startPollInterval);
    // The VMs of the data centre that come before this one, the largest first; the first of them reads from the store.
    const ProxySettings& own = this->proxy.settings();
    using Rank = std::pair<double, uint64_t>;
    const auto rankOf = [](const VmId& vm, double share) { return Rank { share, rendezvousScore(sourceKey, vm.value) }; };
    const Rank ownRank = rankOf(own.vmId, own.processorShare);
    std::map<Rank, Endpoint, std::greater<>> sources;
    for (const auto& [key, peer] : this->knownPeers) {
        const Rank rank = rankOf(peer.id, peer.processorShare);
        if (peer.dataCentre == own.dataCentre && rank > ownRank)
            sources.emplace(rank, peer.configurationEndpoint);
    }
    std::optional<uint64_t> followedUpTo;
    const TimePoint giveUpAt = bootNow() + startFromPeerTime;
    for (const auto& [rank, source] : sources) {
        while (bootNow() < giveUpAt && !followedUpTo && this->fetchInitialConfigurationFrom(source, followedUpTo))
            sleepFor(startPollInterval);
        if (followedUpTo)
            return followedUpTo;
    }
    return std::nullopt;
}

bool StoreFollower::fetchInitialConfigurationFrom(const Endpoint& source, std::optional<uint64_t>& followedUpTo)
{
    const Result<std::optional<PeerConfiguration>> offer = this->configurationExchange.fetch(source, startAnswerTimeout);
    if (!offer)
        return false;
    if (offer.value()) {
        this->installDocument(offer.value()->document, "peer " + source.address);
        if (this->proxy.isConfigured())
            followedUpTo = offer.value()->followedStoreVersion;
    }
    return true;
}

void StoreFollower::fetchFromNextPeer()
{
    if (this->proxy.isConfigured() && bootNow() < this->nextPeerFetchAt)
        return;
    this->nextPeerFetchAt = bootNow() + askInterval;
    std::vector<Endpoint> known = this->proxy.settings().seeds;
    for (const auto& [key, entry] : this->knownPeers)
        known.push_back(entry.configurationEndpoint);
    known.insert(known.end(), this->configurationExchange.recentRequesters().begin(), this->configurationExchange.recentRequesters().end());
    std::erase(known, this->proxy.settings().peerEndpoint);
    if (!known.empty())
        this->fetchFromPeer(known[this->nextPeerIndex++ % known.size()]);
}

void StoreFollower::contactUnlistedSeeds()
{
    // Runs until the process ends: a seed may start, or lose the store, at any time.
    for (Duration pause = firstIntroduction;; pause = std::min(pause * 2, longestIntroductionPause)) {
        sleepFor(pause);
        for (const Endpoint& seed : this->proxy.settings().seeds) {
            const bool isListed = std::any_of(this->knownPeers.begin(), this->knownPeers.end(),
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
    if (this->areDeclarationsUnavailable || bootNow() >= this->newestReportedAt + feedDelay)
        this->fetchFromPeer(peer);
}

void StoreFollower::fetchFromPeer(const Endpoint& peer)
{
    if (this->isFetching || this->isStarting)
        return;
    this->isFetching = true;
    startFiber([this, peer] {
        const Result<std::optional<PeerConfiguration>> offer = this->configurationExchange.fetch(peer, peerTimeout);
        if (!offer)
            logEvent(LogLevel::Warning, "configuration not fetched from a peer",
                { { "peer", peer.address }, { "detail", offer.error().detail } });
        else if (offer.value())
            this->installDocument(offer.value()->document, "peer " + peer.address);
        this->isFetching = false;
    });
}

}
