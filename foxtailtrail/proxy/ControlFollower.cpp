#include "foxtailtrail/proxy/ControlFollower.h"

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

ControlFollower::ControlFollower(SessionProxy& proxy, SharedStore& store, const DeclarationDecoder& decoder, PeerExchange& peers)
    : proxy(proxy)
    , store(store)
    , decoder(decoder)
    , peers(peers)
    , exchange(proxy.settings().peers)
    , startedAt(bootNow())
{
}

void ControlFollower::start()
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
    startFiber([this] { this->introduceToSeeds(); });
}

void ControlFollower::follow(StoreTable table, const std::string& name, const std::function<void(const RowSet&, bool isWhole)>& apply)
{
    bool isListed = false;
    bool isLost = false;
    uint64_t version = 0;
    Duration pause = firstPause;
    if (table == StoreTable::Declarations) {
        if (const std::optional<uint64_t> followed = this->startFromPeer()) {
            version = *followed;
            this->exchange.setFollowedUpTo(version);
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
                --this->tablesLost;
                this->declarationsLost = this->declarationsLost && table != StoreTable::Declarations;
                this->regained.notify_all();
                logEvent(LogLevel::Info, "store regained", { { "table", name } });
            }
            pause = firstPause;
            version = rows.value().version;
            if (table == StoreTable::Declarations)
                this->exchange.setFollowedUpTo(version);
            apply(rows.value(), !isListed);
            isListed = true;
            if (table == StoreTable::Fleet && !this->isRegistered)
                this->registerSelf();
            if (!rows.value().rows.empty())
                sleepFor(this->collectionTime(table, rows.value()));
            continue;
        }
        if (rows.error().kind == ErrorKind::VersionConflict) {
            isListed = false;
            continue;
        }
        if (!std::exchange(isLost, true)) {
            ++this->tablesLost;
            this->declarationsLost = this->declarationsLost || table == StoreTable::Declarations;
            logEvent(LogLevel::Warning, "store lost", { { "table", name }, { "detail", rows.error().detail } });
        }
        if (table == StoreTable::Declarations)
            this->askNextPeer();
        this->pauseAfterLoss(table, pause);
        pause = std::min(pause * 2, longestPause);
    }
}

Duration ControlFollower::collectionTime(StoreTable table, const RowSet& rows) const
{
    const bool starts = bootNow() < this->startedAt + startTime;
    // The next step of a promotion is waited for.
    const bool isPromotion = table == StoreTable::Fleet && std::any_of(rows.rows.begin(), rows.rows.end(), [](const TableRow& row) {
        return !row.removed && !decodePeer(row.key, row.value);
    });
    if (isPromotion)
        return Duration(0);
    return starts && table != StoreTable::Declarations ? startCollectionPause : collectionPause;
}

void ControlFollower::pauseAfterLoss(StoreTable table, Duration pause)
{
    if (table == StoreTable::Declarations || this->tablesLost < tableCount || bootNow() < this->startedAt + startTime) {
        sleepFor(pause);
        return;
    }
    std::unique_lock<boost::fibers::mutex> lock(this->regainedMutex);
    this->regained.wait_for(lock, followingPause);
}

void ControlFollower::applyDeclarations(const RowSet& rows)
{
    for (const TableRow& row : rows.rows) {
        if (row.key == this->decoder.configurationKey() && !row.removed)
            this->installDocument(row.value, "store");
    }
}

void ControlFollower::installDocument(const std::string& newer, std::string_view source)
{
    Result<RouteTable> table = this->decoder.decodeConfiguration(newer);
    if (!table) {
        logEvent(LogLevel::Error, "configuration cannot be read", { { "source", source }, { "detail", table.error().detail } });
        return;
    }
    if (this->proxy.install(std::make_shared<const RouteTable>(std::move(table.value())), source))
        this->exchange.setDocument(newer, this->proxy.routeTable().version);
}

void ControlFollower::applyServers(const RowSet& rows, bool isWhole)
{
    const TimePoint seenAt = bootNow();
    std::vector<ServerEntry> entries;
    std::vector<BackendServerId> removed;
    for (const TableRow& row : rows.rows) {
        const Result<ServerEntry> entry = row.removed ? Result<ServerEntry>(Error { ErrorKind::MalformedRequest, "removed" })
                                                      : this->decoder.decodeServer(row.key, row.value);
        if (entry) {
            entries.push_back(entry.value());
            continue;
        }
        removed.emplace_back(row.key);
        if (!row.removed)
            logEvent(LogLevel::Warning, "server entry skipped", { { "server", row.key }, { "detail", entry.error().detail } });
    }
    this->proxy.changeDirectory([&](ServerDirectory& directory) {
        if (isWhole)
            directory.replaceAll(entries, seenAt);
        for (const ServerEntry& entry : entries)
            directory.put(entry);
        for (const BackendServerId& id : removed)
            directory.remove(id, seenAt);
    });
}

