#include "foxtailtrail/scheduling/FairQueue.h"

#include <algorithm>
#include <iterator>

namespace foxtail {

namespace {

    // How long the average cost of an idle organisation is remembered.
    constexpr Duration idleMemory = std::chrono::seconds(60);

    // The weight of the newest statement in the average is one eighth.
    constexpr int averageWeight = 8;

}

FairQueue::FairQueue(FairQueueSettings chosen)
    : settings(chosen)
{
}

Duration FairQueue::expectedCost(const OrganisationQueue& tenant, const QueueEntry& entry) const
{
    return std::max(entry.estimatedCost, tenant.averageCost);
}

// The earliest start if every slot served this organisation only.
bool FairQueue::startsTooLate(const OrganisationQueue& tenant, const QueueEntry& entry, TimePoint now) const
{
    const auto ahead = static_cast<int64_t>(tenant.entries.size());
    return now + tenant.averageCost * ahead / std::max(1U, this->settings.slots) >= entry.deadline;
}

void FairQueue::removeIdleOrganisations(TimePoint now)
{
    std::erase_if(this->organisationQueues, [&](const auto& entry) {
        const OrganisationQueue& tenant = entry.second;
        return tenant.entries.empty() && tenant.slotsHeld == 0 && tenant.lastActiveAt + idleMemory <= now;
    });
}

// An organisation that was idle brings no credit along, and its debt has shrunk by the time that has passed.
void FairQueue::joinRound(const OrganisationId& organisation, OrganisationQueue& tenant, TimePoint now)
{
    if (tenant.isInRound)
        return;
    tenant.credit = std::min(Duration(0), tenant.credit + (now - tenant.lastActiveAt));
    tenant.isInRound = true;
    this->round.push_back(organisation);
}

Result<void> FairQueue::push(const QueueEntry& entry, TimePoint now)
{
    const size_t longest = this->settings.maxLength;
    if (this->waitingCount() >= longest)
        return fail(ErrorKind::Overloaded, "the queue of the backend server is full");
    if (!this->organisationQueues.contains(entry.organisation))
        this->removeIdleOrganisations(now);
    const auto [place, isNew] = this->organisationQueues.try_emplace(entry.organisation);
    OrganisationQueue& tenant = place->second;
    if (isNew)
        tenant.lastActiveAt = now;
    if (tenant.entries.size() >= std::max<size_t>(1, longest / 2))
        return fail(ErrorKind::Overloaded, "the organisation holds half of the backend server's queue");
    if (this->startsTooLate(tenant, entry, now))
        return fail(ErrorKind::DeadlineExceeded, "the deadline passes before a slot is expected to be free");
    this->joinRound(entry.organisation, tenant, now);
    tenant.entries.push_back(entry);
    this->deadlines.emplace(DeadlineKey { entry.deadline, entry.id }, entry.organisation);
    this->deadlineById.emplace(entry.id, entry.deadline);
    return succeed();
}

std::optional<QueueEntry> FairQueue::removeEntry(QueueEntryId id)
{
    const auto deadline = this->deadlineById.find(id);
    if (deadline == this->deadlineById.end())
        return std::nullopt;
    const auto key = this->deadlines.find({ deadline->second, id });
    const OrganisationId organisation = key->second;
    this->deadlines.erase(key);
    this->deadlineById.erase(deadline);
    OrganisationQueue& tenant = this->organisationQueues.at(organisation);
    const auto place = std::find_if(tenant.entries.begin(), tenant.entries.end(), [&](const QueueEntry& entry) { return entry.id == id; });
    QueueEntry entry = *place;
    tenant.entries.erase(place);
    if (tenant.entries.empty()) {
        tenant.isInRound = false;
        this->round.remove(organisation);
    }
    return entry;
}

bool FairQueue::cancel(QueueEntryId id) { return this->removeEntry(id).has_value(); }

void FairQueue::shedExpired(TimePoint now, std::vector<QueueEntry>& shed)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first.first <= now)
        shed.push_back(*this->removeEntry(this->deadlines.begin()->first.second));
}

bool FairQueue::isSlowAllowed() const { return this->slowRunningCount < std::max(1U, this->settings.slots / 2); }

