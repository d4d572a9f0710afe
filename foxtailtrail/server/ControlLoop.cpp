#include "foxtailtrail/server/ControlLoop.h"

#include "foxtailtrail/limits/LimitHalves.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/Log.h"
#include "foxtailtrail/server/ShareCodec.h"

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

    ConfigurationServiceSettings configurationSettings(const ControlLoopSettings& settings)
    {
        ConfigurationServiceSettings result;
        result.self = settings.self.id;
        result.ownEndpoint = settings.self.peerEndpoint;
        result.checkInterval = settings.vm.configurationCheck;
        result.freshness.freshness = settings.vm.freshness;
        for (const PeerAddress& peer : settings.vm.peers)
            result.bootstrapPeers.push_back({ peer.address, peer.port });
        return result;
    }

    MembershipServiceSettings membershipSettings(const ControlLoopSettings& settings)
    {
        MembershipServiceSettings result;
        result.self = settings.self;
        result.incarnation = settings.incarnation;
        result.table.pingInterval = settings.vm.pingInterval;
        result.table.deadAfter = settings.vm.peerDead;
        for (const PeerAddress& peer : settings.vm.peers)
            result.bootstrapPeers.push_back({ peer.address, peer.port });
        return result;
    }

    ShareLenderSettings lenderSettings(const Settings& settings)
    {
        ShareLenderSettings result;
        result.loanLife = settings.loanLifetime;
        result.freshnessTime = settings.freshness;
        return result;
    }

    GroupWatchSettings watchSettings(const ControlLoopSettings& settings)
    {
        GroupWatchSettings result;
        result.self = settings.self.id;
        result.dataCentre = settings.self.dataCentre;
        result.processName = settings.processName;
        result.probeInterval = settings.vm.probeInterval;
        result.monitor.probeSilence = settings.vm.primaryUnanswered;
        result.monitor.replicaSilence = settings.vm.replicaSilence;
        result.monitor.brokenLinkSilence = settings.vm.primaryUnansweredByPeers;
        result.promotion.backoffStep = settings.vm.promotionBackoff;
        return result;
    }

    std::vector<PlacementCandidate> candidatesOf(const std::vector<LiveVm>& vms)
    {
        std::vector<PlacementCandidate> candidates;
        candidates.reserve(vms.size());
        for (const LiveVm& vm : vms)
            candidates.push_back({ vm.id, vm.region, true, vm.leaving });
        return candidates;
    }

}

ControlLoop::ControlLoop(ControlLoopSettings settings, SnapshotBoard& board, Metrics& metrics)
    : settings(std::move(settings))
    , board(board)
    , metrics(metrics)
    , store({ this->settings.vm.storeAddress, this->settings.vm.storePort }, this->settings.vm.storeTimeout)
    , configuration(configurationSettings(this->settings), this->store, this->peers, [this] { this->onConfigurationChange(); })
    , membership(membershipSettings(this->settings), this->store, this->peers,
          [this] { return this->configuration.document() ? this->configuration.document()->version : 0; })
    , lender(lenderSettings(this->settings.vm), this->settings.incarnation)
    , placement(HomePlacementSettings {}, this->settings.self.id)
    , startedAt(now())
{
}

void ControlLoop::setPeerPort(uint16_t port)
{
    this->settings.self.peerEndpoint.port = port;
    this->configuration.setPeerPort(port);
    this->membership.setPeerPort(port);
}

void ControlLoop::start()
{
    this->startLoop(pingTick, [this] { this->membership.sendDuePings(); });
    this->startLoop(listTick, [this] { this->membership.refreshList(); });
    this->startLoop(this->settings.vm.configurationCheck, [this] { this->configuration.check(); });
    this->startLoop(placementTick, [this] { this->placeHomes(); });
    this->startLoop(upkeepTick, [this] { this->keepUp(); });
    this->startLoop(shardTick, [this] { this->takeShards(); });
}

void ControlLoop::startLoop(Duration interval, std::function<void()> work)
{
    ++this->loops;
    startFiber([this, interval, work = std::move(work)] {
        // Short sleeps let a loop with a long interval end soon after stop().
        constexpr Duration longestSleep = std::chrono::milliseconds(100);
        while (!this->stopping) {
            work();
            const TimePoint next = now() + interval;
            while (!this->stopping && now() < next)
                sleepUntil(std::min(next, now() + longestSleep));
        }
        --this->loops;
    });
}

void ControlLoop::onConfigurationChange()
{
    const ConfigurationDocument document = this->configuration.document();
    if (document && document->version != this->appliedVersion) {
        this->appliedVersion = document->version;
        this->keys = std::make_shared<const KeyTable>(*document);
        this->lender.setLimits(limitsOfHalves(document->organisations), now());
        this->ownShards.clear();
        std::set<VmId> required;
        for (const auto& [shard, owner] : document->limitShards) {
            required.insert(owner.vm);
            if (owner.vm == this->settings.self.id)
                this->ownShards[shard] = owner.epoch;
        }
        for (const VmAddress& witness : document->witnesses)
            required.insert(witness.id);
        // Shards that were lost stop at once. New ones start in takeShards().
        std::erase_if(this->lentShards, [this](const auto& lent) {
            const auto own = this->ownShards.find(lent.first);
            return own == this->ownShards.end() || own->second != lent.second;
        });
        this->lender.setShards(this->lentShards, now(), now());
        this->membership.setRequired({ required.begin(), required.end() });
        this->metrics.setConfigurationVersion(document->version);
        this->placeHomes();
    }
    this->metrics.setServing(now() < this->configuration.servingDeadline());
    this->publish();
}

