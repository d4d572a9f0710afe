#include "foxtailtrail/server/GroupController.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

namespace {

    // A probe without a reply after this time counts as failed. Failure detection needs 600 ms of failed probes.
    constexpr Duration probeTimeout = std::chrono::milliseconds(250);
    constexpr Duration commandTimeout = std::chrono::milliseconds(200);
    // Probe interval while a commit waits; short, because the commit completes with the next status.
    constexpr Duration durabilityProbeInterval = std::chrono::microseconds(500);
    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    // Positions change with every write; views that differ only in positions or ages are published at most this often.
    constexpr Duration publishInterval = std::chrono::milliseconds(20);

    std::vector<BackendServerId> serverIds(const Database& database)
    {
        std::vector<BackendServerId> ids;
        for (const BackendServer& server : database.servers)
            ids.push_back(server.id);
        return ids;
    }

    GroupScope scopeOf(const Database& database, const DataCentre& dataCentre, std::vector<MonitorPeer> peers)
    {
        GroupScope scope { database.id, dataCentre, {}, std::move(peers) };
        for (const BackendServer& server : database.servers)
            scope.members.push_back({ server.id, server.region, server.draining });
        return scope;
    }

    // Returns whether two views differ in more than positions and ages.
    bool differsInState(const GroupView& left, const GroupView& right)
    {
        if (left.term != right.term || left.primary != right.primary || left.servers.size() != right.servers.size())
            return true;
        for (size_t index = 0; index < left.servers.size(); ++index) {
            if (left.servers[index].isReachable != right.servers[index].isReachable
                || left.servers[index].isDraining != right.servers[index].isDraining)
                return true;
        }
        return false;
    }

}

GroupController::WatchedServer::WatchedServer(const BackendServer& server, const std::string& processName)
    : server(server)
    , controlConnection({ server.address, server.port }, "foxtail-control/" + processName)
    , claim(HomeClaimSettings {}, VmId(processName))
{
}

GroupController::GroupController(
    GroupControllerSettings settings, GroupControllerCallbacks callbacks, const Database& database, GroupMonitor monitor)
    : settings(std::move(settings))
    , callbacks(std::move(callbacks))
    , monitor(std::move(monitor))
    , durability(serverIds(database), std::make_shared<MajorityAcknowledgement>())
    , promotion(this->settings.processName, this->settings.promotion)
{
    this->setServers(database);
    this->currentView = std::make_shared<const GroupView>(this->monitor.view(now()));
}

Result<std::shared_ptr<GroupController>> GroupController::create(
    GroupControllerSettings settings, GroupControllerCallbacks callbacks, const Database& database, std::vector<MonitorPeer> peers)
{
    BOOST_OUTCOME_TRY(
        GroupMonitor monitor, GroupMonitor::create(scopeOf(database, settings.dataCentre, std::move(peers)), settings.monitor));
    return std::shared_ptr<GroupController>(new GroupController(std::move(settings), std::move(callbacks), database, std::move(monitor)));
}

void GroupController::setServers(const Database& changed)
{
    std::vector<ServerPointer> kept;
    for (const BackendServer& server : changed.servers) {
        const auto found = std::find_if(this->servers.begin(), this->servers.end(), [&](const auto& watched) {
            return watched->server.id == server.id && watched->server.address == server.address && watched->server.port == server.port;
        });
        if (found == this->servers.end()) {
            kept.push_back(std::make_shared<WatchedServer>(server, this->settings.processName));
            continue;
        }
        (*found)->server = server;
        kept.push_back(*found);
    }
    this->servers = std::move(kept);
    this->database = changed;
}

void GroupController::start()
{
    for (const auto& server : this->servers)
        this->startProbing(server);
    this->startTask([this] {
        while (!this->isStopping) {
            this->tick();
            sleepFor(tickInterval);
        }
    });
}

void GroupController::startTask(std::function<void()> work)
{
    ++this->runningTaskCount;
    startFiber([self = this->shared_from_this(), work = std::move(work)] {
        work();
        --self->runningTaskCount;
    });
}

