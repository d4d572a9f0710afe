#include "foxtailtrail/failover/DurabilityTracker.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace foxtail {

QuorumObservations::QuorumObservations(std::vector<BackendServerId> group)
{
    for (auto& server : group)
        this->servers.push_back({ std::move(server), std::nullopt, {} });
}

void QuorumObservations::observe(const BackendServerId& server, TimePoint sentAt, const ServerStatus& status)
{
    for (Observation& observation : this->servers) {
        if (observation.server == server && (!observation.sentAt || *observation.sentAt < sentAt)) {
            observation.sentAt = sentAt;
            observation.status = status;
        }
    }
}

size_t QuorumObservations::holderCount(LogPoint commit) const
{
    return static_cast<size_t>(std::count_if(this->servers.begin(), this->servers.end(), [&](const Observation& observation) {
        return observation.sentAt && observation.status.isInTerm(commit.term) && observation.status.position >= commit.position;
    }));
}

size_t QuorumObservations::higherPromiseCount(Term term) const
{
    return static_cast<size_t>(std::count_if(this->servers.begin(), this->servers.end(),
        [&](const Observation& observation) { return observation.sentAt && observation.status.promisedTerm > term; }));
}

std::optional<TimePoint> QuorumObservations::termConfirmedAt(Term term) const
{
    std::vector<TimePoint> sendTimes;
    for (const Observation& observation : this->servers) {
        if (observation.sentAt && observation.status.promisedTerm == term)
            sendTimes.push_back(*observation.sentAt);
    }
    if (sendTimes.size() < this->majority())
        return std::nullopt;
    std::sort(sendTimes.begin(), sendTimes.end(), std::greater<>());
    return sendTimes[this->majority() - 1];
}

Durability MajorityAcknowledgement::evaluate(LogPoint commit, const QuorumObservations& observations) const
{
    // A server in the commit's term cannot hold the commit before it happened, so all counted reports are later than the
    // commit.
    if (observations.holderCount(commit) >= observations.majority())
        return Durability::Durable;
    return observations.higherPromiseCount(commit.term) >= observations.majority() ? Durability::Superseded : Durability::Pending;
}

Durability PrimaryOnlyAcknowledgement::evaluate(LogPoint, const QuorumObservations&) const { return Durability::Durable; }

DurabilityTracker::DurabilityTracker(std::vector<BackendServerId> group, std::shared_ptr<const AcknowledgementStrategy> strategy)
    : observations(std::move(group))
    , strategy(std::move(strategy))
{
    assert(this->strategy);
}

void DurabilityTracker::changeGroup(std::vector<BackendServerId> group) { this->observations = QuorumObservations(std::move(group)); }

DurabilityTicket DurabilityTracker::track(LogPoint commit, TimePoint deadline)
{
    const DurabilityTicket ticket { ++this->lastTicket };
    this->pending.push_back({ ticket, commit, deadline });
    return ticket;
}

void DurabilityTracker::observe(const BackendServerId& server, TimePoint sentAt, const ServerStatus& status)
{
    this->observations.observe(server, sentAt, status);
}

std::vector<DurabilityOutcome> DurabilityTracker::collectOutcomes(TimePoint now)
{
    std::vector<DurabilityOutcome> outcomes;
    std::vector<PendingCommit> stillPending;
    for (const PendingCommit& pendingCommit : this->pending) {
        Durability durability = this->strategy->evaluate(pendingCommit.commit, this->observations);
        if (durability == Durability::Pending && now >= pendingCommit.deadline)
            durability = Durability::Expired;
        if (durability == Durability::Pending) {
            stillPending.push_back(pendingCommit);
        } else {
            outcomes.push_back({ pendingCommit.ticket, pendingCommit.commit, durability });
        }
    }
    this->pending = std::move(stillPending);
    return outcomes;
}

bool DurabilityTracker::isTermConfirmed(Term term, TimePoint since) const
{
    const auto confirmedAt = this->observations.termConfirmedAt(term);
    return confirmedAt && *confirmedAt >= since;
}

}
