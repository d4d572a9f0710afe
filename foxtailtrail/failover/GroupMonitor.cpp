#include "foxtailtrail/failover/GroupMonitor.h"

#include <algorithm>
#include <array>
#include <utility>

namespace foxtail {

namespace {

    // One failed probe may be one lost packet.
    constexpr unsigned failuresOfUnreachable = 2;

    // How many VMs of other data centres must confirm that the primary can't be reached.
    constexpr size_t confirmingPeers = 2;

    std::vector<BackendServerId> idsOf(const std::vector<GroupMember>& members)
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
        auto ids = idsOf(scope.members);
        std::sort(ids.begin(), ids.end());
        const auto twice = std::adjacent_find(ids.begin(), ids.end());
        if (twice != ids.end()) {
            return fail(
                ErrorKind::MalformedRequest, "database " + scope.database.value + " names backend server " + twice->value + " twice");
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
    this->observations = QuorumObservations(idsOf(newScope.members));
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

void GroupMonitor::onPeerReachabilityReport(const PeerReachabilityReport& answer)
{
    std::erase_if(this->peerReports, [&](const PeerReachabilityReport& known) {
        return known.vm == answer.vm && known.server == answer.server && known.requestedAt <= answer.requestedAt;
    });
    this->peerReports.push_back(answer);
    std::erase_if(this->peerReports,
        [&](const PeerReachabilityReport& known) { return known.requestedAt + this->settings.peerReportLifetime < answer.requestedAt; });
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
    const Server* silent = this->presumedPrimary();
    // Fencing needs a majority, so without one a promotion could only disturb the group.
    if (this->reachableCount(nullptr, now) < this->observations.majority())
        return std::nullopt;
    if (!primary && !this->hasPromoterTimedOut(now))
        return std::nullopt;
    if (!primary && this->isPromotionUnfinished(now))
        return PromotionCause::Unfinished;
    if (!silent)
        return std::nullopt;
    if (!this->isUnansweredFor(*silent, this->settings.unansweredProbeTimeout, now)) {
        const bool canReplace = this->reachableCount(silent, now) >= this->observations.majority();
        // Replicas that have just begun to follow a new primary still report the silence of the former one.
        const bool longInTerm = this->highestTermSeenAt && *this->highestTermSeenAt + this->settings.brokenLinkTimeout <= now;
        const bool cutOff = longInTerm && this->othersReportSilence(silent, this->settings.brokenLinkTimeout, now);
        return primary && canReplace && cutOff ? std::optional(PromotionCause::ReplicasCutOff) : std::nullopt;
    }
    if (this->othersReportSilence(silent, this->settings.replicaSilenceTimeout, now))
        return PromotionCause::PrimarySilent;
    if (this->isUnansweredFor(*silent, this->settings.brokenLinkTimeout, now) && this->isConfirmedByPeers(silent->member.server, now))
        return PromotionCause::PeersConfirm;
    return std::nullopt;
}

std::vector<DueFollowCommand> GroupMonitor::dueFollowCommands(TimePoint now) const
{
    std::vector<DueFollowCommand> due;
    const Server* leader = this->primary();
    if (!leader || !this->answersProbes(*leader, now))
        return due;
    for (const Server& server : this->servers) {
        if (&server == leader || !this->answersProbes(server, now))
            continue;
        const bool elsewhere = server.status->role != ServerRole::Replica || server.status->promisedTerm < this->highestTerm;
        if (elsewhere || this->reportsSilence(server, this->settings.replicaSilenceTimeout))
            due.push_back({ server.member.server, this->highestTerm, leader->member.server });
    }
    return due;
}

GroupView GroupMonitor::view(TimePoint now) const
{
    GroupView view { this->scope.database, this->highestTerm, std::nullopt, this->observations.termConfirmedAt(this->highestTerm), {} };
    if (const Server* leader = this->primary())
        view.primary = leader->member.server;
    for (const Server& server : this->servers) {
        ServerView row { server.member.server, server.member.region, {}, server.lastAnsweredProbeAt, std::nullopt, false,
            this->isDraining(server) };
        row.isReachable = this->answersProbes(server, now) && server.consecutiveFailures < failuresOfUnreachable;
        if (server.status) {
            row.status = *server.status;
            row.freshAsOf = this->replicaFreshness.freshAsOf(server.status->logPoint());
        }
        view.servers.push_back(row);
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

// The primary, or the server that must be the primary because it alone has not answered.
const GroupMonitor::Server* GroupMonitor::presumedPrimary() const
{
    if (const Server* known = this->primary())
        return known;
    const Server* only = nullptr;
    for (const Server& server : this->servers) {
        if (!server.firstFailureAt)
            continue;
        if (only)
            return nullptr;
        only = &server;
    }
    return only;
}

bool GroupMonitor::answersProbes(const Server& server, TimePoint now) const
{
    return server.lastAnsweredProbeAt && *server.lastAnsweredProbeAt + this->settings.unansweredProbeTimeout > now;
}

// Probes that were due while this VM was paused prove nothing, so silence needs two failures, one of them recent.
bool GroupMonitor::isUnansweredFor(const Server& server, Duration silence, TimePoint now) const
{
    return server.consecutiveFailures >= failuresOfUnreachable && server.firstFailureAt && *server.firstFailureAt + silence <= now
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
    size_t elsewhere = 0;
    size_t confirming = 0;
    for (const MonitorPeer& peer : this->scope.peers) {
        if (peer.dataCentre == this->scope.ownDataCentre)
            continue;
        ++elsewhere;
        confirming += static_cast<size_t>(
            std::count_if(this->peerReports.begin(), this->peerReports.end(), [&](const PeerReachabilityReport& answer) {
                return answer.vm == peer.vm && answer.server == server && !answer.isReachable
                    && answer.requestedAt + this->settings.peerReportLifetime > now;
            }));
    }
    return confirming >= std::max<size_t>(1, std::min(elsewhere, confirmingPeers));
}

// Whether a promoter of the highest term has had the time to finish.
bool GroupMonitor::hasPromoterTimedOut(TimePoint now) const
{
    return this->highestTermSeenAt && *this->highestTermSeenAt + this->settings.unfinishedPromotionTimeout <= now;
}

// No server that answers is the primary of the highest term; and no other can be, or replicas would hear it.
bool GroupMonitor::isPromotionUnfinished(TimePoint now) const
{
    return this->reachableCount(nullptr, now) == this->servers.size()
        || this->othersReportSilence(nullptr, this->settings.replicaSilenceTimeout, now);
}

// The replica that has caught up best, when the group keeps a majority without the leaving primary.
const GroupMonitor::Server* GroupMonitor::successor(const Server& leaving, TimePoint now) const
{
    const Server* best = nullptr;
    size_t staying = 0;
    for (const Server& server : this->servers) {
        if (&server == &leaving || !this->answersProbes(server, now) || !server.status->isInTerm(this->highestTerm))
            continue;
        ++staying;
        const auto fresh = this->replicaFreshness.freshAsOf(server.status->logPoint());
        if (this->isDraining(server) || !fresh || *fresh + this->settings.maximumSuccessorLag < *leaving.lastAnsweredProbeAt)
            continue;
        if (!best || server.status->position > best->status->position)
            best = &server;
    }
    return staying >= this->observations.majority() ? best : nullptr;
}

}
