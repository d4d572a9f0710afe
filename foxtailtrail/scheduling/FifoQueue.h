#pragma once

#include "foxtailtrail/scheduling/QueueStrategy.h"

#include <deque>
#include <set>

namespace foxtail {

// The baseline for comparison: one queue for all organisations, in the order of arrival.
class FifoQueue final : public QueueStrategy {
public:
    FifoQueue(uint32_t slots, size_t lengthLimit);

    Result<void> push(const QueueEntry&, TimePoint now) override;
    DispatchResult dispatch(TimePoint now) override;
    void releaseSlot(QueueEntryId, Duration used, TimePoint now) override;
    bool cancel(QueueEntryId) override;
    void setSlots(uint32_t slots) override { this->slotLimit = slots; }
    size_t waitingCount() const override { return this->entries.size(); }
    size_t runningCount() const override { return this->runningIds.size(); }

private:
    uint32_t slotLimit;
    size_t maxLength;
    std::deque<QueueEntry> entries;
    std::set<QueueEntryId> runningIds;
};

}
