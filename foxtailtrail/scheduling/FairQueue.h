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
    // The most entries that wait. One organisation may hold half of them.
    size_t maxLength = 256;
    // The slot time that an organisation receives per round.
    Duration quantum = std::chrono::milliseconds(5);
    // Statements expected to take longer hold at most half of the slots, as nobody else's should have to wait for their end.
    Duration slowThreshold = std::chrono::milliseconds(25);
};

// Deficit round robin over the organisations by the slot time they use.
//
// An organisation holds at most half of the slots, rounded up, while another one with room below that limit waits; without
// others it may hold all. Statements expected to be slow, of all organisations together, hold at most half of the slots, rounded
// down but at least one: nothing can take a slot back from a running statement, and the others' load must fit into what is left. So the
// queue is work-conserving but for slow statements. The expected cost is the larger of the entry's estimate and the
// organisation's recent average. While a statement of an organisation turns out to be slow, its next ones are expected to be slow
// too.
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
        // The statements that hold a slot and count as slow.
        uint32_t slowSlotsHeld = 0;
        // Slot time that the organisation may still use in this round. Negative after it used more.
        Duration credit { 0 };
        // The exponential average of the slot time of recent statements.
        Duration averageCost { 0 };
        // When the debt of an idle organisation was last reduced.
        TimePoint lastActiveAt;
        bool isInRound = false;
    };

    struct RunningEntry {
        OrganisationId organisation;
        Duration chargedCost { 0 };
        bool isSlow = false;
        // The statement counts as slow from here on, whatever was expected of it.
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
    // The organisations with waiting entries, in the order of their turns.
    std::list<OrganisationId> round;
    std::map<DeadlineKey, OrganisationId> deadlines;
    std::map<QueueEntryId, TimePoint> deadlineById;
    std::map<QueueEntryId, RunningEntry> runningEntries;
    uint32_t slowRunningCount = 0;
};

}
