#include "foxtailtrail/server/GroupWatch.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

namespace {

    // A probe without an answer after this counts as failed. Detection needs 600 ms of failed probes.
    constexpr Duration probeTimeout = std::chrono::milliseconds(250);
    constexpr Duration commandTimeout = std::chrono::milliseconds(200);
    // Commits wait for the next status, so statuses are read this often while one waits.
    constexpr Duration durabilityProbeInterval = std::chrono::microseconds(500);
    constexpr Duration decisionInterval = std::chrono::milliseconds(20);
    // Positions change with every write; views that differ only in them are published at most this often.
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

    // Whether two views differ in more than positions and ages.
    bool differInState(const GroupView& left, const GroupView& right)
    {
        if (left.term != right.term || left.primary != right.primary || left.servers.size() != right.servers.size())
            return true;
        for (size_t index = 0; index < left.servers.size(); ++index) {
            if (left.servers[index].reachable != right.servers[index].reachable
                || left.servers[index].draining != right.servers[index].draining)
                return true;
        }
        return false;
    }

}

GroupWatch::WatchedServer::WatchedServer(const BackendServer& server, const std::string& processName)
    : server(server)
    , control({ server.address, server.port }, "foxtail-control/" + processName)
    , claim(HomeClaimSettings {}, VmId(processName))
{
}

GroupWatch::GroupWatch(GroupWatchSettings settings, GroupWatchCallbacks callbacks, const Database& database, GroupMonitor monitor)
    : settings(std::move(settings))
    , callbacks(std::move(callbacks))
    , monitor(std::move(monitor))
    , durability(serverIds(database), std::make_shared<MajorityAcknowledgement>())
    , promotion(this->settings.processName, this->settings.promotion)
{
    this->setServers(database);
    this->currentView = std::make_shared<const GroupView>(this->monitor.view(now()));
}

Result<std::shared_ptr<GroupWatch>> GroupWatch::create(
    GroupWatchSettings settings, GroupWatchCallbacks callbacks, const Database& database, std::vector<MonitorPeer> peers)
{
    BOOST_OUTCOME_TRY(
        GroupMonitor monitor, GroupMonitor::create(scopeOf(database, settings.dataCentre, std::move(peers)), settings.monitor));
    return std::shared_ptr<GroupWatch>(new GroupWatch(std::move(settings), std::move(callbacks), database, std::move(monitor)));
}

void GroupWatch::setServers(const Database& changed)
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

void GroupWatch::start()
{
    for (const auto& server : this->servers)
        this->startProbing(server);
    this->startWorker([this] {
        while (!this->stopping) {
            this->decide();
            sleepFor(decisionInterval);
        }
    });
}

void GroupWatch::startWorker(std::function<void()> work)
{
    ++this->workers;
    startFiber([self = this->shared_from_this(), work = std::move(work)] {
        work();
        --self->workers;
    });
}

void GroupWatch::stop()
{
    this->stopping = true;
    this->wake.notify_all();
    for (auto& [ticket, wait] : this->waits)
        wait.promise.set_value(Durability::Expired);
    this->waits.clear();
    for (Wait& wait : this->confirmations)
        wait.promise.set_value(Durability::Expired);
    this->confirmations.clear();
    constexpr Duration checkInterval = std::chrono::milliseconds(2);
    while (this->workers > 0)
        sleepFor(checkInterval);
    for (const auto& server : this->servers)
        server->control.close();
}

void GroupWatch::update(const Database& changed, std::vector<MonitorPeer> livePeers, unsigned newPlace)
{
    this->place = newPlace;
    this->peers = std::move(livePeers);
    (void)this->monitor.changeScope(scopeOf(changed, this->settings.dataCentre, this->peers));
    if (serverIds(changed) != serverIds(this->database))
        this->durability.changeGroup(serverIds(changed));
    const std::vector<ServerPointer> before = this->servers;
    this->setServers(changed);
    for (const auto& server : this->servers) {
        if (std::find(before.begin(), before.end(), server) == before.end())
            this->startProbing(server);
    }
}

void GroupWatch::placeHomes(const std::vector<BackendServerId>& placed)
{
    for (const auto& server : this->servers)
        server->homeWanted = std::find(placed.begin(), placed.end(), server->server.id) != placed.end();
    this->advanceClaims();
}

std::map<BackendServerId, uint64_t> GroupWatch::heldHomes() const
{
    std::map<BackendServerId, uint64_t> held;
    for (const auto& server : this->servers) {
        if (server->claim.isHeld())
            held[server->server.id] = server->claim.epoch();
    }
    return held;
}