void GroupController::stop()
{
    this->isStopping = true;
    this->wakeCondition.notify_all();
    for (auto& [ticket, waiter] : this->durabilityWaiters)
        waiter.promise.set_value(Durability::Expired);
    this->durabilityWaiters.clear();
    for (DurabilityWaiter& waiter : this->termConfirmationWaiters)
        waiter.promise.set_value(Durability::Expired);
    this->termConfirmationWaiters.clear();
    constexpr Duration checkInterval = std::chrono::milliseconds(2);
    while (this->runningTaskCount > 0)
        sleepFor(checkInterval);
    for (const auto& server : this->servers)
        server->controlConnection.close();
}

void GroupController::update(const Database& changed, std::vector<MonitorPeer> livePeers, unsigned newRank)
{
    this->rendezvousRank = newRank;
    this->peers = std::move(livePeers);
    (void)this->monitor.changeScope(scopeOf(changed, this->settings.dataCentre, this->peers));
    if (serverIds(changed) != serverIds(this->database))
        this->durability.changeGroup(serverIds(changed));
    const std::vector<ServerPointer> previousServers = this->servers;
    this->setServers(changed);
    for (const auto& server : this->servers) {
        if (std::find(previousServers.begin(), previousServers.end(), server) == previousServers.end())
            this->startProbing(server);
    }
}

void GroupController::setAssignedHomes(const std::vector<BackendServerId>& assigned)
{
    for (const auto& server : this->servers)
        server->isHomeAssigned = std::find(assigned.begin(), assigned.end(), server->server.id) != assigned.end();
    this->advanceClaims();
}

std::map<BackendServerId, uint64_t> GroupController::heldHomeEpochs() const
{
    std::map<BackendServerId, uint64_t> epochs;
    for (const auto& server : this->servers) {
        if (server->claim.isHeld())
            epochs[server->server.id] = server->claim.epoch();
    }
    return epochs;
}

GroupController::ServerPointer GroupController::find(const BackendServerId& id) const
{
    for (const auto& server : this->servers) {
        if (server->server.id == id)
            return server;
    }
    return nullptr;
}

void GroupController::startProbing(const ServerPointer& server)
{
    this->startTask([this, server] {
        while (!this->isStopping && std::find(this->servers.begin(), this->servers.end(), server) != this->servers.end()) {
            const TimePoint sentAt = now();
            this->handleStatusReport(*server, sentAt, server->controlConnection.status(sentAt + probeTimeout));
            if (this->hasWaiters()) {
                sleepFor(durabilityProbeInterval);
                continue;
            }
            std::unique_lock<boost::fibers::mutex> lock(this->mutex);
            this->wakeCondition.wait_for(lock, this->settings.probeInterval);
        }
    });
}

void GroupController::handleStatusReport(WatchedServer& server, TimePoint sentAt, const ControlReply& reply)
{
    ProbeResult result { server.server.id, sentAt, now(), std::nullopt };
    if (reply.report) {
        result.status = reply.report->status;
        this->durability.observe(server.server.id, sentAt, reply.report->status);
        if (server.claim.isHeld() && reply.report->homeEpoch > server.claim.epoch())
            this->performClaimAction(this->find(server.server.id), server.claim.onEpochSuperseded(server.claim.epoch(), now()));
    }
    this->monitor.onProbe(result);
    this->completeDurabilityWaiters();
    this->publish(false);
}

void GroupController::advanceClaims()
{
    for (const ServerPointer& server : this->servers) {
        this->performClaimAction(server, server->isHomeAssigned ? server->claim.acquire(now()) : server->claim.release());
        this->performClaimAction(server, server->claim.tick(now()));
    }
}

void GroupController::performClaimAction(const ServerPointer& server, HomeClaimAction action)
{
    if (!server || action == HomeClaimAction::None)
        return;
    if (action == HomeClaimAction::OpenPool || action == HomeClaimAction::ClosePool) {
        logEvent(LogLevel::Info, action == HomeClaimAction::OpenPool ? "home claimed" : "home released",
            { { "server", server->server.id.value }, { "epoch", server->claim.epoch() } });
        this->publish(true);
        return;
    }
    this->startTask([this, server, action] {
        const TimePoint deadline = now() + commandTimeout;
        if (action == HomeClaimAction::Read) {
            const ControlReply reply = server->controlConnection.status(deadline);
            this->performClaimAction(server,
                reply.report ? server->claim.onClaimRead({ reply.report->homeEpoch, VmId(reply.report->homeHolder) }, now())
                             : server->claim.onReadFailed(now()));
            return;
        }
        const uint64_t epoch = server->claim.epoch();
        const ControlReply reply = server->controlConnection.claim(this->settings.processName, epoch, deadline);
        const ClaimAnswer answer = reply.outcome == CommandOutcome::Done ? ClaimAnswer::Accepted
            : reply.outcome == CommandOutcome::Refused                   ? ClaimAnswer::Refused
                                                                         : ClaimAnswer::NoReply;
        this->performClaimAction(server, server->claim.onClaimAnswered(epoch, answer, now()));
    });
}

