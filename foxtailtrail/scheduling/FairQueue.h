#pragma once

#include "foxtailtrail/scheduling/QueueStrategy.h"

#include <deque>
#include <list>
#include <map>
#include <set>

namespace foxtail {

// Settings of FairQueue.
struct FairQueueSettings {
    uint32_t slots = 1;
    // The maximum number of waiting entries. One organisation may hold half of them.
    size_t maxLength = 256;
    // The slot time that an organisation receives per round.
    Duration quantum = std::chrono::milliseconds(5);
    // Statements expected to take longer are slow and hold at most half of the slots, so that other statements do not wait for them
    // to end.
    Duration slowThreshold = std::chrono::milliseconds(25);
};

// Deficit round robin over the organisations by the slot time that they use.
//
// An organisation holds at most half of the slots, rounded up, while another one that is below that limit waits; otherwise it may
// hold all of them. The slow statements of all organisations together hold at most half of the slots, rounded down but at least
// one: a running statement cannot be preempted, and the load of the others must fit into the remaining slots. The queue is
// therefore work-conserving except for slow statements. The expected cost is the larger of the entry's estimate and the
// organisation's average cost. While an organisation runs a statement that turned out to be slow, its next statements are expected
// to be slow as well.
class FairQueue final : public QueueStrategy {
public:
    explicit FairQueue(FairQueueSettings);

    Result<void> push(const QueueEntry&, TimePoint now) override;
    DispatchResult dispatch(TimePoint now) override;
    void releaseSlot(QueueEntryId, Duration used, TimePoint now) override;
    bool cancel(QueueEntryId) override;
    void setSlots(uint32_t slots) override { this->settings.slots = slots; }
    size_t waitingCount() const override { return this->deadlines.size(); }
    size_t runningCount() const override { return this->runningEntries.size(); }

private:
    struct OrganisationQueue {
        std::deque<QueueEntry> entries;
        uint32_t slotsHeld = 0;
        // The number of slots held by slow statements.
        uint32_t slowSlotsHeld = 0;
        // Slot time that the organisation may still use in this round. Negative after it used more.
        Duration credit { 0 };
        // The exponential average of the slot time of recent statements.
        Duration averageCost { 0 };
        // The time of the last change, from which the debt of an idle organisation shrinks.
        TimePoint lastActiveAt;
        bool isInRound = false;
    };

    struct RunningEntry {
        OrganisationId organisation;
        Duration chargedCost { 0 };
        bool isSlow = false;
        // From this time on the statement counts as slow, whatever its expected cost was.
        TimePoint slowAt;
    };

    using DeadlineKey = std::pair<TimePoint, QueueEntryId>;

    Duration expectedCost(const OrganisationQueue&, const QueueEntry&) const;
    bool startsTooLate(const OrganisationQueue&, const QueueEntry&, TimePoint now) const;
    void joinRound(const OrganisationId&, OrganisationQueue&, TimePoint now);
    void shedExpired(TimePoint now, std::vector<QueueEntry>&);
    std::optional<QueueEntry> removeEntry(QueueEntryId);
    bool mayRun(const OrganisationQueue&) const;
    bool isSlowAllowed() const;
    void markSlowEntries(TimePoint now);
    uint32_t fairSlots() const { return (this->settings.slots + 1) / 2; }
    std::list<OrganisationId>::iterator chooseOrganisation();
    QueueEntry start(std::list<OrganisationId>::iterator, TimePoint now);
    void removeIdleOrganisations(TimePoint now);

    FairQueueSettings settings;
    std::map<OrganisationId, OrganisationQueue> organisationQueues;
    // The organisations with waiting entries, in round robin order.
    std::list<OrganisationId> round;
    std::map<DeadlineKey, OrganisationId> deadlines;
    std::map<QueueEntryId, TimePoint> deadlineById;
    std::map<QueueEntryId, RunningEntry> runningEntries;
    uint32_t slowRunningCount = 0;
};

}