GroupWatch::ServerPointer GroupWatch::find(const BackendServerId& id) const
{
    for (const auto& server : this->servers) {
        if (server->server.id == id)
            return server;
    }
    return nullptr;
}

void GroupWatch::startProbing(const ServerPointer& server)
{
    this->startWorker([this, server] {
        while (!this->stopping && std::find(this->servers.begin(), this->servers.end(), server) != this->servers.end()) {
            const TimePoint sentAt = now();
            this->takeReport(*server, sentAt, server->control.status(sentAt + probeTimeout));
            if (this->isAnyWaiting()) {
                sleepFor(durabilityProbeInterval);
                continue;
            }
            std::unique_lock<boost::fibers::mutex> lock(this->mutex);
            this->wake.wait_for(lock, this->settings.probeInterval);
        }
    });
}

void GroupWatch::takeReport(WatchedServer& server, TimePoint sentAt, const ControlReply& reply)
{
    ProbeResult result { server.server.id, sentAt, now(), std::nullopt };
    if (reply.report) {
        result.status = reply.report->status;
        this->durability.observe(server.server.id, sentAt, reply.report->status);
        if (server.claim.isHeld() && reply.report->homeEpoch > server.claim.epoch())
            this->performClaim(this->find(server.server.id), server.claim.epochLost(server.claim.epoch(), now()));
    }
    this->monitor.onProbe(result);
    this->settleWaits();
    this->publish(false);
}

void GroupWatch::advanceClaims()
{
    for (const ServerPointer& server : this->servers) {
        this->performClaim(server, server->homeWanted ? server->claim.want(now()) : server->claim.resign());
        this->performClaim(server, server->claim.tick(now()));
    }
}

void GroupWatch::performClaim(const ServerPointer& server, HomeClaimAction action)
{
    if (!server || action == HomeClaimAction::None)
        return;
    if (action == HomeClaimAction::OpenPool || action == HomeClaimAction::StandDown) {
        logEvent(LogLevel::Info, action == HomeClaimAction::OpenPool ? "home claimed" : "home given up",
            { { "server", server->server.id.value }, { "epoch", server->claim.epoch() } });
        this->publish(true);
        return;
    }
    this->startWorker([this, server, action] {
        const TimePoint deadline = now() + commandTimeout;
        if (action == HomeClaimAction::Read) {
            const ControlReply reply = server->control.status(deadline);
            this->performClaim(server,
                reply.report ? server->claim.claimRead({ reply.report->homeEpoch, VmId(reply.report->homeHolder) }, now())
                             : server->claim.readFailed(now()));
            return;
        }
        const uint64_t epoch = server->claim.epoch();
        const ControlReply reply = server->control.claim(this->settings.processName, epoch, deadline);
        const ClaimAnswer answer = reply.outcome == CommandOutcome::Done ? ClaimAnswer::Accepted
            : reply.outcome == CommandOutcome::Refused                   ? ClaimAnswer::Refused
                                                                         : ClaimAnswer::Lost;
        this->performClaim(server, server->claim.claimAnswered(epoch, answer, now()));
    });
}

Durability GroupWatch::awaitDurability(LogPoint commit, TimePoint deadline)
{
    const DurabilityTicket ticket = this->durability.track(commit, deadline);
    Wait& wait = this->waits[ticket];
    wait.commit = commit;
    wait.since = now();
    wait.deadline = deadline;
    auto future = wait.promise.get_future();
    this->wake.notify_all();
    return future.get();
}

void GroupWatch::settleWaits()
{
    for (const DurabilityOutcome& outcome : this->durability.settle(now())) {
        const auto wait = this->waits.find(outcome.ticket);
        if (wait == this->waits.end())
            continue;
        // A read has nothing to become durable, so what was reported before it arrived must not end its wait.
        if (outcome.durability == Durability::Durable)
            this->confirmations.push_back(std::move(wait->second));
        else
            wait->second.promise.set_value(outcome.durability);
        this->waits.erase(wait);
    }
    this->settleConfirmations();
}

void GroupWatch::settleConfirmations()
{
    const TimePoint time = now();
    std::erase_if(this->confirmations, [&](Wait& wait) {
        Durability outcome = Durability::Pending;
        if (this->durability.isTermConfirmed(wait.commit.term, wait.since))
            outcome = Durability::Durable;
        else if (this->currentView->term > wait.commit.term)
            outcome = Durability::Superseded;
        else if (time >= wait.deadline)
            outcome = Durability::Expired;
        if (outcome != Durability::Pending)
            wait.promise.set_value(outcome);
        return outcome != Durability::Pending;
    });
}