Durability GroupController::awaitDurability(LogPoint commit, TimePoint deadline)
{
    const DurabilityTicket ticket = this->durability.track(commit, deadline);
    DurabilityWaiter& waiter = this->durabilityWaiters[ticket];
    waiter.commit = commit;
    waiter.startedAt = now();
    waiter.deadline = deadline;
    auto future = waiter.promise.get_future();
    this->wakeCondition.notify_all();
    return future.get();
}

void GroupController::completeDurabilityWaiters()
{
    for (const DurabilityOutcome& outcome : this->durability.collectOutcomes(now())) {
        const auto waiter = this->durabilityWaiters.find(outcome.ticket);
        if (waiter == this->durabilityWaiters.end())
            continue;
        // The log point of a read is often durable already. Reports from before the read arrived must not complete its wait, so the waiter
        // also needs a confirmation of the term by probes that were sent after its start.
        if (outcome.durability == Durability::Durable)
            this->termConfirmationWaiters.push_back(std::move(waiter->second));
        else
            waiter->second.promise.set_value(outcome.durability);
        this->durabilityWaiters.erase(waiter);
    }
    this->completeTermConfirmations();
}

void GroupController::completeTermConfirmations()
{
    const TimePoint time = now();
    std::erase_if(this->termConfirmationWaiters, [&](DurabilityWaiter& waiter) {
        Durability outcome = Durability::Pending;
        if (this->durability.isTermConfirmed(waiter.commit.term, waiter.startedAt))
            outcome = Durability::Durable;
        else if (this->currentView->term > waiter.commit.term)
            outcome = Durability::Superseded;
        else if (time >= waiter.deadline)
            outcome = Durability::Expired;
        if (outcome != Durability::Pending)
            waiter.promise.set_value(outcome);
        return outcome != Durability::Pending;
    });
}

void GroupController::publish(bool force)
{
    auto changed = std::make_shared<const GroupView>(this->monitor.view(now()));
    force = force || differsInState(*changed, *this->currentView);
    if (!force && now() < this->publishedAt + publishInterval)
        return;
    this->publishedAt = now();
    this->currentView = std::move(changed);
    this->callbacks.onViewChange();
}

void GroupController::tick()
{
    this->completeDurabilityWaiters();
    this->advanceClaims();
    // The passing of time alone can make a server unreachable or a promotion due.
    this->publish(false);
    if (this->promotion.isRunning()) {
        if (this->promotionWakeAt && now() >= *this->promotionWakeAt) {
            this->promotionWakeAt.reset();
            this->perform(this->promotion.handle(TimeReached {}, now()));
        }
        this->finishPromotionIfEnded();
        return;
    }
    this->queryPeersIfDue();
    const std::optional<DuePromotion> due = this->monitor.duePromotion(now());
    if (!due) {
        this->sendFollowCommandsIfDue();
        return;
    }
    PromotionRequest request { {}, due->highestTerm, due->leavingPrimary, due->successor, this->rendezvousRank };
    for (const auto& server : this->servers)
        request.members.push_back({ server->server.id, server->server.draining });
    this->perform(this->promotion.start(request, now()));
    if (this->promotion.isRunning()) {
        this->runningPromotion = due;
        this->promotionStartedAt = now();
        logEvent(LogLevel::Warning, "promotion started",
            { { "database", this->database.id.value }, { "cause", promotionCauseName(due->cause) },
                { "term", this->promotion.term().value } });
    }
}

