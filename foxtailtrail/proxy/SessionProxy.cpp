#include "foxtailtrail/proxy/SessionProxy.h"

#include "foxtailtrail/base/Hash.h"
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

    // Older reports say too little to be passed on.
    constexpr Duration passedReportLifetime = std::chrono::seconds(1);
    // Bounds the bytes of a message of a large group.
    constexpr size_t maxPassedReports = 4;
    constexpr Duration sweepInterval = std::chrono::milliseconds(50);
    // Shorter than the two seconds after which callers close a session that has no reply to its start message.
    constexpr Duration configurationTimeout = std::chrono::milliseconds(1500);
    // The time limits of the memory budget are checked this often, and more often while memory is short.
    constexpr Duration memorySweepInterval = std::chrono::seconds(1);
    // Sweeps that are this far apart show that the VM did not run meanwhile.
    constexpr Duration suspensionGap = std::chrono::milliseconds(500);
    // The time for which the limits of the memory budget do not count after that.
    constexpr Duration progressGrace = std::chrono::seconds(2);
    // The time for which a closed session may send its last replies.
    constexpr Duration closingTimeout = std::chrono::seconds(30);
    constexpr Duration quotaRefusalLogInterval = std::chrono::milliseconds(500);
    // The organisations with the most operations that one log line lists.
    constexpr size_t maxReportedOrganisations = 10;
    // The fraction of a server's maximum number of connections that traffic may use; the rest is reserved for promotions and VMs
    // that start.
    constexpr double trafficConnectionFraction = 0.9;
    // The factor by which one VM may exceed its equal share of the connections while others use less.
    constexpr double overcommitFactor = 2.0;
    // The maximum number of this VM's own connections to a server that has another VM as its relay. They are used while the relay
    // cannot be reached.
    constexpr size_t maxFallbackConnections = 2;
    // A VM may learn this much later than the store that a server leaves, and a statement that it has sent takes time to arrive.
    constexpr Duration leavingServerMargin = std::chrono::seconds(2);
    // Time for which the use by a peer makes this VM the relay of a server. The VMs agree on the relay within a few seconds.
    constexpr Duration relayUseLifetime = std::chrono::seconds(3);

    void logChangedLimits(const std::vector<OrganisationLimit>& before, const std::vector<OrganisationLimit>& after)
    {
        std::map<OrganisationId, const OrganisationLimit*> known;
        for (const OrganisationLimit& limit : before)
            known.emplace(limit.organisation, &limit);
        for (const OrganisationLimit& limit : after) {
            const auto old = known.find(limit.organisation);
            if (old != known.end() && old->second->ratePerSecond == limit.ratePerSecond && old->second->burst == limit.burst)
                continue;
            logEvent(LogLevel::Info, "limit of an organisation changed",
                { { "organisation", limit.organisation.value }, { "ratePerSecond", limit.ratePerSecond }, { "burst", limit.burst },
                    { "earlierRatePerSecond", old == known.end() ? 0 : old->second->ratePerSecond } });
        }
    }

}

SessionProxy::SessionProxy(
    boost::asio::io_context& context, ProxySettings settings, const CallerCodec& callerCodec, const BackendCodec& backendCodec)
    : context(context)
    , proxySettings(std::move(settings))
    , codecForCallers(callerCodec)
    , codecForBackends(backendCodec)
    , acceptor(context)
    , sweepTimer(context)
    , relays(context, RelayPlacement(proxySettings.regions))
    , evacuationTable(proxySettings.changeBounds.evacuationSettlingPeriod())
    , placementRule(proxySettings.regions)
    , coldServerRule(proxySettings.vmId, proxySettings.coldServers)
    , callerBudget(std::make_shared<MemoryBudget>(proxySettings.memory))
    , localQuota(proxySettings.quota)
    , random(static_cast<std::minstd_rand::result_type>(stableHash(proxySettings.vmId.value)))
{
    if (this->proxySettings.usesEvenLoad)
        this->relays.setLoadExchange(this);
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
        if (!code)
            this->addConnection(std::move(socket));
        else
            logEvent(LogLevel::Warning, "accepting a caller connection failed", { { "detail", code.message() } });
        // After an error, such as a lack of descriptors, the next attempt would fail at once. The sweep tries again.
        this->isAcceptingPaused = true;
        if (!code)
            this->resumeAccepting();
    });
}