void ControlLoop::takeShards()
{
    const ConfigurationDocument document = this->configuration.document();
    if (!document || this->ownShards == this->lentShards)
        return;
    // The former owner stops once its configuration is no longer confirmed. That is certain a freshness time after majorities
    // of the witnesses held the version, because no majority confirms an older one from then on.
    const std::map<uint32_t, uint64_t> taken = this->ownShards;
    const auto& previous = document->previousWitnesses;
    if (!this->hasAcknowledged(document->witnesses, document->version)
        || (!previous.empty() && !this->hasAcknowledged(previous, document->version)) || taken != this->ownShards)
        return;
    this->lentShards = taken;
    this->lender.setShards(this->lentShards, now(), now());
}

std::vector<HomeKey> ControlLoop::homeKeys(const Database& database) const
{
    std::set<HomeKey> keys;
    for (const BackendServer& server : database.servers)
        keys.insert({ database.id, server.region });
    return { keys.begin(), keys.end() };
}

void ControlLoop::placeHomes()
{
    const ConfigurationDocument document = this->configuration.document();
    if (!document || this->stopping)
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
        const std::shared_ptr<GroupWatch> watch = this->watchFor(database);
        if (!watch)
            continue;
        watched.insert(id);
        watch->update(database, this->monitorPeers(), static_cast<unsigned>(place - order.begin()));
        watch->placeHomes(own);
    }
    this->homes = std::move(placed);

    // Groups that are no longer watched from here end in the background, since a stop waits for calls on their way.
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        if (watched.contains(watch->first)) {
            ++watch;
            continue;
        }
        startFiber([ended = watch->second] { ended->stop(); });
        watch = this->watches.erase(watch);
    }
    this->publish();
}

std::shared_ptr<GroupWatch> ControlLoop::watchFor(const Database& database)
{
    std::shared_ptr<GroupWatch>& watch = this->watches[database.id];
    if (watch)
        return watch;
    GroupWatchCallbacks callbacks;
    callbacks.onViewChange = [this] { this->publish(); };
    callbacks.askPeers = [this](const Database& asked, const BackendServer& server) { return this->askPeers(asked, server); };
    callbacks.recordHint = [this](const DatabaseId& id, const RecordHint& hint) { this->recordHint(id, hint); };
    callbacks.onPromoted = [this](const DatabaseId& id, PromotionCause, Duration gap) { this->metrics.countPromotion(id, gap); };
    Result<std::shared_ptr<GroupWatch>> created
        = GroupWatch::create(watchSettings(this->settings), std::move(callbacks), database, this->monitorPeers());
    if (!created) {
        this->watches.erase(database.id);
        return nullptr;
    }
    watch = created.value();
    watch->start();
    return watch;
}

std::vector<MonitorPeer> ControlLoop::monitorPeers() const
{
    std::vector<MonitorPeer> result;
    for (const LiveVm& vm : this->membership.liveVms()) {
        if (vm.id != this->settings.self.id)
            result.push_back({ vm.id, vm.dataCentre });
    }
    return result;
}

std::vector<PeerEvidence> ControlLoop::askPeers(const Database&, const BackendServer& server)
{
    std::vector<PeerEvidence> evidence;
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

void ControlLoop::publish()
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->configuration = this->configuration.document();
    snapshot->keys = this->keys;
    snapshot->servingDeadline = this->configuration.servingDeadline();
    snapshot->vms = this->membership.liveVms();
    snapshot->homes = this->homes;
    for (const auto& [id, watch] : this->watches) {
        if (!watch)
            continue;
        snapshot->groups[id] = watch->view();
        for (const auto& [server, epoch] : watch->heldHomes())
            snapshot->homeEpochs[server] = epoch;
    }
    this->board.publish(std::move(snapshot));
}

ConfigurationChange ControlLoop::changeBy(ChangeAction action)
{
    return { this->settings.processName + "-" + std::to_string(++this->changeCount), "vm-" + this->settings.self.id.value, std::nullopt,
        std::move(action) };
}

void ControlLoop::keepUp()
{
    if (this->leaving || now() < this->startedAt + upkeepStart || !this->configuration.isStoreReachable())
        return;
    UpkeepView view;
    view.self = this->settings.self.id;
    view.configuration = this->configuration.document();
    view.storeIsEmpty = this->configuration.isStoreEmpty();
    for (const LiveVm& vm : this->membership.liveVms()) {
        if (!vm.leaving)
            view.liveVms.push_back(vm);
    }
    view.candidates = this->ownerCandidates();
    view.runningSince = now() - this->startedAt;
    const std::optional<ChangeAction> due = dueUpkeep(view, {});
    if (due)
        (void)this->propose(this->changeBy(*due), now() + upkeepDeadline);
    else
        this->settleWitnesses();
}

