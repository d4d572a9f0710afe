#include "foxtailtrail/session/ReadRouter.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Returns whether the read must see every write acknowledged before it arrived, because it states neither a token nor a
    // maximum staleness.
    bool needsCurrentData(const ReadRequirements& requirements) { return !requirements.tokenLogPoint && !requirements.maximumStaleness; }

    bool isUsableReplica(const ServerView& server, const GroupView& view)
    {
        return server.isReachable && !server.isDraining && server.lastAnsweredProbeAt && server.server != view.primary;
    }

    // Returns the time until which the replica's data is fresh enough, or the deadline when no maximum staleness is stated.
    // Empty when the replica is too stale already or its freshness is unknown.
    std::optional<TimePoint> usableUntil(const ServerView& server, const ReadRequirements& requirements, TimePoint now)
    {
        if (!requirements.maximumStaleness)
            return requirements.deadline;
        if (!server.freshAsOf || *server.freshAsOf + *requirements.maximumStaleness < now)
            return std::nullopt;
        return std::min(requirements.deadline, *server.freshAsOf + *requirements.maximumStaleness);
    }

    // With a maximum staleness, the replica must still hold the log point that its freshness was computed from: a replica
    // that has dropped a divergent suffix since then is staler than the view shows.
    LogPoint requiredReplicaLogPoint(const ServerView& server, const ReadRequirements& requirements)
    {
        return requirements.maximumStaleness ? server.status.logPoint() : *requirements.tokenLogPoint;
    }

    // Rotates equally good replicas by the salt.
    void rotateBySalt(std::vector<ReadAttempt>& attempts, uint64_t salt)
    {
        if (!attempts.empty())
            std::rotate(attempts.begin(), attempts.begin() + static_cast<ptrdiff_t>(salt % attempts.size()), attempts.end());
    }

    // Returns the earliest start of the quorum check that the read needs. Empty when the token alone makes the read
    // correct.
    std::optional<TimePoint> earliestNeededConfirmation(const ReadRequirements& requirements)
    {
        if (requirements.maximumStaleness)
            return requirements.arrivedAt - *requirements.maximumStaleness;
        return needsCurrentData(requirements) ? std::optional(requirements.arrivedAt) : std::nullopt;
    }

    // Adds the primary, if it can be reached, and the wait for a new one.
    void addPrimary(
        ReadPlan& plan, const ReadRequirements& requirements, const GroupView& view, std::optional<TimePoint> earliestConfirmationAt)
    {
        const ServerView* primary = view.primary ? view.find(*view.primary) : nullptr;
        if (primary && !primary->isReachable)
            primary = nullptr;
        plan.exhaustedError = primary ? ErrorKind::ReadNotCurrent : ErrorKind::NoPrimary;
        if (primary) {
            const LogPoint requiredPoint = requirements.tokenLogPoint.value_or(LogPoint { view.term, {} });
            const auto kind = earliestConfirmationAt ? ReadAttemptKind::ConfirmedPrimary : ReadAttemptKind::Primary;
            plan.attempts.push_back({ kind, primary->server, requiredPoint, earliestConfirmationAt, requirements.deadline });
        }
        plan.attempts.push_back({ ReadAttemptKind::WaitForPrimary, {}, {}, std::nullopt, requirements.deadline });
    }

    Result<void> checkRoutable(const ReadRequirements& requirements, const GroupView& view, TimePoint now)
    {
        if (now >= requirements.deadline)
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

Result<ReadPlan> ReadRouter::route(const ReadRequirements& requirements, const GroupView& view, TimePoint now, uint64_t salt) const
{
    BOOST_OUTCOME_TRYV(checkRoutable(requirements, view, now));
    ReadPlan plan;
    if (!needsCurrentData(requirements)) {
        this->addReplicas(plan, requirements, view, now, salt);
        if (plan.attempts.empty())
            this->addReplicaWait(plan, requirements, view, now);
    }
    addPrimary(plan, requirements, view, earliestNeededConfirmation(requirements));
    return plan;
}

void ReadRouter::addReplicas(
    ReadPlan& plan, const ReadRequirements& requirements, const GroupView& view, TimePoint now, uint64_t salt) const
{
    std::vector<ReadAttempt> nearAttempts;
    std::vector<ReadAttempt> farAttempts;
    for (const ServerView& server : view.servers) {
        const auto until = usableUntil(server, requirements, now);
        const bool holdsToken = !requirements.tokenLogPoint || holdsLogPoint(server.status.logPoint(), *requirements.tokenLogPoint);
        if (!isUsableReplica(server, view) || !holdsToken || !until)
            continue;
        auto& regionAttempts = server.region == requirements.region ? nearAttempts : farAttempts;
        regionAttempts.push_back(
            { ReadAttemptKind::Replica, server.server, requiredReplicaLogPoint(server, requirements), std::nullopt, *until });
    }
    rotateBySalt(nearAttempts, salt);
    rotateBySalt(farAttempts, salt);
    plan.attempts.insert(plan.attempts.end(), nearAttempts.begin(), nearAttempts.end());
    plan.attempts.insert(plan.attempts.end(), farAttempts.begin(), farAttempts.end());
}

void ReadRouter::addReplicaWait(ReadPlan& plan, const ReadRequirements& requirements, const GroupView& view, TimePoint now) const
{
    // Waiting helps only while a new write is being replicated. A replica that exceeds the maximum staleness does not meet
    // it later.
    if (requirements.maximumStaleness)
        return;
    const bool hasUsableReplica
        = std::any_of(view.servers.begin(), view.servers.end(), [&](const ServerView& server) { return isUsableReplica(server, view); });
    const Duration timeAllowed = requirements.deadline - requirements.arrivedAt;
    const TimePoint until
        = requirements.arrivedAt + std::min(this->settings.replicaWaitTimeout, timeAllowed / this->settings.replicaWaitDivisor);
    if (hasUsableReplica && until > now)
        plan.attempts.push_back({ ReadAttemptKind::WaitForReplica, {}, *requirements.tokenLogPoint, std::nullopt, until });
}

Result<ReadPlan> PrimaryOnlyReadRouter::route(const ReadRequirements& requirements, const GroupView& view, TimePoint now, uint64_t) const
{
    BOOST_OUTCOME_TRYV(checkRoutable(requirements, view, now));
    ReadPlan plan;
    addPrimary(plan, requirements, view, requirements.arrivedAt);
    return plan;
}

}
