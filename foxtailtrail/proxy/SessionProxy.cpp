#include "foxtailtrail/proxy/SessionProxy.h"

#include "foxtailtrail/net/Listen.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/scheduling/ConnectionShare.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <utility>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr Duration sweepInterval = std::chrono::milliseconds(50);
    // Callers close a session whose start has no answer within two seconds.
    constexpr Duration configurationWait = std::chrono::milliseconds(1500);
    // A grant takes one round trip to the ledger, about 20 ms across regions, and requests are up to 120 ms apart.
    constexpr Duration quotaWait = std::chrono::milliseconds(200);
    // The share of a server's connections that traffic may take; the rest is for promotions and VMs that start.
    constexpr double trafficShareOfConnections = 0.9;
    // How far one VM may exceed its equal part while others use less.
    constexpr double budgetOvercommitment = 2.0;
    // Connections of a VM to a server whose connections another VM holds, for the time in which that VM cannot be reached.
    constexpr size_t strayConnections = 2;
    // The VMs agree within a few seconds on who holds a server's connections.
    constexpr Duration holderTime = std::chrono::seconds(3);

}

SessionProxy::SessionProxy(
    boost::asio::io_context& context, ProxySettings settings, const CallerCodec& callers, const BackendCodec& backends)
    : context(context)
    , proxySettings(std::move(settings))
    , codecForCallers(callers)
    , codecForBackends(backends)
    , acceptor(context)
    , sweepTimer(context)
    , relays(context, RelayPlacement(proxySettings.regions))
    , quotaShare(proxySettings.quota)
{
}

SessionProxy::~SessionProxy() = default;

Result<void> SessionProxy::listen()
{
    BOOST_OUTCOME_TRY(listenOn(this->acceptor, this->proxySettings.callerEndpoint, "callers"));
    this->acceptNext();
    this->scheduleSweep();
    return succeed();
}

void SessionProxy::acceptNext()
{
    this->acceptor.async_accept([this](const boost::system::error_code& code, Tcp::socket socket) {
        if (code == boost::asio::error::operation_aborted)
            return;
        if (!code) {
            const auto connection = CallerConnection::accept(std::move(socket), *this);
            this->connections.emplace(connection.get(), connection);
        } else {
            logEvent(LogLevel::Warning, "accept failed", { { "detail", code.message() } });
        }
        this->acceptNext();
    });
}

bool SessionProxy::installConfiguration(std::shared_ptr<const RouteTable> newer, std::string_view source)
{
    if (this->table && newer->version <= this->table->version)
        return false;
    this->table = std::move(newer);
    logEvent(LogLevel::Info, "configuration installed",
        { { "version", this->table->version }, { "routes", this->table->routes.size() },
            { "organisations", this->table->organisations.size() }, { "source", source } });
    this->updatePoolSizes();
    std::list<ConfigurationWaiter> waiting;
    waiting.swap(this->configurationWaiters);
    for (ConfigurationWaiter& waiter : waiting)
        waiter.callback(true);
    return true;
}

void SessionProxy::whenConfigured(std::function<void(bool)> callback)
{
    if (this->table)
        callback(true);
    else
        this->configurationWaiters.push_back({ bootNow() + configurationWait, std::move(callback) });
}

void SessionProxy::updateServerDirectory(const std::function<void(ServerDirectory&)>& change)
{
    change(this->servers);
    for (const auto& [service, group] : this->groups) {
        for (const ServerEntry* entry : this->servers.members(service)) {
            if (const auto found = this->directPools.find(entry->id); found != this->directPools.end())
                found->second->updateEntry(*entry);
            if (const auto found = this->relayedPools.find(entry->id); found != this->relayedPools.end())
                found->second->updateEntry(*entry);
        }
    }
    const auto current = this->groups;
    for (const auto& [service, group] : current)
        group->directoryChanged();
    this->updatePoolSizes();
}