void ControlFollower::applyFleet(const RowSet& rows, bool isWhole)
{
    if (isWhole)
        this->knownPeers.clear();
    this->fleetWasRead = true;
    std::vector<LeaderRecord> leaders;
    for (const TableRow& row : rows.rows) {
        if (row.removed) {
            this->knownPeers.erase(row.key);
            continue;
        }
        if (const auto peer = decodePeer(row.key, row.value))
            this->knownPeers[row.key] = *peer;
        if (const auto leader = decodeLeader(row.key, row.value))
            leaders.push_back(*leader);
    }
    std::vector<PeerEntry> entries;
    for (const auto& [key, entry] : this->knownPeers)
        entries.push_back(entry);
    this->peers.setPeers(entries);
    if (leaders.empty())
        return;
    this->proxy.changeDirectory([&](ServerDirectory& directory) {
        for (const LeaderRecord& leader : leaders)
            directory.recordLeader(leader);
    });
}

Result<void> ControlFollower::refreshFleet()
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

void ControlFollower::registerSelf()
{
    const ProxySettings& settings = this->proxy.settings();
    const PeerEntry self { settings.vmId, settings.peers, settings.datagramPort, settings.relayPort, settings.dataCentre,
        settings.processorShare };
    const auto known = this->knownPeers.find(vmRowKey(self.id));
    if (known != this->knownPeers.end() && known->second == self) {
        this->isRegistered = true;
        return;
    }
    StoreChange change;
    change.puts.push_back({ StoreTable::Fleet, vmRowKey(self.id), encodePeer(self) });
    const Result<uint64_t> stored = this->store.commit(change, now() + listTimeout);
    if (stored)
        this->isRegistered = true;
    else
        logEvent(LogLevel::Warning, "not registered in the store", { { "detail", stored.error().detail } });
}

std::optional<uint64_t> ControlFollower::startFromPeer()
{
    const TimePoint fleetBy = bootNow() + fleetWait;
    while (!this->fleetWasRead && bootNow() < fleetBy)
        sleepFor(startPollInterval);
    // The VMs of the data centre that come before this one, the largest first; the first of them reads from the store.
    const ProxySettings& own = this->proxy.settings();
    using Rank = std::pair<double, uint64_t>;
    const auto rankOf = [](const VmId& vm, double share) { return Rank { share, rendezvousWeight(sourceKey, vm.value) }; };
    const Rank ownRank = rankOf(own.vmId, own.processorShare);
    std::map<Rank, Endpoint, std::greater<>> sources;
    for (const auto& [key, peer] : this->knownPeers) {
        const Rank rank = rankOf(peer.id, peer.processorShare);
        if (peer.dataCentre == own.dataCentre && rank > ownRank)
            sources.emplace(rank, peer.control);
    }
    std::optional<uint64_t> followedUpTo;
    const TimePoint giveUpAt = bootNow() + startFromPeerTime;
    for (const auto& [rank, source] : sources) {
        while (bootNow() < giveUpAt && !followedUpTo && this->startFrom(source, followedUpTo))
            sleepFor(startPollInterval);
        if (followedUpTo)
            return followedUpTo;
    }
    return std::nullopt;
}

bool ControlFollower::startFrom(const Endpoint& source, std::optional<uint64_t>& followedUpTo)
{
    const Result<std::optional<ConfigurationOffer>> offer = this->exchange.ask(source, startAnswerTimeout);
    if (!offer)
        return false;
    if (offer.value()) {
        this->installDocument(offer.value()->document, "peer " + source.address);
        if (this->proxy.isConfigured())
            followedUpTo = offer.value()->followedUpTo;
    }
    return true;
}

void ControlFollower::askNextPeer()
{
    if (this->proxy.isConfigured() && bootNow() < this->askAgainAt)
        return;
    this->askAgainAt = bootNow() + askInterval;
    std::vector<Endpoint> known = this->proxy.settings().seeds;
    for (const auto& [key, entry] : this->knownPeers)
        known.push_back(entry.control);
    known.insert(known.end(), this->exchange.contacts().begin(), this->exchange.contacts().end());
    std::erase(known, this->proxy.settings().peers);
    if (!known.empty())
        this->fetchFromPeer(known[this->nextAsked++ % known.size()]);
}

void ControlFollower::introduceToSeeds()
{
    // Runs until the process ends: a seed may start, or lose the store, at any time.
    for (Duration pause = firstIntroduction;; pause = std::min(pause * 2, longestIntroductionPause)) {
        sleepFor(pause);
        for (const Endpoint& seed : this->proxy.settings().seeds) {
            const bool isListed = std::any_of(
                this->knownPeers.begin(), this->knownPeers.end(), [&](const auto& peer) { return peer.second.control == seed; });
            if (!isListed && seed != this->proxy.settings().peers)
                this->fetchFromPeer(seed);
        }
    }
}

void ControlFollower::noteNewerConfiguration(const Endpoint& peer, uint64_t version)
{
    if (version > this->toldVersion) {
        this->toldVersion = version;
        this->toldAt = bootNow();
    }
    if (this->declarationsLost || bootNow() >= this->toldAt + feedDelay)
        this->fetchFromPeer(peer);
}

void ControlFollower::fetchFromPeer(const Endpoint& peer)
{
    if (this->isFetching || this->isStarting)
        return;
    this->isFetching = true;
    startFiber([this, peer] {
        const Result<std::optional<ConfigurationOffer>> offer = this->exchange.ask(peer, peerTimeout);
        if (!offer)
            logEvent(LogLevel::Warning, "configuration not fetched from a peer",
                { { "peer", peer.address }, { "detail", offer.error().detail } });
        else if (offer.value())
            this->installDocument(offer.value()->document, "peer " + peer.address);
        this->isFetching = false;
    });
}

}