// Marks the running statements that have taken longer than expected.
void FairQueue::markSlowEntries(TimePoint now)
{
    for (auto& [id, running] : this->runningEntries) {
        if (running.isSlow || running.slowAt > now)
            continue;
        running.isSlow = true;
        ++this->slowRunningCount;
        ++this->organisationQueues.at(running.organisation).slowSlotsHeld;
    }
}

bool FairQueue::mayRun(const OrganisationQueue& tenant) const
{
    if (tenant.slowSlotsHeld > 0)
        return this->isSlowAllowed();
    return this->expectedCost(tenant, tenant.entries.front()) <= this->settings.slowThreshold || this->isSlowAllowed();
}

// The organisation whose turn it is, or the end of the round when nothing may run.
std::list<OrganisationId>::iterator FairQueue::chooseOrganisation()
{
    // Organisations below their part of the slots come first; the others run only when none of these can.
    std::vector<std::list<OrganisationId>::iterator> candidates;
    for (const bool mustHaveRoom : { true, false }) {
        for (auto turn = this->round.begin(); turn != this->round.end(); ++turn) {
            const OrganisationQueue& tenant = this->organisationQueues.at(*turn);
            if (this->mayRun(tenant) && (!mustHaveRoom || tenant.slotsHeld < this->fairSlots()))
                candidates.push_back(turn);
        }
        if (!candidates.empty())
            break;
    }
    if (candidates.empty())
        return this->round.end();

    // Start as many rounds as it takes for one candidate to have credit. Nobody saves up more than a quantum.
    Duration best = Duration::min();
    for (const auto& turn : candidates)
        best = std::max(best, this->organisationQueues.at(*turn).credit);
    if (best <= Duration(0)) {
        const int64_t rounds = 1 + -best / this->settings.quantum;
        for (const OrganisationId& organisation : this->round) {
            OrganisationQueue& tenant = this->organisationQueues.at(organisation);
            tenant.credit = std::min(this->settings.quantum, tenant.credit + this->settings.quantum * rounds);
        }
    }
    return *std::find_if(
        candidates.begin(), candidates.end(), [&](const auto& turn) { return this->organisationQueues.at(*turn).credit > Duration(0); });
}

QueueEntry FairQueue::start(std::list<OrganisationId>::iterator turn, TimePoint now)
{
    const OrganisationId organisation = *turn;
    OrganisationQueue& tenant = this->organisationQueues.at(organisation);
    const Duration cost = this->expectedCost(tenant, tenant.entries.front());
    const RunningEntry running { organisation, cost > Duration(0) ? cost : this->settings.quantum, cost > this->settings.slowThreshold,
        now + this->settings.slowThreshold };
    tenant.credit -= running.chargedCost;
    ++tenant.slotsHeld;
    this->slowRunningCount += running.isSlow ? 1 : 0;
    tenant.slowSlotsHeld += running.isSlow ? 1 : 0;
    // An organisation without credit waits for its next round.
    if (tenant.credit <= Duration(0))
        this->round.splice(this->round.end(), this->round, turn);
    QueueEntry entry = *this->removeEntry(tenant.entries.front().id);
    this->runningEntries.emplace(entry.id, running);
    return entry;
}

DispatchResult FairQueue::dispatch(TimePoint now)
{
    DispatchResult turn;
    this->shedExpired(now, turn.shed);
    if (this->runningEntries.size() >= this->settings.slots)
        return turn;
    this->markSlowEntries(now);
    const auto chosen = this->chooseOrganisation();
    if (chosen != this->round.end())
        turn.run = this->start(chosen, now);
    return turn;
}

void FairQueue::releaseSlot(QueueEntryId id, Duration used, TimePoint now)
{
    const auto found = this->runningEntries.find(id);
    if (found == this->runningEntries.end())
        return;
    const RunningEntry running = found->second;
    this->runningEntries.erase(found);
    this->slowRunningCount -= running.isSlow ? 1 : 0;
    OrganisationQueue& tenant = this->organisationQueues.at(running.organisation);
    --tenant.slotsHeld;
    tenant.slowSlotsHeld -= running.isSlow ? 1 : 0;
    // The charge was an estimate until now.
    tenant.credit += running.chargedCost - used;
    tenant.averageCost += (used - tenant.averageCost) / (tenant.averageCost > Duration(0) ? averageWeight : 1);
    tenant.lastActiveAt = now;
}

}
