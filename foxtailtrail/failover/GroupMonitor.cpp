#include "foxtailtrail/failover/GroupMonitor.h"

#include <algorithm>
#include <array>
#include <utility>

namespace foxtail {

namespace {

    // A single failed probe may be a lost packet.
    constexpr unsigned unreachableFailureCount = 2;

    // The number of VMs of other data centres that must confirm that the primary cannot be reached.
    constexpr size_t requiredPeerConfirmations = 2;

    std::vector<BackendServerId> serverIds(const std::vector<GroupMember>& members)
    {
        std::vector<BackendServerId> ids;
        ids.reserve(members.size());
        for (const GroupMember& member : members)
            ids.push_back(member.server);
        return ids;
    }

    Result<void> checkScope(const GroupScope& scope)
    {
        if (scope.members.empty())
            return fail(ErrorKind::MalformedRequest, "database " + scope.database.value + " has no backend servers");
        auto ids = serverIds(scope.members);
        std::sort(ids.begin(), ids.end());
        const auto duplicate = std::adjacent_find(ids.begin(), ids.end());
        if (duplicate != ids.end()) {
            return fail(
                ErrorKind::MalformedRequest, "database " + scope.database.value + " names backend server " + duplicate->value + " twice");
        }
        return succeed();
    }

}

std::string_view promotionCauseName(PromotionCause cause)
{
    constexpr std::array<std::string_view, 5> names { "primary silent", "peers confirm", "replicas cut off", "unfinished", "planned" };
    return names[static_cast<size_t>(cause)];
}

GroupMonitor::GroupMonitor(GroupMonitorSettings settings)
    : settings(settings)
    , observations({})
    , replicaFreshness(settings.replicaFreshness)
{
}

Result<GroupMonitor> GroupMonitor::create(GroupScope scope, GroupMonitorSettings settings)
{
    GroupMonitor monitor(settings);
    BOOST_OUTCOME_TRYV(monitor.changeScope(std::move(scope)));
    return monitor;
}

Result<void> GroupMonitor::changeScope(GroupScope newScope)
{
    BOOST_OUTCOME_TRYV(checkScope(newScope));
    std::vector<Server> newServers;
    this->observations = QuorumObservations(serverIds(newScope.members));
    for (const GroupMember& member : newScope.members) {
        const Server* known = this->find(member.server);
        newServers.push_back(known ? *known : Server {});
        newServers.back().member = member;
        if (known && known->lastAnsweredProbeAt)
            this->observations.observe(member.server, *known->lastAnsweredProbeAt, *known->status);
    }
    this->servers = std::move(newServers);
    this->scope = std::move(newScope);
    return succeed();
}

void GroupMonitor::onProbe(const ProbeResult& probe)
{
    const auto found = std::find_if(
        this->servers.begin(), this->servers.end(), [&](const Server& server) { return server.member.server == probe.server; });
    if (found == this->servers.end() || (found->lastAnsweredProbeAt && probe.sentAt <= *found->lastAnsweredProbeAt))
        return;
    if (!probe.status) {
        found->firstFailureAt = std::min(found->firstFailureAt.value_or(probe.sentAt), probe.sentAt);
        found->lastFailureAt = std::max(found->lastFailureAt, probe.receivedAt);
        ++found->consecutiveFailures;
        return;
    }
    found->status = probe.status;
    found->lastAnsweredProbeAt = probe.sentAt;
    found->firstFailureAt.reset();
    found->consecutiveFailures = 0;
    this->updateHighestTerm(*probe.status, probe.receivedAt);
    this->observations.observe(probe.server, probe.sentAt, *probe.status);
    if (&*found == this->primary())
        this->replicaFreshness.record(probe.sentAt, probe.status->logPoint());
    if (const auto confirmed = this->observations.termConfirmedAt(this->highestTerm))
        this->replicaFreshness.confirm(this->highestTerm, *confirmed);
}

void GroupMonitor::updateHighestTerm(const ServerStatus& status, TimePoint now)
{
    const Term term = std::max(status.promisedTerm, status.logTerm);
    if (this->highestTermSeenAt && term <= this->highestTerm)
        return;
    this->highestTerm = term;
    this->highestTermSeenAt = now;
}

void GroupMonitor::onPeerReachabilityReport(const PeerReachabilityReport& report)
{
    std::erase_if(this->peerReports, [&](const PeerReachabilityReport& existing) {
        return existing.vm == report.vm && existing.server == report.server && existing.requestedAt <= report.requestedAt;
    });
    this->peerReports.push_back(report);
    std::erase_if(this->peerReports, [&](const PeerReachabilityReport& existing) {
        return existing.requestedAt + this->settings.peerReportLifetime < report.requestedAt;
    });
}

std::optional<BackendServerId> GroupMonitor::serverToCheckWithPeers(TimePoint now) const
{
    const Server* server = this->presumedPrimary();
    if (!server || !this->isUnansweredFor(*server, this->settings.unansweredProbeTimeout, now))
        return std::nullopt;
    return server->member.server;
}

std::optional<DuePromotion> GroupMonitor::duePromotion(TimePoint now) const
{
    const Server* leaving = this->primary();
    if (const auto cause = this->unplannedPromotionCause(now)) {
        DuePromotion due { *cause, this->highestTerm, std::nullopt, std::nullopt };
        if (cause == PromotionCause::ReplicasCutOff)
            due.leavingPrimary = leaving->member.server;
        return due;
    }
    if (!leaving || !this->isDraining(*leaving) || !this->answersProbes(*leaving, now))
        return std::nullopt;
    const Server* next = this->successor(*leaving, now);
    if (!next)
        return std::nullopt;
    return DuePromotion { PromotionCause::Planned, this->highestTerm, leaving->member.server, next->member.server };
}

std::optional<PromotionCause> GroupMonitor::unplannedPromotionCause(TimePoint now) const
{
    const Server* primary = this->primary();
    const Server* presumed = this->presumedPrimary();
    // Fencing needs a majority, so without one a promotion could only disturb the group.
    if (this->reachableCount(nullptr, now) < this->observations.majority())
        return std::nullopt;
    if (!primary && !this->hasPromoterTimedOut(now))
        return std::nullopt;
    if (!primary && this->isPromotionUnfinished(now))
        return PromotionCause::Unfinished;
    if (!presumed)
        return std::nullopt;
    if (!this->isUnansweredFor(*presumed, this->settings.unansweredProbeTimeout, now)) {
        const bool canReplace = this->reachableCount(presumed, now) >= this->observations.majority();
        // Replicas that have just begun to follow a new primary still report the silence of the former one.
        const bool isTermEstablished = this->highestTermSeenAt && *this->highestTermSeenAt + this->settings.brokenLinkTimeout <= now;
        const bool isCutOff = isTermEstablished && this->othersReportSilence(presumed, this->settings.brokenLinkTimeout, now);
        return primary && canReplace && isCutOff ? std::optional(PromotionCause::ReplicasCutOff) : std::nullopt;
    }
    if (this->othersReportSilence(presumed, this->settings.replicaSilenceTimeout, now))
        return PromotionCause::PrimarySilent;
    if (this->isUnansweredFor(*presumed, this->settings.brokenLinkTimeout, now) && this->isConfirmedByPeers(presumed->member.server, now))
        return PromotionCause::PeersConfirm;
    return std::nullopt;
}

std::vector<DueFollowCommand> GroupMonitor::dueFollowCommands(TimePoint now) const
{
    std::vector<DueFollowCommand> due;
    const Server* primaryServer = this->primary();
    if (!primaryServer || !this->answersProbes(*primaryServer, now))
        return due;
    for (const Server& server : this->servers) {
        if (&server == primaryServer || !this->answersProbes(server, now))
            continue;
        const bool isNotFollowing = server.status->role != ServerRole::Replica || server.status->promisedTerm < this->highestTerm;
        if (isNotFollowing || this->reportsSilence(server, this->settings.replicaSilenceTimeout))
            due.push_back({ server.member.server, this->highestTerm, primaryServer->member.server });
    }
    return due;
}

GroupView GroupMonitor::view(TimePoint now) const
{
    GroupView view { this->scope.database, this->highestTerm, std::nullopt, this->observations.termConfirmedAt(this->highestTerm), {} };
    if (const Server* primaryServer = this->primary())
        view.primary = primaryServer->member.server;
    for (const Server& server : this->servers) {
        ServerView serverView { server.member.server, server.member.region, {}, server.lastAnsweredProbeAt, std::nullopt, false,
            this->isDraining(server) };
        serverView.isReachable = this->answersProbes(server, now) && server.consecutiveFailures < unreachableFailureCount;
        if (server.status) {
            serverView.status = *server.status;
            serverView.freshAsOf = this->replicaFreshness.freshAsOf(server.status->logPoint());
        }
        view.servers.push_back(serverView);
    }
    return view;
}

const GroupMonitor::Server* GroupMonitor::find(const BackendServerId& id) const
{
    for (const Server& server : this->servers) {
        if (server.member.server == id)
            return &server;
    }
    return nullptr;
}

const GroupMonitor::Server* GroupMonitor::primary() const
{
    for (const Server& server : this->servers) {
        if (server.status && server.status->role == ServerRole::Primary && server.status->isInTerm(this->highestTerm))
            return &server;
    }
    return nullptr;
}

// Returns the primary, or the server that must be the primary because it is the only one that has not answered.
const GroupMonitor::Server* GroupMonitor::presumedPrimary() const
{
    if (const Server* known = this->primary())
        return known;
    const Server* unanswered = nullptr;
    for (const Server& server : this->servers) {
        if (!server.firstFailureAt)
            continue;
        if (unanswered)
            return nullptr;
        unanswered = &server;
    }
    return unanswered;
}

bool GroupMonitor::answersProbes(const Server& server, TimePoint now) const
{
    return server.lastAnsweredProbeAt && *server.lastAnsweredProbeAt + this->settings.unansweredProbeTimeout > now;
}

// Requires two failures, one of them recent, because probes that were due while this VM was paused do not prove that the
// server is silent.
bool GroupMonitor::isUnansweredFor(const Server& server, Duration silence, TimePoint now) const
{
    return server.consecutiveFailures >= unreachableFailureCount && server.firstFailureAt && *server.firstFailureAt + silence <= now
        && server.lastFailureAt + this->settings.unansweredProbeTimeout > now;
}

bool GroupMonitor::isDraining(const Server& server) const
{
    return server.member.isMarkedDraining || (server.status && server.status->isLeaving);
}

bool GroupMonitor::reportsSilence(const Server& server, Duration silence) const
{
    return server.status->role != ServerRole::Replica || server.status->primaryContactAge >= silence;
}

bool GroupMonitor::othersReportSilence(const Server* primary, Duration silence, TimePoint now) const
{
    return std::all_of(this->servers.begin(), this->servers.end(), [&](const Server& server) {
        return &server == primary || !this->answersProbes(server, now) || this->reportsSilence(server, silence);
    });
}

size_t GroupMonitor::reachableCount(const Server* except, TimePoint now) const
{
    return static_cast<size_t>(std::count_if(this->servers.begin(), this->servers.end(),
        [&](const Server& server) { return &server != except && this->answersProbes(server, now); }));
}

bool GroupMonitor::isConfirmedByPeers(const BackendServerId& server, TimePoint now) const
{
    size_t remotePeers = 0;
    size_t confirmations = 0;
    for (const MonitorPeer& peer : this->scope.peers) {
        if (peer.dataCentre == this->scope.ownDataCentre)
            continue;
        ++remotePeers;
        confirmations += static_cast<size_t>(
            std::count_if(this->peerReports.begin(), this->peerReports.end(), [&](const PeerReachabilityReport& report) {
                return report.vm == peer.vm && report.server == server && !report.isReachable
                    && report.requestedAt + this->settings.peerReportLifetime > now;
            }));
    }
    return confirmations >= std::max<size_t>(1, std::min(remotePeers, requiredPeerConfirmations));
}

// Returns whether the promoter of the highest term has used up the time to finish.
bool GroupMonitor::hasPromoterTimedOut(TimePoint now) const
{
    return this->highestTermSeenAt && *this->highestTermSeenAt + this->settings.unfinishedPromotionTimeout <= now;
}

// Returns whether the group has no primary of the highest term, given that no server that answers is one. A primary that
// does not answer would still be in contact with replicas.
bool GroupMonitor::isPromotionUnfinished(TimePoint now) const
{
    return this->reachableCount(nullptr, now) == this->servers.size()
        || this->othersReportSilence(nullptr, this->settings.replicaSilenceTimeout, now);
}

// Returns the replica with the longest log among those that have caught up and are not draining. Returns null when there is
// none or when the group would lose its majority without the leaving primary.
const GroupMonitor::Server* GroupMonitor::successor(const Server& leaving, TimePoint now) const
{
    const Server* best = nullptr;
    size_t remainingInTerm = 0;
    for (const Server& server : this->servers) {
        if (&server == &leaving || !this->answersProbes(server, now) || !server.status->isInTerm(this->highestTerm))
            continue;
        ++remainingInTerm;
        const auto replicaFreshAsOf = this->replicaFreshness.freshAsOf(server.status->logPoint());
        if (this->isDraining(server) || !replicaFreshAsOf
            || *replicaFreshAsOf + this->settings.maximumSuccessorLag < *leaving.lastAnsweredProbeAt)
            continue;
        if (!best || server.status->position > best->status->position)
            best = &server;
    }
    return remainingInTerm >= this->observations.majority() ? best : nullptr;
}

}
