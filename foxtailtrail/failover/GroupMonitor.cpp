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
    , replicaAge(settings.replicaAge)
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
        if (known && known->answeredAt)
            this->observations.observe(member.server, *known->answeredAt, *known->status);
    }
    this->servers = std::move(newServers);
    this->scope = std::move(newScope);
    return succeed();
}

void GroupMonitor::onProbe(const ProbeResult& probe)
{
    const auto found = std::find_if(
        this->servers.begin(), this->servers.end(), [&](const Server& server) { return server.member.server == probe.server; });
    if (found == this->servers.end() || (found->answeredAt && probe.sentAt <= *found->answeredAt))
        return;
    if (!probe.status) {
        found->failingSince = std::min(found->failingSince.value_or(probe.sentAt), probe.sentAt);
        found->lastFailureAt = std::max(found->lastFailureAt, probe.receivedAt);
        ++found->failures;
        return;
    }
    found->status = probe.status;
    found->answeredAt = probe.sentAt;
    found->failingSince.reset();
    found->failures = 0;
    this->adoptTerm(*probe.status, probe.receivedAt);
    this->observations.observe(probe.server, probe.sentAt, *probe.status);
    if (&*found == this->primary())
        this->replicaAge.record(probe.sentAt, probe.status->logPoint());
    if (const auto confirmed = this->observations.confirmedSince(this->highestTerm))
        this->replicaAge.confirm(this->highestTerm, *confirmed);
}

void GroupMonitor::adoptTerm(const ServerStatus& status, TimePoint now)
{
    const Term term = std::max(status.promisedTerm, status.logTerm);
    if (this->termSeenAt && term <= this->highestTerm)
        return;
    this->highestTerm = term;
    this->termSeenAt = now;
}

void GroupMonitor::onPeerEvidence(const PeerEvidence& answer)
{
    std::erase_if(this->evidence, [&](const PeerEvidence& known) {
        return known.vm == answer.vm && known.server == answer.server && known.askedAt <= answer.askedAt;
    });
    this->evidence.push_back(answer);
    std::erase_if(
        this->evidence, [&](const PeerEvidence& known) { return known.askedAt + this->settings.peerEvidenceLifetime < answer.askedAt; });
}

std::optional<BackendServerId> GroupMonitor::serverToAskPeersAbout(TimePoint now) const
{
    const Server* server = this->suspect();
    if (!server || !this->isUnansweredFor(*server, this->settings.probeSilence, now))
        return std::nullopt;
    return server->member.server;
}

std::optional<PromotionDue> GroupMonitor::promotionDue(TimePoint now) const
{
    const Server* leaving = this->primary();
    if (const auto cause = this->causeOfUnplanned(now)) {
        PromotionDue due { *cause, this->highestTerm, std::nullopt, std::nullopt };
        if (cause == PromotionCause::ReplicasCutOff)
            due.leavingPrimary = leaving->member.server;
        return due;
    }
    if (!leaving || !this->isDraining(*leaving) || !this->answersProbes(*leaving, now))
        return std::nullopt;
    const Server* next = this->successor(*leaving, now);
    if (!next)
        return std::nullopt;
    return PromotionDue { PromotionCause::Planned, this->highestTerm, leaving->member.server, next->member.server };
}

std::optional<PromotionCause> GroupMonitor::causeOfUnplanned(TimePoint now) const
{
    const Server* primary = this->primary();
    const Server* silent = this->suspect();
    // Fencing needs a majority, so without one a promotion could only disturb the group.
    if (this->reachableCount(nullptr, now) < this->observations.majority())
        return std::nullopt;
    if (!primary && !this->isTermSettled(now))
        return std::nullopt;
    if (!primary && this->isUnfinished(now))
        return PromotionCause::Unfinished;
    if (!silent)
        return std::nullopt;
    if (!this->isUnansweredFor(*silent, this->settings.probeSilence, now)) {
        const bool canReplace = this->reachableCount(silent, now) >= this->observations.majority();
        // Replicas that have just begun to follow a new primary still report the silence of the former one.
        const bool longInTerm = this->termSeenAt && *this->termSeenAt + this->settings.brokenLinkSilence <= now;
        const bool cutOff = longInTerm && this->othersReportSilence(silent, this->settings.brokenLinkSilence, now);
        return primary && canReplace && cutOff ? std::optional(PromotionCause::ReplicasCutOff) : std::nullopt;
    }
    if (this->othersReportSilence(silent, this->settings.replicaSilence, now))
        return PromotionCause::PrimarySilent;
    if (this->isUnansweredFor(*silent, this->settings.brokenLinkSilence, now) && this->isConfirmedByPeers(silent->member.server, now))
        return PromotionCause::PeersConfirm;
    return std::nullopt;
}

