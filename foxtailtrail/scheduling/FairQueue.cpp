#include "foxtailtrail/scheduling/FairQueue.h"

#include <algorithm>
#include <iterator>

namespace foxtail {

namespace {

    // The time for which the average cost of an idle organisation is kept.
    constexpr Duration idleOrganisationLifetime = std::chrono::seconds(60);

    // The newest statement has a weight of one eighth in the average.
    constexpr int averagingDivisor = 8;

}

FairQueue::FairQueue(FairQueueSettings initialSettings)
    : settings(initialSettings)
{
}

Duration FairQueue::expectedCost(const OrganisationQueue& queue, const QueueEntry& entry) const
{
    return std::max(entry.estimatedCost, queue.averageCost);
}

// Returns whether the deadline passes before the entry can start, even if every slot served only this organisation.
bool FairQueue::startsTooLate(const OrganisationQueue& queue, const QueueEntry& entry, TimePoint now) const
{
    const auto entriesAhead = static_cast<int64_t>(queue.entries.size());
    return now + queue.averageCost * entriesAhead / std::max(1U, this->settings.slots) >= entry.deadline;
}

void FairQueue::removeIdleOrganisations(TimePoint now)
{
    std::erase_if(this->organisationQueues, [&](const auto& entry) {
        const OrganisationQueue& queue = entry.second;
        return queue.entries.empty() && queue.slotsHeld == 0 && queue.lastActiveAt + idleOrganisationLifetime <= now;
    });
}

// An idle organisation keeps no credit, and its debt shrinks by the time for which it was idle.
void FairQueue::joinRound(const OrganisationId& organisation, OrganisationQueue& queue, TimePoint now)
{
    if (queue.isInRound)
        return;
    queue.credit = std::min(Duration(0), queue.credit + (now - queue.lastActiveAt));
    queue.isInRound = true;
    this->round.push_back(organisation);
}

Result<void> FairQueue::push(const QueueEntry& entry, TimePoint now)
{
    const size_t lengthLimit = this->settings.maxLength;
    if (this->waitingCount() >= lengthLimit)
        return fail(ErrorKind::Overloaded, "the queue of the backend server is full");
    if (!this->organisationQueues.contains(entry.organisation))
        this->removeIdleOrganisations(now);
    const auto [place, isNew] = this->organisationQueues.try_emplace(entry.organisation);
    OrganisationQueue& queue = place->second;
    if (isNew)
        queue.lastActiveAt = now;
    if (queue.entries.size() >= std::max<size_t>(1, lengthLimit / 2))
        return fail(ErrorKind::Overloaded, "the organisation fills half of the backend server's queue");
    if (this->startsTooLate(queue, entry, now))
        return fail(ErrorKind::DeadlineExceeded, "the deadline passes before a slot is expected to be free");
    this->joinRound(entry.organisation, queue, now);
    queue.entries.push_back(entry);
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
    OrganisationQueue& queue = this->organisationQueues.at(organisation);
    const auto place = std::find_if(queue.entries.begin(), queue.entries.end(), [&](const QueueEntry& entry) { return entry.id == id; });
    QueueEntry entry = *place;
    queue.entries.erase(place);
    if (queue.entries.empty()) {
        queue.isInRound = false;
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

// Marks running statements that exceeded the slow threshold as slow.
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

bool FairQueue::mayRun(const OrganisationQueue& queue) const
{
    if (queue.slowSlotsHeld > 0)
        return this->isSlowAllowed();
    return this->expectedCost(queue, queue.entries.front()) <= this->settings.slowThreshold || this->isSlowAllowed();
}

// Returns the organisation to serve next, or the end of the round if no organisation may run a statement.
std::list<OrganisationId>::iterator FairQueue::chooseOrganisation()
{
    // Organisations below their fair number of slots come first; the others run only if none of these can.
    std::vector<std::list<OrganisationId>::iterator> candidates;
    for (const bool mustHaveRoom : { true, false }) {
        for (auto position = this->round.begin(); position != this->round.end(); ++position) {
            const OrganisationQueue& queue = this->organisationQueues.at(*position);
            if (this->mayRun(queue) && (!mustHaveRoom || queue.slotsHeld < this->fairSlots()))
                candidates.push_back(position);
        }
        if (!candidates.empty())
            break;
    }
    if (candidates.empty())
        return this->round.end();

    // Starts as many rounds as one candidate needs to have credit. Credit is capped at one quantum.
    Duration highestCredit = Duration::min();
    for (const auto& position : candidates)
        highestCredit = std::max(highestCredit, this->organisationQueues.at(*position).credit);
    if (highestCredit <= Duration(0)) {
        const int64_t rounds = 1 + -highestCredit / this->settings.quantum;
        for (const OrganisationId& organisation : this->round) {
            OrganisationQueue& queue = this->organisationQueues.at(organisation);
            queue.credit = std::min(this->settings.quantum, queue.credit + this->settings.quantum * rounds);
        }
    }
    return *std::find_if(candidates.begin(), candidates.end(),
        [&](const auto& position) { return this->organisationQueues.at(*position).credit > Duration(0); });
}

QueueEntry FairQueue::start(std::list<OrganisationId>::iterator position, TimePoint now)
{
    const OrganisationId organisation = *position;
    OrganisationQueue& queue = this->organisationQueues.at(organisation);
    const Duration cost = this->expectedCost(queue, queue.entries.front());
    const RunningEntry running { organisation, cost > Duration(0) ? cost : this->settings.quantum, cost > this->settings.slowThreshold,
        now + this->settings.slowThreshold };
    queue.credit -= running.chargedCost;
    ++queue.slotsHeld;
    this->slowRunningCount += running.isSlow ? 1 : 0;
    queue.slowSlotsHeld += running.isSlow ? 1 : 0;
    // An organisation without credit moves to the end of the round.
    if (queue.credit <= Duration(0))
        this->round.splice(this->round.end(), this->round, position);
    QueueEntry entry = *this->removeEntry(queue.entries.front().id);
    this->runningEntries.emplace(entry.id, running);
    return entry;
}

DispatchResult FairQueue::dispatch(TimePoint now)
{
    DispatchResult result;
    this->shedExpired(now, result.shed);
    if (this->runningEntries.size() >= this->settings.slots)
        return result;
    this->markSlowEntries(now);
    const auto chosen = this->chooseOrganisation();
    if (chosen != this->round.end())
        result.run = this->start(chosen, now);
    return result;
}

void FairQueue::releaseSlot(QueueEntryId id, Duration used, TimePoint now)
{
    const auto found = this->runningEntries.find(id);
    if (found == this->runningEntries.end())
        return;
    const RunningEntry running = found->second;
    this->runningEntries.erase(found);
    this->slowRunningCount -= running.isSlow ? 1 : 0;
    OrganisationQueue& queue = this->organisationQueues.at(running.organisation);
    --queue.slotsHeld;
    queue.slowSlotsHeld -= running.isSlow ? 1 : 0;
    // Replaces the estimated charge with the slot time that was used.
    queue.credit += running.chargedCost - used;
    queue.averageCost += (used - queue.averageCost) / (queue.averageCost > Duration(0) ? averagingDivisor : 1);
    queue.lastActiveAt = now;
}

}