void SessionProxy::examineLeavingPrimaries()
{
    if (!this->table)
        return;
    for (const auto& [name, settings] : this->table->groups) {
        const std::optional<PrimaryView> leader = this->servers.findPrimary(settings.service);
        const ServerEntry* entry = leader ? this->servers.find(leader->server) : nullptr;
        if (entry && leader->isSettled && (entry->isDraining || this->servers.isRemoved(entry->id)))
            this->examineGroup(settings.service, "the primary leaves");
    }
}

void SessionProxy::retireRemovedServerPools()
{
    std::erase_if(this->relayedPools, [&](const auto& pool) { return this->servers.find(pool.first) == nullptr; });
    for (auto pool = this->directPools.begin(); pool != this->directPools.end();) {
        if (this->servers.find(pool->first)) {
            ++pool;
            continue;
        }
        const std::shared_ptr<DirectPool> retired = pool->second;
        pool = this->directPools.erase(pool);
        retired->retire();
    }
}

void SessionProxy::setVmCounts(std::map<DataCentre, size_t> vms)
{
    if (vms == this->vmCountByDataCentre)
        return;
    this->vmCountByDataCentre = std::move(vms);
    this->vmCount = 0;
    for (const auto& [dataCentre, count] : this->vmCountByDataCentre)
        this->vmCount += count;
    this->updatePoolSizes();
}

bool SessionProxy::usesRelay(const ServiceName& service) const
{
    if (!this->table)
        return false;
    const auto group = this->table->groups.find(service.value);
    return group != this->table->groups.end() && needsRelay(this->vmCount, this->table->organisations.size(), group->second.maxConnections);
}

void SessionProxy::setRelays(const std::vector<RelayCandidate>& candidates, std::map<VmId, Endpoint> addresses)
{
    this->relays.setCandidates(candidates, std::move(addresses));
    this->updatePoolSizes();
}

bool SessionProxy::isRelayFor(const ServerEntry& server, TimePoint now)
{
    const auto used = this->usedByPeersUntil.find(server.id);
    const bool isUsed = used != this->usedByPeersUntil.end() && now < used->second;
    return isUsed || this->relays.relayFor(server, now) == this->proxySettings.vmId;
}

std::shared_ptr<LinkPool> SessionProxy::poolForPeer(const BackendServerId& id)
{
    TimePoint& until = this->usedByPeersUntil[id];
    const TimePoint now = bootNow();
    const bool isNew = until <= now;
    until = now + holderTime;
    if (isNew) {
        logEvent(LogLevel::Info, "connections held for others", { { "server", id.value } });
        this->updatePoolSizes();
    }
    return this->directPool(id);
}

void SessionProxy::updatePoolSizes()
{
    if (!this->table)
        return;
    for (const auto& [id, pool] : this->directPools) {
        const ServiceName& service = pool->server().service;
        const auto group = this->table->groups.find(service.value);
        if (group == this->table->groups.end())
            continue;
        const double usable = trafficShareOfConnections * group->second.maxConnections;
        if (this->usesRelay(service)) {
            const bool holdsAll = this->isRelayFor(pool->server(), bootNow());
            pool->setSizeLimits(holdsAll ? static_cast<size_t>(usable) : strayConnections, holdsAll ? static_cast<size_t>(usable) : 0);
            continue;
        }
        GroupTopology placement { this->vmCountByDataCentre, this->proxySettings.regions, {} };
        for (const ServerEntry* entry : this->servers.members(service))
            placement.serverDataCentres.push_back(entry->dataCentre);
        const std::optional<PrimaryView> leader = this->servers.findPrimary(service);
        const double part = trafficShareOfConnections
            * connectionShare(placement, this->proxySettings.dataCentre, pool->server().dataCentre, leader && leader->server == id,
                group->second.maxConnections);
        pool->setSizeLimits(static_cast<size_t>(std::max(2.0, part * budgetOvercommitment)), static_cast<size_t>(std::max(1.0, part)));
    }
}