void GroupController::finishPromotionIfEnded()
{
    if (this->promotion.isRunning() || !this->runningPromotion)
        return;
    const Duration duration = now() - this->promotionStartedAt;
    const bool isPromoted = this->promotion.phase() == PromotionPhase::Done;
    logEvent(LogLevel::Warning, isPromoted ? "promotion completed" : "promotion failed",
        { { "database", this->database.id.value }, { "term", this->promotion.term().value }, { "milliseconds", toMilliseconds(duration) },
            { "primary", this->promotion.primary() ? this->promotion.primary()->value : "" } });
    if (isPromoted)
        this->callbacks.onPromoted(this->database.id, this->runningPromotion->cause, duration);
    this->runningPromotion.reset();
    this->promotionWakeAt.reset();
}

void GroupController::queryPeersIfDue()
{
    const std::optional<BackendServerId> suspectedServer = this->monitor.serverToCheckWithPeers(now());
    const ServerPointer server = suspectedServer ? this->find(*suspectedServer) : nullptr;
    if (!server || this->isQueryingPeers)
        return;
    this->isQueryingPeers = true;
    this->startTask([this, target = server->server] {
        for (const PeerReachabilityReport& peerReport : this->callbacks.queryPeersAboutServer(this->database, target))
            this->monitor.onPeerReachabilityReport(peerReport);
        this->isQueryingPeers = false;
    });
}

void GroupController::sendFollowCommandsIfDue()
{
    if (this->rendezvousRank != 0)
        return;
    for (const DueFollowCommand& due : this->monitor.dueFollowCommands(now()))
        this->performCommand(PromotionCommand::Follow, due.server, due.term, due.primary);
}

void GroupController::perform(const std::vector<PromotionEffect>& effects)
{
    for (const PromotionEffect& effect : effects) {
        if (const auto* fence = std::get_if<FenceServer>(&effect))
            this->performCommand(PromotionCommand::Fence, fence->server, fence->term, {});
        else if (const auto* promote = std::get_if<PromoteServer>(&effect))
            this->performCommand(PromotionCommand::Promote, promote->server, promote->term, {});
        else if (const auto* follow = std::get_if<FollowPrimary>(&effect))
            this->performCommand(PromotionCommand::Follow, follow->server, follow->term, follow->primary);
        else if (const auto* read = std::get_if<ReadStatus>(&effect))
            this->readStatus(read->server);
        else if (const auto* hint = std::get_if<RecordPrimaryHint>(&effect))
            this->startTask([this, hint = *hint] { this->callbacks.recordPrimaryHint(this->database.id, hint); });
        else
            this->promotionWakeAt = std::get<WaitUntil>(effect).time;
    }
}

void GroupController::performCommand(PromotionCommand command, const BackendServerId& id, Term term, const BackendServerId& primary)
{
    this->startTask([this, command, id, term, primary] {
        const ServerPointer server = this->find(id);
        const ServerPointer target = this->find(primary);
        if (!server || (command == PromotionCommand::Follow && !target))
            return;
        const TimePoint sentAt = now();
        const TimePoint deadline = sentAt + commandTimeout;
        ControlReply reply;
        if (command == PromotionCommand::Fence)
            reply = server->controlConnection.fence(term, this->settings.processName, deadline);
        else if (command == PromotionCommand::Promote)
            reply = server->controlConnection.promote(term, this->settings.processName, deadline);
        else
            reply = server->controlConnection.follow(term, { target->server.address, target->server.port }, deadline);
        std::optional<ServerStatus> status;
        if (reply.report)
            status = reply.report->status;
        this->perform(this->promotion.handle(CommandReply { command, id, term, reply.outcome, status }, now()));
        if (reply.report)
            this->handleStatusReport(*server, sentAt, reply);
        this->finishPromotionIfEnded();
    });
}

void GroupController::readStatus(const BackendServerId& id)
{
    this->startTask([this, id] {
        const ServerPointer server = this->find(id);
        if (!server)
            return;
        const ControlReply reply = server->controlConnection.status(now() + commandTimeout);
        std::optional<ServerStatus> status;
        if (reply.report)
            status = reply.report->status;
        this->perform(this->promotion.handle(StatusReply { id, status }, now()));
        this->finishPromotionIfEnded();
    });
}

}
