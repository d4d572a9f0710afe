#include "foxtailtrail/server/ControlPlane.h"

#include "foxtailtrail/limits/LimitHalves.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/LoanCodec.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <set>

namespace foxtail {

namespace {

    constexpr Duration pingTick = std::chrono::milliseconds(50);
    constexpr Duration placementTick = std::chrono::milliseconds(100);
    constexpr Duration listTick = std::chrono::milliseconds(500);
    constexpr Duration shardTick = std::chrono::milliseconds(200);
    constexpr Duration upkeepTick = std::chrono::seconds(1);
    // A starting VM first gives its peers the time to answer, so that it does not found a fleet of one.
    constexpr Duration upkeepStart = std::chrono::seconds(2);
    constexpr Duration upkeepDeadline = std::chrono::seconds(3);
    constexpr Duration probeTimeout = std::chrono::milliseconds(300);
    constexpr Duration peerTimeout = std::chrono::milliseconds(500);
    // The number of VMs that are asked whether they reach a silent primary.
    constexpr size_t evidencePeers = 3;

    ConfigurationServiceSettings configurationSettings(const ControlPlaneSettings& settings)
    {
        ConfigurationServiceSettings result;
        result.self = settings.self.id;
        result.ownEndpoint = settings.self.peerEndpoint;
        result.checkInterval = settings.vmSettings.configurationCheckInterval;
        result.freshness.freshnessLifetime = settings.vmSettings.freshnessLifetime;
        for (const PeerAddress& peer : settings.vmSettings.peers)
            result.bootstrapPeers.push_back({ peer.address, peer.port });
        return result;
    }

    MembershipServiceSettings membershipSettings(const ControlPlaneSettings& settings)
    {
        MembershipServiceSettings result;
        result.self = settings.self;
        result.incarnation = settings.incarnation;
        result.peerTable.pingInterval = settings.vmSettings.pingInterval;
        result.peerTable.peerSilenceTimeout = settings.vmSettings.peerHeartbeatTimeout;
        for (const PeerAddress& peer : settings.vmSettings.peers)
            result.bootstrapPeers.push_back({ peer.address, peer.port });
        return result;
    }

    TokenLenderSettings lenderSettings(const Settings& settings)
    {
        TokenLenderSettings result;
        result.loanLifetime = settings.loanLifetime;
        result.freshnessLifetime = settings.freshnessLifetime;
        return result;
    }

    GroupControllerSettings watchSettings(const ControlPlaneSettings& settings)
    {
        GroupControllerSettings result;
        result.self = settings.self.id;
        result.dataCentre = settings.self.dataCentre;
        result.processName = settings.processName;
        result.probeInterval = settings.vmSettings.probeInterval;
        result.monitor.unansweredProbeTimeout = settings.vmSettings.primaryUnansweredTimeout;
        result.monitor.replicaSilenceTimeout = settings.vmSettings.replicaSilenceTimeout;
        result.monitor.brokenLinkTimeout = settings.vmSettings.primaryUnansweredByPeersTimeout;
        result.promotion.backoffDelayPerRank = settings.vmSettings.promotionBackoffStep;
        return result;
    }

