#pragma once

#include "foxtailtrail/scheduling/QueueStrategy.h"

#include <deque>
#include <set>

namespace foxtail {

// The baseline: one queue in the order of arrival for all organisations.
class FifoQueue final : public QueueStrategy {
public:
    FifoQueue(uint32_t slots, size_t maximumLength);

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
