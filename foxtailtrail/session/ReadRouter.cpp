#include "foxtailtrail/session/ReadRouter.h"

#include <algorithm>

namespace foxtail {

namespace {

    // A read that names neither a token nor an age must see every write acknowledged before it arrived.
    bool needsCurrentData(const ReadRequirements& need) { return !need.tokenLogPoint && !need.maximumStaleness; }

    bool isUsableReplica(const ServerView& server, const GroupView& view)
    {
        return server.isReachable && !server.isDraining && server.lastAnsweredProbeAt && server.server != view.primary;
    }

    // The time until which the replica's data is young enough, or the deadline when no age is stated. Empty when the
    // replica is too old already or its age is not known.
    std::optional<TimePoint> usableUntil(const ServerView& server, const ReadRequirements& need, TimePoint now)
    {
        if (!need.maximumStaleness)
            return need.deadline;
        if (!server.freshAsOf || *server.freshAsOf + *need.maximumStaleness < now)
            return std::nullopt;
        return std::min(need.deadline, *server.freshAsOf + *need.maximumStaleness);
    }

    // With a stated age the replica must still be at the point that its age was computed from: a replica that has
    // dropped a divergent suffix since then is older than the view says.
    LogPoint requiredOfReplica(const ServerView& server, const ReadRequirements& need)
    {
        return need.maximumStaleness ? server.status.logPoint() : *need.tokenLogPoint;
    }

    // Rotates equally good replicas by the salt.
    void spread(std::vector<ReadAttempt>& attempts, uint64_t salt)
    {
        if (!attempts.empty())
            std::rotate(attempts.begin(), attempts.begin() + static_cast<ptrdiff_t>(salt % attempts.size()), attempts.end());
    }

    // The earliest start of the quorum check that the read needs. Empty when the token alone makes the read correct.
    std::optional<TimePoint> neededConfirmation(const ReadRequirements& need)
    {
        if (need.maximumStaleness)
            return need.arrivedAt - *need.maximumStaleness;
        return needsCurrentData(need) ? std::optional(need.arrivedAt) : std::nullopt;
    }

    // Adds the primary, when it can be reached, and the wait for a new one.
    void addPrimary(ReadPlan& plan, const ReadRequirements& need, const GroupView& view, std::optional<TimePoint> confirmedSince)
    {
        const ServerView* primary = view.primary ? view.find(*view.primary) : nullptr;
        if (primary && !primary->isReachable)
            primary = nullptr;
        plan.exhaustedError = primary ? ErrorKind::ReadNotCurrent : ErrorKind::NoPrimary;
        if (primary) {
            const LogPoint required = need.tokenLogPoint.value_or(LogPoint { view.term, {} });
            const auto kind = confirmedSince ? ReadAttemptKind::ConfirmedPrimary : ReadAttemptKind::Primary;
            plan.attempts.push_back({ kind, primary->server, required, confirmedSince, need.deadline });
        }
        plan.attempts.push_back({ ReadAttemptKind::WaitForPrimary, {}, {}, std::nullopt, need.deadline });
    }

    Result<void> checkRoutable(const ReadRequirements& need, const GroupView& view, TimePoint now)
    {
        if (now >= need.deadline)
            return fail(ErrorKind::DeadlineExceeded, "the deadline passed before the read was routed");
        if (view.servers.empty())
            return fail(ErrorKind::NoPrimary, "the database has no backend servers");
        return succeed();
    }

}

ReadRouter::ReadRouter(ReadRouterSettings settings)
    : settings(settings)
{
}

Result<ReadPlan> ReadRouter::route(const ReadRequirements& need, const GroupView& view, TimePoint now, uint64_t salt) const
{
    BOOST_OUTCOME_TRYV(checkRoutable(need, view, now));
    ReadPlan plan;
    if (!needsCurrentData(need)) {
        this->addReplicas(plan, need, view, now, salt);
        if (plan.attempts.empty())
            this->addReplicaWait(plan, need, view, now);
    }
    addPrimary(plan, need, view, neededConfirmation(need));
    return plan;
}

void ReadRouter::addReplicas(ReadPlan& plan, const ReadRequirements& need, const GroupView& view, TimePoint now, uint64_t salt) const
{
    std::vector<ReadAttempt> near;
    std::vector<ReadAttempt> far;
    for (const ServerView& server : view.servers) {
        const auto until = usableUntil(server, need, now);
        const bool holdsToken = !need.tokenLogPoint || holdsLogPoint(server.status.logPoint(), *need.tokenLogPoint);
        if (!isUsableReplica(server, view) || !holdsToken || !until)
            continue;
        auto& group = server.region == need.region ? near : far;
        group.push_back({ ReadAttemptKind::Replica, server.server, requiredOfReplica(server, need), std::nullopt, *until });
    }
    spread(near, salt);
    spread(far, salt);
    plan.attempts.insert(plan.attempts.end(), near.begin(), near.end());
    plan.attempts.insert(plan.attempts.end(), far.begin(), far.end());
}

void ReadRouter::addReplicaWait(ReadPlan& plan, const ReadRequirements& need, const GroupView& view, TimePoint now) const
{
    // Only replication of a new write is worth waiting for; a replica too old for a stated age stays so.
    if (need.maximumStaleness)
        return;
    const bool anyReplica
        = std::any_of(view.servers.begin(), view.servers.end(), [&](const ServerView& server) { return isUsableReplica(server, view); });
    const Duration allowed = need.deadline - need.arrivedAt;
    const TimePoint until = need.arrivedAt + std::min(this->settings.replicaWaitTimeout, allowed / this->settings.replicaWaitDivisor);
    if (anyReplica && until > now)
        plan.attempts.push_back({ ReadAttemptKind::WaitForReplica, {}, *need.tokenLogPoint, std::nullopt, until });
}

Result<ReadPlan> PrimaryOnlyReadRouter::route(const ReadRequirements& need, const GroupView& view, TimePoint now, uint64_t) const
{
    BOOST_OUTCOME_TRYV(checkRoutable(need, view, now));
    ReadPlan plan;
    addPrimary(plan, need, view, need.arrivedAt);
    return plan;
}

}