std::shared_ptr<GroupTracker> SessionProxy::group(const ServiceName& service)
{
    std::shared_ptr<GroupTracker>& group = this->groups[service];
    if (!group)
        group = std::make_shared<GroupTracker>(service, *this);
    return group;
}

std::vector<GroupUpdate> SessionProxy::groupUpdates(TimePoint newerThan) const
{
    std::vector<GroupUpdate> all;
    for (const auto& [service, group] : this->groups) {
        if (const std::optional<GroupUpdate> item = group->updateSince(newerThan))
            all.push_back(*item);
    }
    return all;
}

void SessionProxy::applyGroupUpdates(const std::vector<GroupUpdate>& news)
{
    for (const GroupUpdate& item : news) {
        if (this->table && this->table->groups.count(item.service.value) > 0)
            this->group(item.service)->applyUpdate(item);
    }
}

std::shared_ptr<LinkPool> SessionProxy::pool(const BackendServerId& id)
{
    const ServerEntry* entry = this->servers.find(id);
    if (entry && this->usesRelay(entry->service) && this->relays.streamFor(*entry, bootNow())) {
        std::shared_ptr<RelayedPool>& pool = this->relayedPools[id];
        if (!pool)
            pool = std::make_shared<RelayedPool>(this->relays, this->codecForBackends, *entry);
        return pool;
    }
    return this->directPool(id);
}

std::shared_ptr<DirectPool> SessionProxy::directPool(const BackendServerId& id)
{
    const auto found = this->directPools.find(id);
    if (found != this->directPools.end())
        return found->second;
    const ServerEntry* entry = this->servers.find(id);
    if (!entry)
        return nullptr;
    auto observer = [this](const BackendServerId& server, LinkOpenOutcome how) {
        constexpr std::array<std::string_view, 5> names { "opened", "refused", "unreachable", "full", "misrouted" };
        this->proxyMetrics.countOpening(names[static_cast<size_t>(how)]);
        if (how == LinkOpenOutcome::Opened || how == LinkOpenOutcome::TooManyConnections)
            return;
        const ServerEntry* failed = this->servers.find(server);
        if (failed)
            this->group(failed->service)->recordFailure(server, bootNow());
    };
    auto pool = std::make_shared<DirectPool>(this->context, this->codecForBackends, *entry, std::move(observer));
    this->directPools.emplace(id, pool);
    this->updatePoolSizes();
    return pool;
}

Distance SessionProxy::distanceTo(const ServerEntry& entry) const
{
    if (entry.dataCentre == this->proxySettings.dataCentre)
        return Distance::SameDataCentre;
    const auto region = this->proxySettings.regions.find(entry.dataCentre.value);
    const bool same = region != this->proxySettings.regions.end() && region->second == this->proxySettings.region.value;
    return same ? Distance::SameRegion : Distance::OtherRegion;
}

void SessionProxy::examineGroup(const ServiceName& service, std::string_view reason)
{
    if (this->groupExaminer)
        this->groupExaminer(service, reason);
}

void SessionProxy::admit(const OrganisationLimit& limit, std::function<void(bool)> callback)
{
    const TimePoint now = bootNow();
    const QuotaDecision verdict = this->quotaShare.admit(limit, this->vmCount, now);
    if (verdict == QuotaDecision::Wait)
        this->quotaWaiters.push_back({ limit, now + quotaWait, std::move(callback) });
    else
        callback(verdict == QuotaDecision::Admitted);
    if (this->grantRequester)
        this->grantRequester();
}

void SessionProxy::serveQuotaWaiters()
{
    std::list<QuotaWaiter> waiting;
    waiting.swap(this->quotaWaiters);
    const TimePoint now = bootNow();
    for (QuotaWaiter& waiter : waiting) {
        const QuotaDecision verdict = this->quotaShare.admit(waiter.limit, this->vmCount, now, true);
        if (verdict == QuotaDecision::Wait && now < waiter.giveUpAt)
            this->quotaWaiters.push_back(std::move(waiter));
        else
            waiter.callback(verdict == QuotaDecision::Admitted);
    }
}