std::vector<OwnerCandidate> ControlLoop::ownerCandidates() const
{
    std::vector<OwnerCandidate> candidates;
    std::set<VmId> named;
    for (const LiveVm& vm : this->membership.liveVms()) {
        candidates.push_back({ vm.id, true, vm.leaving, Duration(0) });
        named.insert(vm.id);
    }
    const auto addSilent = [&](const VmId& id) {
        if (named.insert(id).second)
            candidates.push_back({ id, false, false, this->membership.silence(id) });
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

void ControlLoop::settleWitnesses()
{
    const ConfigurationDocument document = this->configuration.document();
    const std::vector<LiveVm> live = this->membership.liveVms();
    if (!document || document->previousWitnesses.empty() || live.front().id != this->settings.self.id)
        return;
    if (this->hasAcknowledged(document->witnesses, document->version)
        && this->hasAcknowledged(document->previousWitnesses, document->version))
        (void)this->propose(this->changeBy(SettleWitnesses { document->version }), now() + upkeepDeadline);
}

bool ControlLoop::hasAcknowledged(const std::vector<VmAddress>& witnesses, uint64_t version)
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

void ControlLoop::recordHint(const DatabaseId& database, const RecordHint& hint)
{
    const std::string key = "primary-" + database.value;
    const Result<std::optional<StoredRow>> row = this->store.readRow(key);
    if (!row)
        return;
    const json::object value { { "term", hint.term.value }, { "primary", hint.primary.value } };
    (void)this->store.compareAndSet(key, row.value() ? row.value()->version : 0, value);
}

Result<json::object> ControlLoop::answerPing(const json::object& parameters) { return this->membership.answerPing(parameters); }

Result<json::object> ControlLoop::reportVersion(const json::object& parameters) { return this->configuration.reportVersion(parameters); }

Result<json::object> ControlLoop::reportDocument(const json::object&) { return this->configuration.reportDocument(); }

Result<json::object> ControlLoop::borrow(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(const BorrowRequest request, decodeBorrowRequest(parameters));
    return encodeBorrowReply(this->lend(request));
}

Result<json::object> ControlLoop::takeBack(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(const GiveBack message, decodeGiveBack(parameters));
    this->takeBack(message);
    return json::object {};
}

Result<json::object> ControlLoop::probe(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(const std::string address, stringMember(parameters, "address"));
    BOOST_OUTCOME_TRY(const uint64_t port, unsignedMember(parameters, "port"));
    ControlConnection connection({ address, static_cast<uint16_t>(port) }, "foxtail-control/" + this->settings.processName);
    return json::object { { "reachable", connection.status(now() + probeTimeout).report.has_value() } };
}

BorrowReply ControlLoop::lend(const BorrowRequest& request)
{
    return this->lender.lend(request, this->configuration.servingDeadline(), now());
}

void ControlLoop::takeBack(const GiveBack& message) { this->lender.giveBack(message, now()); }

Durability ControlLoop::awaitDurability(const DatabaseId& database, LogPoint commit, TimePoint deadline)
{
    const auto watch = this->watches.find(database);
    if (watch == this->watches.end())
        return Durability::Expired;
    const std::shared_ptr<GroupWatch> kept = watch->second;
    return kept->awaitDurability(commit, deadline);
}

ProposalOutcome ControlLoop::propose(ConfigurationChange change, TimePoint deadline)
{
    ProposalOutcome outcome = this->configuration.propose(std::move(change), deadline);
    logEvent(LogLevel::Info, "configuration change",
        { { "verdict", proposalVerdictName(outcome.verdict) }, { "version", outcome.version }, { "detail", outcome.error.detail } });
    return outcome;
}

void ControlLoop::announceLeaving()
{
    this->leaving = true;
    this->membership.setLeaving();
    this->publish();
}

void ControlLoop::stop(TimePoint deadline)
{
    // Limit shards are handed over in one change; when the store is down the others notice the silence instead.
    const ConfigurationDocument document = this->configuration.document();
    MoveLimitShards handover;
    if (document) {
        for (const OwnerProposal& proposal : proposeShardOwners(document->limitShards, this->ownerCandidates(), now() - this->startedAt)) {
            if (this->ownShards.contains(proposal.shard))
                handover.moves.push_back({ proposal.shard, proposal.owner.vm, proposal.owner.epoch - 1 });
        }
    }
    if (!handover.moves.empty() && this->configuration.isStoreReachable())
        (void)this->propose(this->changeBy(handover), std::min(deadline, now() + upkeepDeadline));
    this->stopping = true;
    for (auto& [id, watch] : this->watches)
        watch->stop();
    while (this->loops > 0 && now() < deadline)
        sleepFor(std::chrono::milliseconds(5));
}

}