void GroupWatch::publish(bool force)
{
    auto changed = std::make_shared<const GroupView>(this->monitor.view(now()));
    force = force || differInState(*changed, *this->currentView);
    if (!force && now() < this->publishedAt + publishInterval)
        return;
    this->publishedAt = now();
    this->currentView = std::move(changed);
    this->callbacks.onViewChange();
}

void GroupWatch::decide()
{
    this->settleWaits();
    this->advanceClaims();
    // Ageing alone can make a server unreachable or a promotion due.
    this->publish(false);
    if (this->promotion.isRunning()) {
        if (this->promotionWake && now() >= *this->promotionWake) {
            this->promotionWake.reset();
            this->perform(this->promotion.handle(TimeReached {}, now()));
        }
        this->endOfPromotion();
        return;
    }
    this->askPeersIfDue();
    const std::optional<PromotionDue> due = this->monitor.promotionDue(now());
    if (!due) {
        this->followIfDue();
        return;
    }
    PromotionRequest request { {}, due->highestTerm, due->leavingPrimary, due->successor, this->place };
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

void GroupWatch::endOfPromotion()
{
    if (this->promotion.isRunning() || !this->runningPromotion)
        return;
    const Duration duration = now() - this->promotionStartedAt;
    const bool won = this->promotion.phase() == PromotionPhase::Done;
    logEvent(LogLevel::Warning, won ? "promotion done" : "promotion lost",
        { { "database", this->database.id.value }, { "term", this->promotion.term().value }, { "milliseconds", toMilliseconds(duration) },
            { "primary", this->promotion.primary() ? this->promotion.primary()->value : "" } });
    if (won)
        this->callbacks.onPromoted(this->database.id, this->runningPromotion->cause, duration);
    this->runningPromotion.reset();
    this->promotionWake.reset();
}

void GroupWatch::askPeersIfDue()
{
    const std::optional<BackendServerId> suspect = this->monitor.serverToAskPeersAbout(now());
    const ServerPointer server = suspect ? this->find(*suspect) : nullptr;
    if (!server || this->askingPeers)
        return;
    this->askingPeers = true;
    this->startWorker([this, target = server->server] {
        for (const PeerEvidence& evidence : this->callbacks.askPeers(this->database, target))
            this->monitor.onPeerEvidence(evidence);
        this->askingPeers = false;
    });
}

void GroupWatch::followIfDue()
{
    if (this->place != 0)
        return;
    for (const FollowDue& due : this->monitor.followsDue(now()))
        this->performCommand(PromotionCommand::Follow, due.server, due.term, due.primary);
}

void GroupWatch::perform(const std::vector<PromotionEffect>& effects)
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
        else if (const auto* hint = std::get_if<RecordHint>(&effect))
            this->startWorker([this, hint = *hint] { this->callbacks.recordHint(this->database.id, hint); });
        else
            this->promotionWake = std::get<WaitUntil>(effect).time;
    }
}

void GroupWatch::performCommand(PromotionCommand command, const BackendServerId& id, Term term, const BackendServerId& primary)
{
    this->startWorker([this, command, id, term, primary] {
        const ServerPointer server = this->find(id);
        const ServerPointer target = this->find(primary);
        if (!server || (command == PromotionCommand::Follow && !target))
            return;
        const TimePoint sentAt = now();
        const TimePoint deadline = sentAt + commandTimeout;
        ControlReply reply;
        if (command == PromotionCommand::Fence)
            reply = server->control.fence(term, this->settings.processName, deadline);
        else if (command == PromotionCommand::Promote)
            reply = server->control.promote(term, this->settings.processName, deadline);
        else
            reply = server->control.follow(term, { target->server.address, target->server.port }, deadline);
        std::optional<ServerStatus> status;
        if (reply.report)
            status = reply.report->status;
        this->perform(this->promotion.handle(CommandReply { command, id, term, reply.outcome, status }, now()));
        if (reply.report)
            this->takeReport(*server, sentAt, reply);
        this->endOfPromotion();
    });
}

void GroupWatch::readStatus(const BackendServerId& id)
{
    this->startWorker([this, id] {
        const ServerPointer server = this->find(id);
        if (!server)
            return;
        const ControlReply reply = server->control.status(now() + commandTimeout);
        std::optional<ServerStatus> status;
        if (reply.report)
            status = reply.report->status;
        this->perform(this->promotion.handle(StatusReply { id, status }, now()));
        this->endOfPromotion();
    });
}

}