void SessionProxy::removeConnection(CallerConnection& connection)
{
    this->connectionsToSweep.erase(&connection);
    this->connections.erase(&connection);
}

void SessionProxy::addToSweep(CallerConnection& connection) { this->connectionsToSweep.insert(&connection); }

void SessionProxy::recordRequest(const RequestOutcome& outcome)
{
    this->proxyMetrics.countRequest(outcome.error, outcome.elapsed);
    json::object fields { { "request", outcome.requestId }, { "database", outcome.database }, { "organisation", outcome.organisation },
        { "elapsedMs", toMilliseconds(outcome.elapsed) }, { "configuration", this->table ? this->table->version : 0 } };
    if (outcome.attempts > 0) {
        fields["server"] = outcome.server;
        fields["attempts"] = outcome.attempts;
    }
    if (!outcome.error) {
        logEvent(LogLevel::Info, "request served", std::move(fields));
        return;
    }
    fields["error"] = errorKindProperties(*outcome.error).name;
    fields["ran"] = hasRunName(errorKindProperties(*outcome.error).ran);
    fields["detail"] = outcome.detail;
    logEvent(LogLevel::Info, "request refused", std::move(fields));
}

size_t SessionProxy::backendConnectionCount() const
{
    size_t count = 0;
    for (const auto& [id, pool] : this->directPools)
        count += pool->size();
    return count;
}

void SessionProxy::post(std::function<void()> task) { boost::asio::post(this->context, std::move(task)); }

void SessionProxy::startDraining(TimePoint closeIdle, TimePoint endTransactions)
{
    this->draining = true;
    this->closeIdleAt = closeIdle;
    this->endTransactionsAt = endTransactions;
}

void SessionProxy::scheduleSweep()
{
    this->sweepTimer.expires_after(sweepInterval);
    this->sweepTimer.async_wait([this](const boost::system::error_code& code) {
        if (code)
            return;
        this->sweep();
        this->scheduleSweep();
    });
}

void SessionProxy::sweep()
{
    flushLog();
    const TimePoint now = bootNow();
    const std::vector<CallerConnection*> active(this->connectionsToSweep.begin(), this->connectionsToSweep.end());
    for (CallerConnection* connection : active) {
        const auto found = this->connections.find(connection);
        if (found == this->connections.end())
            continue;
        const auto keep = found->second;
        keep->sweep(now);
        if (!keep->needsSweep())
            this->connectionsToSweep.erase(connection);
    }
    const auto currentPools = this->directPools;
    for (const auto& [id, pool] : currentPools)
        pool->sweep(now);
    this->relays.sweep(now);
    const auto currentGroups = this->groups;
    for (const auto& [service, group] : currentGroups)
        group->sweep(now);
    if (this->grantRequester)
        this->grantRequester();
    if (!this->quotaWaiters.empty())
        this->serveQuotaWaiters();
    this->examineLeavingPrimaries();
    std::list<ConfigurationWaiter> late;
    while (!this->configurationWaiters.empty() && this->configurationWaiters.front().giveUpAt <= now)
        late.splice(late.end(), this->configurationWaiters, this->configurationWaiters.begin());
    for (ConfigurationWaiter& waiter : late)
        waiter.callback(false);
    if (!this->servers.expire(now).empty()) {
        this->retireRemovedServerPools();
        this->updateServerDirectory([](ServerDirectory&) {});
    }
    if (!this->draining)
        return;
    const auto sessions = this->connections;
    const bool endTransactions = now >= this->endTransactionsAt && !std::exchange(this->transactionsEnded, now >= this->endTransactionsAt);
    for (const auto& [address, connection] : sessions) {
        if (endTransactions)
            connection->abortTransaction();
        if (now >= this->closeIdleAt && connection->isIdle())
            connection->disconnect();
    }
}

}