std::vector<FollowDue> GroupMonitor::followsDue(TimePoint now) const
{
    std::vector<FollowDue> due;
    const Server* leader = this->primary();
    if (!leader || !this->answersProbes(*leader, now))
        return due;
    for (const Server& server : this->servers) {
        if (&server == leader || !this->answersProbes(server, now))
            continue;
        const bool elsewhere = server.status->role != ServerRole::Replica || server.status->promisedTerm < this->highestTerm;
        if (elsewhere || this->reportsSilence(server, this->settings.replicaSilence))
            due.push_back({ server.member.server, this->highestTerm, leader->member.server });
    }
    return due;
}

GroupView GroupMonitor::view(TimePoint now) const
{
    GroupView view { this->scope.database, this->highestTerm, std::nullopt, this->observations.confirmedSince(this->highestTerm), {} };
    if (const Server* leader = this->primary())
        view.primary = leader->member.server;
    for (const Server& server : this->servers) {
        ServerView row { server.member.server, server.member.region, {}, server.answeredAt, std::nullopt, false, this->isDraining(server) };
        row.reachable = this->answersProbes(server, now) && server.failures < failuresOfUnreachable;
        if (server.status) {
            row.status = *server.status;
            row.freshAsOf = this->replicaAge.freshAsOf(server.status->logPoint());
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
const GroupMonitor::Server* GroupMonitor::suspect() const
{
    if (const Server* known = this->primary())
        return known;
    const Server* only = nullptr;
    for (const Server& server : this->servers) {
        if (!server.failingSince)
            continue;
        if (only)
            return nullptr;
        only = &server;
    }
    return only;
}

bool GroupMonitor::answersProbes(const Server& server, TimePoint now) const
{
    return server.answeredAt && *server.answeredAt + this->settings.probeSilence > now;
}

// Probes that were due while this VM was paused prove nothing, so silence needs two failures, one of them recent.
bool GroupMonitor::isUnansweredFor(const Server& server, Duration silence, TimePoint now) const
{
    return server.failures >= failuresOfUnreachable && server.failingSince && *server.failingSince + silence <= now
        && server.lastFailureAt + this->settings.probeSilence > now;
}

bool GroupMonitor::isDraining(const Server& server) const { return server.member.draining || (server.status && server.status->leaving); }

bool GroupMonitor::reportsSilence(const Server& server, Duration silence) const
{
    return server.status->role != ServerRole::Replica || server.status->primaryHeardAge >= silence;
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
        confirming += static_cast<size_t>(std::count_if(this->evidence.begin(), this->evidence.end(), [&](const PeerEvidence& answer) {
            return answer.vm == peer.vm && answer.server == server && !answer.reachable
                && answer.askedAt + this->settings.peerEvidenceLifetime > now;
        }));
    }
    return confirming >= std::max<size_t>(1, std::min(elsewhere, confirmingPeers));
}

// Whether a promoter of the highest term has had the time to finish.
bool GroupMonitor::isTermSettled(TimePoint now) const
{
    return this->termSeenAt && *this->termSeenAt + this->settings.unfinishedAfter <= now;
}

// No server that answers is the primary of the highest term; and no other can be, or replicas would hear it.
bool GroupMonitor::isUnfinished(TimePoint now) const
{
    return this->reachableCount(nullptr, now) == this->servers.size()
        || this->othersReportSilence(nullptr, this->settings.replicaSilence, now);
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
        const auto fresh = this->replicaAge.freshAsOf(server.status->logPoint());
        if (this->isDraining(server) || !fresh || *fresh + this->settings.plannedLag < *leaving.answeredAt)
            continue;
        if (!best || server.status->position > best->status->position)
            best = &server;
    }
    return staying >= this->observations.majority() ? best : nullptr;
}

}