void SessionProxy::resumeAccepting()
{
    if (!this->isAcceptingPaused || !this->acceptor.is_open())
        return;
    if (this->connections.size() + this->closingConnections.size() >= this->callerBudget->maxConnections())
        return;
    this->isAcceptingPaused = false;
    this->acceptNext();
}

void SessionProxy::addConnection(Tcp::socket socket)
{
    const auto connection = CallerConnection::accept(std::move(socket), *this);
    this->connections.emplace(connection.get(), connection);
}

void SessionProxy::stopAccepting()
{
    boost::system::error_code code;
    this->acceptor.non_blocking(true, code);
    // A caller that has closed its connection again does not end the queue of established connections.
    while (!code || code == boost::asio::error::connection_aborted) {
        Tcp::socket socket(this->context);
        this->acceptor.accept(socket, code);
        if (!code)
            this->addConnection(std::move(socket));
    }
    if (code != boost::asio::error::would_block)
        logEvent(LogLevel::Warning, "accepting a caller connection failed", { { "detail", code.message() } });
    this->acceptor.close(code);
}

bool SessionProxy::installConfiguration(std::shared_ptr<const RouteTable> newer, std::string_view source)
{
    if (this->table && newer->version <= this->table->version)
        return false;
    if (this->table)
        logChangedLimits(this->table->organisations, newer->organisations);
    this->table = std::move(newer);
    this->recordColdServers();
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
        this->configurationWaiters.push_back({ bootNow() + configurationTimeout, std::move(callback) });
}