    std::vector<PlacementCandidate> candidatesOf(const std::vector<LiveVm>& vms)
    {
        std::vector<PlacementCandidate> candidates;
        candidates.reserve(vms.size());
        for (const LiveVm& vm : vms)
            candidates.push_back({ vm.id, vm.region, true, vm.isLeaving });
        return candidates;
    }

}

ControlPlane::ControlPlane(ControlPlaneSettings settings, SnapshotHolder& board, Metrics& metrics)
    : settings(std::move(settings))
    , snapshots(board)
    , metrics(metrics)
    , store({ this->settings.vmSettings.storeAddress, this->settings.vmSettings.storePort }, this->settings.vmSettings.storeTimeout)
    , configuration(configurationSettings(this->settings), this->store, this->peers, [this] { this->onConfigurationChange(); })
    , membership(membershipSettings(this->settings), this->store, this->peers,
          [this] { return this->configuration.document() ? this->configuration.document()->version : 0; })
    , lender(lenderSettings(this->settings.vmSettings), this->settings.incarnation)
    , placement(HomePlacementSettings {}, this->settings.self.id)
    , startedAt(now())
{
}

void ControlPlane::setPeerPort(uint16_t port)
{
    this->settings.self.peerEndpoint.port = port;
    this->configuration.setPeerPort(port);
    this->membership.setPeerPort(port);
}

void ControlPlane::start()
{
    this->startLoop(pingTick, [this] { this->membership.sendDuePings(); });
    this->startLoop(listTick, [this] { this->membership.refreshVmList(); });
    this->startLoop(this->settings.vmSettings.configurationCheckInterval, [this] { this->configuration.check(); });
    this->startLoop(placementTick, [this] { this->placeHomes(); });
    this->startLoop(upkeepTick, [this] { this->maintainConfiguration(); });
    this->startLoop(shardTick, [this] { this->activateAssignedShards(); });
}

void ControlPlane::startLoop(Duration interval, std::function<void()> work)
{
    ++this->runningLoopCount;
    startFiber([this, interval, work = std::move(work)] {
        // Short sleeps let a loop with a long interval end soon after stop().
        constexpr Duration longestSleep = std::chrono::milliseconds(100);
        while (!this->isStopping) {
            work();
            const TimePoint next = now() + interval;
            while (!this->isStopping && now() < next)
                sleepUntil(std::min(next, now() + longestSleep));
        }
        --this->runningLoopCount;
    });
}

void ControlPlane::onConfigurationChange()
{
    const ConfigurationDocument document = this->configuration.document();
    if (document && document->version != this->appliedVersion) {
        this->appliedVersion = document->version;
        this->keyTable = std::make_shared<const KeyTable>(*document);
        this->lender.setLimits(halveLimits(document->organisations), now());
        this->assignedShards.clear();
        std::set<VmId> required;
        for (const auto& [shard, owner] : document->limitShards) {
            required.insert(owner.vm);
            if (owner.vm == this->settings.self.id)
                this->assignedShards[shard] = owner.epoch;
        }
        for (const VmAddress& witness : document->witnesses)
            required.insert(witness.id);
        // Shards that were lost stop at once. New ones start in takeShards().
        std::erase_if(this->activeShards, [this](const auto& lent) {
            const auto own = this->assignedShards.find(lent.first);
            return own == this->assignedShards.end() || own->second != lent.second;
        });
        this->lender.setShards(this->activeShards, now(), now());
        this->membership.setRequiredPeers({ required.begin(), required.end() });
        this->metrics.setConfigurationVersion(document->version);
        this->placeHomes();
    }
    this->metrics.setServing(now() < this->configuration.servingDeadline());
    this->publish();
}

void ControlPlane::activateAssignedShards()
{
    const ConfigurationDocument document = this->configuration.document();
    if (!document || this->assignedShards == this->activeShards)
        return;
    // The former owner stops once its configuration is no longer confirmed. That is certain a freshness time after majorities
    // of the witnesses held the version, because no majority confirms an older one from then on.
    const std::map<uint32_t, uint64_t> taken = this->assignedShards;
    const auto& previous = document->previousWitnesses;
    if (!this->isAcknowledgedByMajority(document->witnesses, document->version)
        || (!previous.empty() && !this->isAcknowledgedByMajority(previous, document->version)) || taken != this->assignedShards)
        return;
    this->activeShards = taken;
    this->lender.setShards(this->activeShards, now(), now());
}

std::vector<HomeKey> ControlPlane::homeKeys(const Database& database) const
{
    std::set<HomeKey> keys;
    for (const BackendServer& server : database.servers)
        keys.insert({ database.id, server.region });
    return { keys.begin(), keys.end() };
}

void ControlPlane::placeHomes()
{
    const ConfigurationDocument document = this->configuration.document();
    if (!document || this->isStopping)
        return;
    this->placement.update(candidatesOf(this->membership.liveVms()), now());

    std::map<HomeKey, VmId> placed;
    std::set<DatabaseId> watched;
    for (const auto& [id, database] : document->databases) {
        // The homes of the database's regions, in the order in which they are to promote.
        std::vector<VmId> order;
        std::vector<BackendServerId> own;
        for (const HomeKey& key : this->homeKeys(database)) {
            const std::optional<VmId> home = this->placement.home(key.database, key.region);
            if (!home)
                continue;
            placed[key] = *home;
            if (std::find(order.begin(), order.end(), *home) == order.end())
                order.push_back(*home);
            for (const BackendServer& server : database.servers) {
                if (*home == this->settings.self.id && server.region == key.region)
                    own.push_back(server.id);
            }
        }
        const auto place = std::find(order.begin(), order.end(), this->settings.self.id);
        if (place == order.end())
            continue;
        const std::shared_ptr<GroupController> watch = this->findOrCreateGroupController(database);
        if (!watch)
            continue;
        watched.insert(id);
        watch->update(database, this->monitorPeers(), static_cast<unsigned>(place - order.begin()));
        watch->setAssignedHomes(own);
    }
    this->homes = std::move(placed);

    // Groups that are no longer watched from here end in the background, since a stop waits for calls on their way.
    for (auto watch = this->groupControllers.begin(); watch != this->groupControllers.end();) {
        if (watched.contains(watch->first)) {
            ++watch;
            continue;
        }
        startFiber([ended = watch->second] { ended->stop(); });
        watch = this->groupControllers.erase(watch);
    }
    this->publish();
}

std::shared_ptr<GroupController> ControlPlane::findOrCreateGroupController(const Database& database)
{
    std::shared_ptr<GroupController>& watch = this->groupControllers[database.id];
    if (watch)
        return watch;
    GroupControllerCallbacks callbacks;
    callbacks.onViewChange = [this] { this->publish(); };
    callbacks.queryPeersAboutServer
        = [this](const Database& asked, const BackendServer& server) { return this->queryPeersAboutServer(asked, server); };
    callbacks.recordPrimaryHint = [this](const DatabaseId& id, const RecordPrimaryHint& hint) { this->recordPrimaryHint(id, hint); };
    callbacks.onPromoted = [this](const DatabaseId& id, PromotionCause, Duration gap) { this->metrics.countPromotion(id, gap); };
    Result<std::shared_ptr<GroupController>> created
        = GroupController::create(watchSettings(this->settings), std::move(callbacks), database, this->monitorPeers());
    if (!created) {
        this->groupControllers.erase(database.id);
        return nullptr;
    }
    watch = created.value();
    watch->start();
    return watch;
}

std::vector<MonitorPeer> ControlPlane::monitorPeers() const
{
    std::vector<MonitorPeer> result;
    for (const LiveVm& vm : this->membership.liveVms()) {
        if (vm.id != this->settings.self.id)
            result.push_back({ vm.id, vm.dataCentre });
    }
    return result;
}

std::vector<PeerReachabilityReport> ControlPlane::queryPeersAboutServer(const Database&, const BackendServer& server)
{
    std::vector<PeerReachabilityReport> evidence;
    std::vector<boost::fibers::fiber> calls;
    const json::object parameters { { "address", server.address }, { "port", server.port } };
    for (const LiveVm& vm : this->membership.liveVms()) {
        if (vm.id == this->settings.self.id || vm.dataCentre == this->settings.self.dataCentre || calls.size() >= evidencePeers)
            continue;
        calls.emplace_back([this, vm, &server, &evidence, &parameters] {
            const TimePoint askedAt = now();
            const Result<json::object> answer
                = this->peers.call(vm.peerEndpoint, TrafficPurpose::Control, "probe", parameters, askedAt + peerTimeout);
            const Result<bool> reachable = answer ? booleanMember(answer.value(), "reachable") : fail(ErrorKind::PeerUnavailable);
            if (reachable)
                evidence.push_back({ vm.id, server.id, askedAt, reachable.value() });
        });
    }
    for (auto& call : calls)
        call.join();
    return evidence;
}

void ControlPlane::publish()
{
    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->configuration = this->configuration.document();
    snapshot->keyTable = this->keyTable;
    snapshot->servingDeadline = this->configuration.servingDeadline();
    snapshot->vms = this->membership.liveVms();
    snapshot->homes = this->homes;
    for (const auto& [id, watch] : this->groupControllers) {
        if (!watch)
            continue;
        snapshot->groups[id] = watch->view();
        for (const auto& [server, epoch] : watch->heldHomeEpochs())
            snapshot->homeEpochs[server] = epoch;
    }
    this->snapshots.publish(std::move(snapshot));
}

ConfigurationChange ControlPlane::makeConfigurationChange(ChangeAction action)
{
    return { this->settings.processName + "-" + std::to_string(++this->changeCount), "vm-" + this->settings.self.id.value, std::nullopt,
        std::move(action) };
}

void ControlPlane::maintainConfiguration()
{
    if (this->isLeaving || now() < this->startedAt + upkeepStart || !this->configuration.isStoreReachable())
        return;
    MaintenanceInput view;
    view.self = this->settings.self.id;
    view.configuration = this->configuration.document();
    view.isStoreEmpty = this->configuration.isStoreEmpty();
    for (const LiveVm& vm : this->membership.liveVms()) {
        if (!vm.isLeaving)
            view.liveVms.push_back(vm);
    }
    view.candidates = this->ownerCandidates();
    view.uptime = now() - this->startedAt;
    const std::optional<ChangeAction> due = dueConfigurationChange(view, {});
    if (due)
        (void)this->propose(this->makeConfigurationChange(*due), now() + upkeepDeadline);
    else
        this->completeWitnessReplacement();
}

std::vector<OwnerCandidate> ControlPlane::ownerCandidates() const
{
    std::vector<OwnerCandidate> candidates;
    std::set<VmId> named;
    for (const LiveVm& vm : this->membership.liveVms()) {
        candidates.push_back({ vm.id, true, vm.isLeaving, Duration(0) });
        named.insert(vm.id);
    }
    const auto addSilent = [&](const VmId& id) {
        if (named.insert(id).second)
            candidates.push_back({ id, false, false, this->membership.heartbeatAge(id) });
    };
    const ConfigurationDocument document = this->configuration.document();
    if (!document)
        return candidates;
    for (const auto& [shard, owner] : document->limitShards)
        addSilent(owner.vm);
    for (const VmAddress& witness : document->witnesses)
        addSilent(witness.id);
    return candidates;
}

void ControlPlane::completeWitnessReplacement()
{
    const ConfigurationDocument document = this->configuration.document();
    const std::vector<LiveVm> live = this->membership.liveVms();
    if (!document || document->previousWitnesses.empty() || live.front().id != this->settings.self.id)
        return;
    if (this->isAcknowledgedByMajority(document->witnesses, document->version)
        && this->isAcknowledgedByMajority(document->previousWitnesses, document->version))
        (void)this->propose(this->makeConfigurationChange(CompleteWitnessReplacement { document->version }), now() + upkeepDeadline);
}

bool ControlPlane::isAcknowledgedByMajority(const std::vector<VmAddress>& witnesses, uint64_t version)
{
    size_t acknowledged = 0;
    for (const VmAddress& witness : witnesses) {
        if (witness.id == this->settings.self.id) {
            ++acknowledged;
            continue;
        }
        const Result<json::object> answer = this->peers.call(
            { witness.address, witness.peerPort }, TrafficPurpose::Configuration, "configurationVersion", {}, now() + peerTimeout);
        const Result<uint64_t> held = answer ? unsignedMember(answer.value(), "version") : fail(ErrorKind::PeerUnavailable);
        if (held && held.value() >= version)
            ++acknowledged;
    }
    return acknowledged > witnesses.size() / 2;
}

void ControlPlane::recordPrimaryHint(const DatabaseId& database, const RecordPrimaryHint& hint)
{
    const std::string key = "primary-" + database.value;
    const Result<std::optional<StoredRow>> row = this->store.readRow(key);
    if (!row)
        return;
    const json::object value { { "term", hint.term.value }, { "primary", hint.primary.value } };
    (void)this->store.compareAndSet(key, row.value() ? row.value()->version : 0, value);
}

Result<json::object> ControlPlane::handlePing(const json::object& parameters) { return this->membership.handlePing(parameters); }

Result<json::object> ControlPlane::handleVersionRequest(const json::object& parameters)
{
    return this->configuration.handleVersionRequest(parameters);
}

Result<json::object> ControlPlane::handleDocumentRequest(const json::object&) { return this->configuration.handleDocumentRequest(); }

Result<json::object> ControlPlane::handleBorrowRequest(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(const BorrowRequest request, decodeBorrowRequest(parameters));
    return encodeBorrowReply(this->lend(request));
}

Result<json::object> ControlPlane::handleLoanReturn(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(const LoanReturn message, decodeLoanReturn(parameters));
    this->applyLoanReturn(message);
    return json::object {};
}

Result<json::object> ControlPlane::handleProbeRequest(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(const std::string address, stringMember(parameters, "address"));
    BOOST_OUTCOME_TRY(const uint64_t port, unsignedMember(parameters, "port"));
    ControlConnection connection({ address, static_cast<uint16_t>(port) }, "foxtail-control/" + this->settings.processName);
    return json::object { { "reachable", connection.status(now() + probeTimeout).report.has_value() } };
}

BorrowReply ControlPlane::lend(const BorrowRequest& request)
{
    return this->lender.lend(request, this->configuration.servingDeadline(), now());
}

void ControlPlane::applyLoanReturn(const LoanReturn& message) { this->lender.returnLoans(message, now()); }

Durability ControlPlane::awaitDurability(const DatabaseId& database, LogPoint commit, TimePoint deadline)
{
    const auto watch = this->groupControllers.find(database);
    if (watch == this->groupControllers.end())
        return Durability::Expired;
    const std::shared_ptr<GroupController> kept = watch->second;
    return kept->awaitDurability(commit, deadline);
}

ProposalOutcome ControlPlane::propose(ConfigurationChange change, TimePoint deadline)
{
    ProposalOutcome outcome = this->configuration.propose(std::move(change), deadline);
    logEvent(LogLevel::Info, "configuration change",
        { { "verdict", proposalDecisionName(outcome.decision) }, { "version", outcome.version }, { "detail", outcome.error.detail } });
    return outcome;
}

void ControlPlane::setLeaving()
{
    this->isLeaving = true;
    this->membership.setLeaving();
    this->publish();
}

void ControlPlane::stop(TimePoint deadline)
{
    // Limit shards are handed over in one change; when the store is down the others notice the silence instead.
    const ConfigurationDocument document = this->configuration.document();
    MoveLimitShards handover;
    if (document) {
        for (const OwnerProposal& proposal : proposeShardOwners(document->limitShards, this->ownerCandidates(), now() - this->startedAt)) {
            if (this->assignedShards.contains(proposal.shard))
                handover.moves.push_back({ proposal.shard, proposal.owner.vm, proposal.owner.epoch - 1 });
        }
    }
    if (!handover.moves.empty() && this->configuration.isStoreReachable())
        (void)this->propose(this->makeConfigurationChange(handover), std::min(deadline, now() + upkeepDeadline));
    this->isStopping = true;
    for (auto& [id, watch] : this->groupControllers)
        watch->stop();
    while (this->runningLoopCount > 0 && now() < deadline)
        sleepFor(std::chrono::milliseconds(5));
}

}
