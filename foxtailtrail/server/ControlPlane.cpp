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

    constexpr Duration pingCheckInterval = std::chrono::milliseconds(50);
    constexpr Duration placementInterval = std::chrono::milliseconds(100);
    constexpr Duration vmListCheckInterval = std::chrono::milliseconds(500);
    constexpr Duration shardCheckInterval = std::chrono::milliseconds(200);
    constexpr Duration maintenanceInterval = std::chrono::seconds(1);
    // A starting VM first waits for replies from its peers, so that it does not initialize a new fleet of one VM.
    constexpr Duration maintenanceStartDelay = std::chrono::seconds(2);
    constexpr Duration maintenanceTimeout = std::chrono::seconds(3);
    constexpr Duration probeTimeout = std::chrono::milliseconds(300);
    constexpr Duration peerTimeout = std::chrono::milliseconds(500);
    // The number of VMs that are queried whether they reach an unresponsive primary.
    constexpr size_t maxQueriedPeers = 3;

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

    GroupControllerSettings groupControllerSettings(const ControlPlaneSettings& settings)
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

ControlPlane::ControlPlane(ControlPlaneSettings settings, SnapshotHolder& snapshotHolder, Metrics& metrics)
    : settings(std::move(settings))
    , snapshots(snapshotHolder)
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
    this->startLoop(pingCheckInterval, [this] { this->membership.sendDuePings(); });
    this->startLoop(vmListCheckInterval, [this] { this->membership.refreshVmList(); });
    this->startLoop(this->settings.vmSettings.configurationCheckInterval, [this] { this->configuration.check(); });
    this->startLoop(placementInterval, [this] { this->placeHomes(); });
    this->startLoop(maintenanceInterval, [this] { this->maintainConfiguration(); });
    this->startLoop(shardCheckInterval, [this] { this->activateAssignedShards(); });
}