void SessionProxy::updateServerDirectory(const std::function<void(ServerDirectory&)>& change)
{
    change(this->servers);
    this->recordColdServers();
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

bool SessionProxy::mayStopSoon(const BackendServerId& server, TimePoint now) const
{
    return this->servers.isLeavingSince(server, now - (this->proxySettings.changeBounds.serverDrain - leavingServerMargin));
}

void SessionProxy::examineLeavingPrimaries()
{
    if (!this->table)
        return;
    for (const auto& [name, settings] : this->table->groups) {
        const std::optional<PrimaryView> primary = this->servers.findPrimary(settings.service);
        const ServerEntry* entry = primary ? this->servers.find(primary->server) : nullptr;
        if (entry && primary->isSettled && (entry->isDraining || this->servers.isRemoved(entry->id)))
            this->examineGroup(settings.service, "the primary is draining or has been removed");
        else if (entry && primary->isSettled && this->hasToHandOverForEvacuation(*entry))
            this->examineGroup(settings.service, "the primary's data centre is evacuated");
    }
}

void SessionProxy::recordColdServers()
{
    if (!this->table)
        return;
    const TimePoint now = bootNow();
    for (const auto& [name, settings] : this->table->groups) {
        for (const ServerEntry* entry : this->servers.members(settings.service))
            this->coldServerRule.recordReport(entry->id, entry->startedAtMs, entry->sequence, entry->coldFor, now);
    }
}

bool SessionProxy::maySendWhileCold(const ServerEntry& entry, TimePoint now) const
{
    if (!this->table || !this->coldServerRule.isCold(entry.id, now))
        return true;
    const auto group = this->table->groups.find(entry.service.value);
    return group == this->table->groups.end() || this->coldServerRule.maySend(entry.id, group->second.coldStatementsPerSecond, now);
}

bool SessionProxy::hasToHandOverForEvacuation(const ServerEntry& primary) const
{
    if (!this->evacuationTable.isEvacuated(primary.dataCentre))
        return false;
    const std::vector<const ServerEntry*> members = this->servers.members(primary.service);
    return std::any_of(members.begin(), members.end(), [&](const ServerEntry* entry) {
        return !entry->isDraining && !this->servers.isRemoved(entry->id) && !this->evacuationTable.isEvacuated(entry->dataCentre);
    });
}

bool SessionProxy::isEvacuated(const BackendServerId& id) const
{
    const ServerEntry* entry = this->servers.find(id);
    return entry && this->evacuationTable.isInForce(entry->dataCentre, bootNow());
}

void SessionProxy::updateEvacuations(const std::function<void(EvacuationTable&)>& change, std::string_view source)
{
    const std::vector<DataCentre> before = this->evacuationTable.state().dataCentres;
    change(this->evacuationTable);
    const std::vector<DataCentre> after = this->evacuationTable.state().dataCentres;
    if (before == after)
        return;
    const auto logMissing = [&](const std::vector<DataCentre>& from, const std::vector<DataCentre>& in, const char* event) {
        for (const DataCentre& dataCentre : from) {
            if (std::find(in.begin(), in.end(), dataCentre) == in.end())
                logEvent(LogLevel::Info, event,
                    { { "dataCentre", dataCentre.value }, { "source", source }, { "version", this->evacuationTable.knownAsOf().number },
                        { "era", this->evacuationTable.knownAsOf().era } });
        }
    };
    logMissing(after, before, "evacuation known");
    logMissing(before, after, "evacuation taken back");
    this->examineLeavingPrimaries();
}

void SessionProxy::logEvacuations(TimePoint now)
{
    std::map<DataCentre, std::string> inForce;
    for (const DataCentre& dataCentre : this->evacuationTable.state().dataCentres) {
        if (this->evacuationTable.isInForce(dataCentre, now))
            inForce[dataCentre];
    }
    if (!inForce.empty() && this->table) {
        for (const auto& [name, settings] : this->table->groups) {
            const std::optional<PrimaryView> primary = this->servers.findPrimary(settings.service);
            const ServerEntry* entry = primary ? this->servers.find(primary->server) : nullptr;
            if (const auto found = entry ? inForce.find(entry->dataCentre) : inForce.end(); found != inForce.end())
                found->second += (found->second.empty() ? "" : ", ") + name;
        }
    }
    for (const auto& [dataCentre, groups] : inForce) {
        const auto logged = this->loggedEvacuations.find(dataCentre);
        if (logged == this->loggedEvacuations.end() || logged->second != groups)
            logEvent(LogLevel::Info, "evacuation in force", { { "dataCentre", dataCentre.value }, { "groupsWithPrimaryThere", groups } });
    }
    this->loggedEvacuations = std::move(inForce);
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

void SessionProxy::setVmCounts(std::map<DataCentre, size_t> countByDataCentre)
{
    if (countByDataCentre == this->vmCountByDataCentre)
        return;
    this->vmCountByDataCentre = std::move(countByDataCentre);
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
    const auto usedUntil = this->usedByPeersUntil.find(server.id);
    const bool isUsedByPeers = usedUntil != this->usedByPeersUntil.end() && now < usedUntil->second;
    return isUsedByPeers || this->relays.relayFor(server, now) == this->proxySettings.vmId;
}

std::shared_ptr<LinkPool> SessionProxy::poolForPeer(const BackendServerId& id)
{
    TimePoint& until = this->usedByPeersUntil[id];
    const TimePoint now = bootNow();
    const bool isNew = until <= now;
    until = now + relayUseLifetime;
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
        const double trafficConnections = trafficConnectionFraction * group->second.maxConnections;
        if (this->usesRelay(service)) {
            const bool isRelay = this->isRelayFor(pool->server(), bootNow());
            pool->setSizeLimits(isRelay ? static_cast<size_t>(trafficConnections) : maxFallbackConnections,
                isRelay ? static_cast<size_t>(trafficConnections) : 0);
            continue;
        }
        GroupTopology topology { this->vmCountByDataCentre, this->proxySettings.regions, {} };
        for (const ServerEntry* entry : this->servers.members(service))
            topology.serverDataCentres.push_back(entry->dataCentre);
        const std::optional<PrimaryView> primary = this->servers.findPrimary(service);
        const double share = trafficConnectionFraction
            * connectionShare(topology, this->proxySettings.dataCentre, pool->server().dataCentre, primary && primary->server == id,
                group->second.maxConnections);
        pool->setSizeLimits(static_cast<size_t>(std::max(2.0, share * overcommitFactor)), static_cast<size_t>(std::max(1.0, share)));
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
    std::vector<GroupUpdate> newerUpdates;
    for (const auto& [service, group] : this->groups) {
        if (const std::optional<GroupUpdate> update = group->updateSince(newerThan))
            newerUpdates.push_back(*update);
    }
    return newerUpdates;
}

void SessionProxy::applyGroupUpdates(const std::vector<GroupUpdate>& updates)
{
    for (const GroupUpdate& update : updates) {
        if (this->table && this->table->groups.count(update.service.value) > 0)
            this->group(update.service)->applyUpdate(update);
    }
}

std::shared_ptr<LinkPool> SessionProxy::pool(const BackendServerId& id)
{
    const ServerEntry* entry = this->servers.find(id);
    if (entry && this->usesRelay(entry->service) && this->relays.streamFor(*entry, bootNow()))
        return this->relayedPool(*entry);
    return this->directPool(id);
}

const std::shared_ptr<RelayedPool>& SessionProxy::relayedPool(const ServerEntry& server)
{
    std::shared_ptr<RelayedPool>& pool = this->relayedPools[server.id];
    if (!pool)
        pool = std::make_shared<RelayedPool>(this->relays, this->codecForBackends, server);
    return pool;
}

std::shared_ptr<DirectPool> SessionProxy::directPool(const BackendServerId& id)
{
    const auto found = this->directPools.find(id);
    if (found != this->directPools.end())
        return found->second;
    const ServerEntry* entry = this->servers.find(id);
    if (!entry)
        return nullptr;
    PoolListener listener;
    listener.onWaited = [this](Duration waited) { this->proxyMetrics.observeQueueWait(waited); };
    listener.onRefusal = [this](std::string_view reason) { this->proxyMetrics.countQueueRefusal(reason); };
    listener.onOpening = [this](const BackendServerId& server, LinkOpenOutcome openOutcome) {
        constexpr std::array<std::string_view, 5> names { "opened", "refused", "unreachable", "full", "misrouted" };
        this->proxyMetrics.countOpening(names[static_cast<size_t>(openOutcome)]);
        if (openOutcome == LinkOpenOutcome::Opened || openOutcome == LinkOpenOutcome::TooManyConnections)
            return;
        const ServerEntry* entryOfServer = this->servers.find(server);
        if (entryOfServer)
            this->group(entryOfServer->service)->recordFailure(server, bootNow());
    };
    auto pool = std::make_shared<DirectPool>(this->context, this->codecForBackends, *entry, std::move(listener));
    this->directPools.emplace(id, pool);
    this->updatePoolSizes();
    return pool;
}

Distance SessionProxy::distanceTo(const ServerEntry& entry) const
{
    if (entry.dataCentre == this->proxySettings.dataCentre)
        return Distance::SameDataCentre;
    const auto region = this->proxySettings.regions.find(entry.dataCentre.value);
    const bool isSameRegion = region != this->proxySettings.regions.end() && region->second == this->proxySettings.region.value;
    return isSameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

void SessionProxy::examineGroup(const ServiceName& service, std::string_view reason)
{
    if (this->groupExaminer)
        this->groupExaminer(service, reason);
}

bool SessionProxy::usesReportedLoad(const LinkPool& pool)
{
    // A VM that holds connections only for itself does not see the statements of the others.
    return this->proxySettings.usesEvenLoad && this->usesRelay(pool.server().service)
        && (this->relays.streamFor(pool.server(), bootNow()) || this->isRelayFor(pool.server(), bootNow()));
}

double SessionProxy::randomDraw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

void SessionProxy::recordReadChoice(const ReadChoice& choice)
{
    this->proxyMetrics.countReadChoice(readChoiceReasonNames[static_cast<size_t>(choice.reason)], choice.reportAge);
}

std::optional<ServerLoad> SessionProxy::knownLoad(const ServerEntry& server, TimePoint now)
{
    // A VM that was the relay until recently sees only what is left of the load.
    if (this->relays.relayFor(server, now) == this->proxySettings.vmId) {
        const auto pool = this->directPools.find(server.id);
        return pool == this->directPools.end() ? std::nullopt : pool->second->load();
    }
    const auto pool = this->relayedPools.find(server.id);
    return pool == this->relayedPools.end() ? std::nullopt : pool->second->load();
}

std::vector<LoadReport> SessionProxy::reportsBeside(const ServerEntry& server)
{
    const TimePoint now = bootNow();
    std::vector<LoadReport> reports;
    for (const ServerEntry* member : this->servers.members(server.service)) {
        if (member->id == server.id || reports.size() == maxPassedReports)
            continue;
        const std::optional<ServerLoad> load = this->knownLoad(*member, now);
        if (load && now < load->takenAt + passedReportLifetime)
            reports.push_back({ loadReportKey(member->id), now - load->takenAt, *load });
    }
    return reports;
}

void SessionProxy::handleReports(const ServiceName& service, const std::vector<LoadReport>& reports)
{
    for (const ServerEntry* member : this->servers.members(service)) {
        const uint32_t key = loadReportKey(member->id);
        const auto report
            = std::find_if(reports.begin(), reports.end(), [&](const LoadReport& candidate) { return candidate.serverKey == key; });
        if (report == reports.end())
            continue;
        this->relayedPool(*member)->recordPassedReport(report->load, report->age);
    }
}

void SessionProxy::admit(const OrganisationLimit& limit, const QuotaOperation& operation, AdmissionCallback callback)
{
    const TimePoint now = bootNow();
    const QuotaDecision decision = this->localQuota.admit(limit, this->vmCount, now, false, operation);
    if (decision == QuotaDecision::Wait)
        this->quotaWaiters.push_back({ limit, operation, std::move(callback) });
    else if (decision == QuotaDecision::Admitted)
        callback(std::nullopt);
    else
        this->refuseByQuota(limit, operation, this->localQuota.refusalCause(limit.organisation, now), callback, now);
    if (this->grantRequester)
        this->grantRequester();
}

void SessionProxy::serveQuotaWaiters()
{
    std::list<QuotaWaiter> waiting;
    waiting.swap(this->quotaWaiters);
    const TimePoint now = bootNow();
    for (QuotaWaiter& waiter : waiting) {
        const QuotaDecision decision = this->localQuota.admit(waiter.limit, this->vmCount, now, true, waiter.operation);
        if (decision == QuotaDecision::Wait && now < waiter.operation.giveUpAt)
            this->quotaWaiters.push_back(std::move(waiter));
        else if (decision == QuotaDecision::Admitted)
            waiter.callback(std::nullopt);
        else {
            const QuotaRefusalCause cause
                = this->localQuota.stopWaiting(waiter.limit.organisation, waiter.operation.arrivedAt, waiter.operation);
            this->refuseByQuota(waiter.limit, waiter.operation, cause, waiter.callback, now);
        }
    }
}

void SessionProxy::refuseByQuota(const OrganisationLimit& limit, const QuotaOperation& operation, QuotaRefusalCause cause,
    const AdmissionCallback& callback, TimePoint now)
{
    this->countQuotaRefusal(cause);
    callback(this->localQuota.takeReturnTime(limit, this->vmCount, now, operation) - now);
}

void SessionProxy::countQuotaRefusal(QuotaRefusalCause cause)
{
    ++this->quotaRefusals[static_cast<size_t>(cause)];
    this->proxyMetrics.countQuotaRefusal(quotaRefusalCauseNames[static_cast<size_t>(cause)]);
}

void SessionProxy::logQuotaRefusals(TimePoint now)
{
    if (now < this->nextQuotaRefusalLogAt)
        return;
    this->nextQuotaRefusalLogAt = now + quotaRefusalLogInterval;
    json::object fields;
    for (size_t index = 0; index < this->quotaRefusals.size(); ++index) {
        if (const size_t count = std::exchange(this->quotaRefusals[index], 0))
            fields[quotaRefusalCauseNames[index]] = count;
    }
    const bool hasRefused = !fields.empty();
    if (hasRefused)
        logEvent(LogLevel::Info, "operations refused by quota", std::move(fields));
    this->reportQuotaUsage(hasRefused);
}

void SessionProxy::reportQuotaUsage(bool hasRefused)
{
    QuotaUsage total;
    std::vector<std::pair<double, json::array>> organisations;
    for (const auto& [organisation, usage] : this->localQuota.takeUsage()) {
        total.granted += usage.granted;
        total.used += usage.used;
        total.returned += usage.returned;
        total.expired += usage.expired;
        organisations.emplace_back(
            usage.used, json::array { organisation.value, usage.granted, usage.used, usage.returned, usage.expired });
    }
    this->proxyMetrics.countQuotaTokens("granted", total.granted);
    this->proxyMetrics.countQuotaTokens("used", total.used);
    this->proxyMetrics.countQuotaTokens("returned", total.returned);
    this->proxyMetrics.countQuotaTokens("expired", total.expired);
    if (!hasRefused || organisations.empty())
        return;
    const size_t count = std::min(organisations.size(), maxReportedOrganisations);
    std::partial_sort(organisations.begin(), organisations.begin() + static_cast<std::ptrdiff_t>(count), organisations.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    json::array list;
    for (size_t index = 0; index < count; ++index)
        list.push_back(std::move(organisations[index].second));
    logEvent(LogLevel::Info, "quota usage",
        { { "granted", total.granted }, { "used", total.used }, { "returned", total.returned }, { "expired", total.expired },
            { "organisations", std::move(list) } });
}

void SessionProxy::removeConnection(CallerConnection& connection)
{
    this->connectionsToSweep.erase(&connection);
    const auto found = this->connections.find(&connection);
    if (found == this->connections.end())
        return;
    if (connection.isSocketOpen())
        this->closingConnections.emplace_back(bootNow() + closingTimeout, found->second);
    this->connections.erase(found);
}

void SessionProxy::countMemoryRefusal(MemoryRefusal reason)
{
    ++this->memoryRefusals[static_cast<size_t>(reason)];
    this->proxyMetrics.countMemoryRefusal(memoryRefusalNames[static_cast<size_t>(reason)]);
}

void SessionProxy::sweepMemory(TimePoint now)
{
    // After a suspension, bytes that arrived meanwhile are read before the callers' time limits count.
    if (this->memorySweptAt != TimePoint {} && now >= this->memorySweptAt + suspensionGap)
        this->memoryLimitsCountFrom = now + progressGrace;
    this->memorySweptAt = now;
    const bool isShort = !this->memoryWaiters.empty() || !this->callerBudget->hasBufferRoom();
    const bool isDue = now >= this->nextMemorySweepAt;
    if ((isShort || isDue) && now >= this->memoryLimitsCountFrom) {
        std::vector<std::shared_ptr<CallerConnection>> held;
        std::vector<MemoryHolder> holders;
        held.reserve(this->connections.size());
        holders.reserve(this->connections.size());
        for (const auto& [address, connection] : this->connections) {
            // The statement of a closed connection may still be running.
            if (!connection->isSocketOpen())
                continue;
            held.push_back(connection);
            holders.push_back(connection->memoryHolder());
        }
        for (const MemoryEviction& eviction : this->callerBudget->evictions(holders, now))
            held[eviction.holder]->closeForMemory(eviction.reason);
    }
    std::deque<std::weak_ptr<CallerConnection>> waiters;
    waiters.swap(this->memoryWaiters);
    for (const auto& waiter : waiters) {
        if (const auto connection = waiter.lock())
            connection->retryReading();
    }
    this->resumeAccepting();
    if (!isDue)
        return;
    this->nextMemorySweepAt = now + memorySweepInterval;
    this->closingConnections.remove_if([&](const auto& entry) {
        if (now >= entry.first && entry.second->isSocketOpen())
            entry.second->closeForMemory(MemoryRefusal::UnreadAnswer);
        return !entry.second->isSocketOpen();
    });
    if (this->isAcceptingPaused)
        this->countMemoryRefusal(MemoryRefusal::NoDescriptor);
    json::object fields;
    for (size_t index = 0; index < this->memoryRefusals.size(); ++index) {
        if (const size_t count = std::exchange(this->memoryRefusals[index], 0))
            fields[memoryRefusalNames[index]] = count;
    }
    if (!fields.empty())
        logEvent(LogLevel::Warning, "callers refused to save memory", std::move(fields));
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

size_t SessionProxy::waitingStatementCount() const
{
    size_t count = 0;
    for (const auto& [id, pool] : this->directPools)
        count += pool->waitingCount();
    return count;
}

void SessionProxy::post(std::function<void()> task) { boost::asio::post(this->context, std::move(task)); }

size_t SessionProxy::logUnansweredRequests() const
{
    const TimePoint now = bootNow();
    size_t count = 0;
    for (const auto& [address, connection] : this->connections)
        count += connection->logUnansweredRequests(now);
    return count;
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
    const std::vector<CallerConnection*> sweptConnections(this->connectionsToSweep.begin(), this->connectionsToSweep.end());
    for (CallerConnection* connection : sweptConnections) {
        const auto found = this->connections.find(connection);
        if (found == this->connections.end())
            continue;
        const auto keepAlive = found->second;
        keepAlive->sweep(now);
        if (!keepAlive->needsSweep())
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
    this->logQuotaRefusals(now);
    this->sweepMemory(now);
    this->examineLeavingPrimaries();
    this->logEvacuations(now);
    std::list<ConfigurationWaiter> expiredWaiters;
    while (!this->configurationWaiters.empty() && this->configurationWaiters.front().giveUpAt <= now)
        expiredWaiters.splice(expiredWaiters.end(), this->configurationWaiters, this->configurationWaiters.begin());
    for (ConfigurationWaiter& waiter : expiredWaiters)
        waiter.callback(false);
    const bool hasResolvedServers = this->servers.resolveOlderCopy(now);
    const std::vector<BackendServerId> expiredServers = this->servers.expire(now);
    const bool hasExpiredServers = !expiredServers.empty();
    for (const BackendServerId& server : expiredServers)
        this->coldServerRule.removeServer(server);
    if (hasExpiredServers)
        this->retireRemovedServerPools();
    if (hasResolvedServers || hasExpiredServers)
        this->updateServerDirectory([](ServerDirectory&) {});
    this->applyStop();
}

void SessionProxy::applyStop()
{
    if (!this->stop)
        return;
    const TimePoint now = bootNow();
    const auto sessions = this->connections;
    // Requests that wait end first: a connection that the end of another request frees would start them.
    if (this->stop->hasToEndSessions(now)) {
        for (const auto& [address, connection] : sessions)
            connection->refuseWaitingRequest();
    }
    for (const auto& [address, connection] : sessions)
        connection->applyStop(*this->stop, now);
}

}