void ControlPlane::startLoop(Duration interval, std::function<void()> work)
{
    ++this->runningLoopCount;
    startFiber([this, interval, work = std::move(work)] {
        // Short sleeps let a loop with a long interval end soon after stop().
        constexpr Duration maxSleep = std::chrono::milliseconds(100);
        while (!this->isStopping) {
            work();
            const TimePoint next = now() + interval;
            while (!this->isStopping && now() < next)
                sleepUntil(std::min(next, now() + maxSleep));
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
        std::set<VmId> requiredPeers;
        for (const auto& [shard, owner] : document->limitShards) {
            requiredPeers.insert(owner.vm);
            if (owner.vm == this->settings.self.id)
                this->assignedShards[shard] = owner.epoch;
        }
        for (const VmAddress& witness : document->witnesses)
            requiredPeers.insert(witness.id);
        // Deactivates lost shards immediately. New shards become active in activateAssignedShards().
        std::erase_if(this->activeShards, [this](const auto& active) {
            const auto assigned = this->assignedShards.find(active.first);
            return assigned == this->assignedShards.end() || assigned->second != active.second;
        });
        this->lender.setShards(this->activeShards, now(), now());
        this->membership.setRequiredPeers({ requiredPeers.begin(), requiredPeers.end() });
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
    // The former owner stops lending once its configuration is no longer confirmed. This is certain one freshness lifetime after majorities
    // of the witnesses have the version, because from then on no majority confirms an older one. The lender waits for at least that time,
    // counted from setShards(), before it lends from a new shard.
    const std::map<uint32_t, uint64_t> newShards = this->assignedShards;
    const auto& previous = document->previousWitnesses;
    if (!this->isAcknowledgedByMajority(document->witnesses, document->version)
        || (!previous.empty() && !this->isAcknowledgedByMajority(previous, document->version)) || newShards != this->assignedShards)
        return;
    this->activeShards = newShards;
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

    std::map<HomeKey, VmId> newHomes;
    std::set<DatabaseId> controlledDatabases;
    for (const auto& [id, database] : document->databases) {
        // The homes of the database's regions, in the order in which they promote.
        std::vector<VmId> promotionOrder;
        std::vector<BackendServerId> ownServers;
        for (const HomeKey& key : this->homeKeys(database)) {
            const std::optional<VmId> home = this->placement.home(key.database, key.region);
            if (!home)
                continue;
            newHomes[key] = *home;
            if (std::find(promotionOrder.begin(), promotionOrder.end(), *home) == promotionOrder.end())
                promotionOrder.push_back(*home);
            for (const BackendServer& server : database.servers) {
                if (*home == this->settings.self.id && server.region == key.region)
                    ownServers.push_back(server.id);
            }
        }
        const auto ownPosition = std::find(promotionOrder.begin(), promotionOrder.end(), this->settings.self.id);
        if (ownPosition == promotionOrder.end())
            continue;
        const std::shared_ptr<GroupController> controller = this->findOrCreateGroupController(database);
        if (!controller)
            continue;
        controlledDatabases.insert(id);
        controller->update(database, this->monitorPeers(), static_cast<unsigned>(ownPosition - promotionOrder.begin()));
        controller->setAssignedHomes(ownServers);
    }
    this->homes = std::move(newHomes);

    // Controllers that this VM no longer needs are stopped in the background, because stop() waits for calls in progress.
    for (auto controller = this->groupControllers.begin(); controller != this->groupControllers.end();) {
        if (controlledDatabases.contains(controller->first)) {
            ++controller;
            continue;
        }
        startFiber([removedController = controller->second] { removedController->stop(); });
        controller = this->groupControllers.erase(controller);
    }
    this->publish();
}

std::shared_ptr<GroupController> ControlPlane::findOrCreateGroupController(const Database& database)
{
    std::shared_ptr<GroupController>& controller = this->groupControllers[database.id];
    if (controller)
        return controller;
    GroupControllerCallbacks callbacks;
    callbacks.onViewChange = [this] { this->publish(); };
    callbacks.queryPeersAboutServer
        = [this](const Database& group, const BackendServer& server) { return this->queryPeersAboutServer(group, server); };
    callbacks.recordPrimaryHint = [this](const DatabaseId& id, const RecordPrimaryHint& hint) { this->recordPrimaryHint(id, hint); };
    callbacks.onPromoted
        = [this](const DatabaseId& id, PromotionCause, Duration promotionDuration) { this->metrics.countPromotion(id, promotionDuration); };
    Result<std::shared_ptr<GroupController>> created
        = GroupController::create(groupControllerSettings(this->settings), std::move(callbacks), database, this->monitorPeers());
    if (!created) {
        this->groupControllers.erase(database.id);
        return nullptr;
    }
    controller = created.value();
    controller->start();
    return controller;
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
    std::vector<PeerReachabilityReport> reports;
    std::vector<boost::fibers::fiber> calls;
    const json::object parameters { { "address", server.address }, { "port", server.port } };
    for (const LiveVm& vm : this->membership.liveVms()) {
        if (vm.id == this->settings.self.id || vm.dataCentre == this->settings.self.dataCentre || calls.size() >= maxQueriedPeers)
            continue;
        calls.emplace_back([this, vm, &server, &reports, &parameters] {
            const TimePoint requestedAt = now();
            const Result<json::object> reply
                = this->peers.call(vm.peerEndpoint, TrafficPurpose::Control, "probe", parameters, requestedAt + peerTimeout);
            const Result<bool> isReachable = reply ? booleanMember(reply.value(), "reachable") : fail(ErrorKind::PeerUnavailable);
            if (isReachable)
                reports.push_back({ vm.id, server.id, requestedAt, isReachable.value() });
        });
    }
    for (auto& call : calls)
        call.join();
    return reports;
}

void ControlPlane::publish()
{
    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->configuration = this->configuration.document();
    snapshot->keyTable = this->keyTable;
    snapshot->servingDeadline = this->configuration.servingDeadline();
    snapshot->vms = this->membership.liveVms();
    snapshot->homes = this->homes;
    for (const auto& [id, controller] : this->groupControllers) {
        if (!controller)
            continue;
        snapshot->groups[id] = controller->view();
        for (const auto& [server, epoch] : controller->heldHomeEpochs())
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
    if (this->isLeaving || now() < this->startedAt + maintenanceStartDelay || !this->configuration.isStoreReachable())
        return;
    MaintenanceInput input;
    input.self = this->settings.self.id;
    input.configuration = this->configuration.document();
    input.isStoreEmpty = this->configuration.isStoreEmpty();
    for (const LiveVm& vm : this->membership.liveVms()) {
        if (!vm.isLeaving)
            input.liveVms.push_back(vm);
    }
    input.candidates = this->ownerCandidates();
    input.uptime = now() - this->startedAt;
    const std::optional<ChangeAction> due = dueConfigurationChange(input, {});
    if (due)
        (void)this->propose(this->makeConfigurationChange(*due), now() + maintenanceTimeout);
    else
        this->completeWitnessReplacement();
}

std::vector<OwnerCandidate> ControlPlane::ownerCandidates() const
{
    std::vector<OwnerCandidate> candidates;
    std::set<VmId> listed;
    for (const LiveVm& vm : this->membership.liveVms()) {
        candidates.push_back({ vm.id, true, vm.isLeaving, Duration(0) });
        listed.insert(vm.id);
    }
    const auto addSilentVm = [&](const VmId& id) {
        if (listed.insert(id).second)
            candidates.push_back({ id, false, false, this->membership.heartbeatAge(id) });
    };
    const ConfigurationDocument document = this->configuration.document();
    if (!document)
        return candidates;
    for (const auto& [shard, owner] : document->limitShards)
        addSilentVm(owner.vm);
    for (const VmAddress& witness : document->witnesses)
        addSilentVm(witness.id);
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
        (void)this->propose(this->makeConfigurationChange(CompleteWitnessReplacement { document->version }), now() + maintenanceTimeout);
}

bool ControlPlane::isAcknowledgedByMajority(const std::vector<VmAddress>& witnesses, uint64_t version)
{
    size_t acknowledgementCount = 0;
    for (const VmAddress& witness : witnesses) {
        if (witness.id == this->settings.self.id) {
            ++acknowledgementCount;
            continue;
        }
        const Result<json::object> reply = this->peers.call(
            { witness.address, witness.peerPort }, TrafficPurpose::Configuration, "configurationVersion", {}, now() + peerTimeout);
        const Result<uint64_t> reportedVersion = reply ? unsignedMember(reply.value(), "version") : fail(ErrorKind::PeerUnavailable);
        if (reportedVersion && reportedVersion.value() >= version)
            ++acknowledgementCount;
    }
    return acknowledgementCount > witnesses.size() / 2;
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
    const auto controller = this->groupControllers.find(database);
    if (controller == this->groupControllers.end())
        return Durability::Expired;
    const std::shared_ptr<GroupController> keptController = controller->second;
    return keptController->awaitDurability(commit, deadline);
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
    // Hands over all limit shards in one change. If the store is unreachable, the other VMs take the shards over after the heartbeat
    // timeout.
    const ConfigurationDocument document = this->configuration.document();
    MoveLimitShards handover;
    if (document) {
        for (const OwnerProposal& proposal : proposeShardOwners(document->limitShards, this->ownerCandidates(), now() - this->startedAt)) {
            if (this->assignedShards.contains(proposal.shard))
                handover.moves.push_back({ proposal.shard, proposal.owner.vm, proposal.owner.epoch - 1 });
        }
    }
    if (!handover.moves.empty() && this->configuration.isStoreReachable())
        (void)this->propose(this->makeConfigurationChange(handover), std::min(deadline, now() + maintenanceTimeout));
    this->isStopping = true;
    for (auto& [id, controller] : this->groupControllers)
        controller->stop();
    while (this->runningLoopCount > 0 && now() < deadline)
        sleepFor(std::chrono::milliseconds(5));
}

}
