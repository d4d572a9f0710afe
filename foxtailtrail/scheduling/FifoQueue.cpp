#include "foxtailtrail/scheduling/FifoQueue.h"

namespace foxtail {

FifoQueue::FifoQueue(uint32_t slots, size_t lengthLimit)
    : slotLimit(slots)
    , maxLength(lengthLimit)
{
}

Result<void> FifoQueue::push(const QueueEntry& entry, TimePoint)
{
    if (this->entries.size() >= this->maxLength)
        return fail(ErrorKind::Overloaded, "the queue of the backend server is full");
    this->entries.push_back(entry);
    return succeed();
}

DispatchResult FifoQueue::dispatch(TimePoint now)
{
    DispatchResult result;
    while (!this->entries.empty() && this->entries.front().deadline <= now) {
        result.shed.push_back(this->entries.front());
        this->entries.pop_front();
    }
    if (this->entries.empty() || this->runningIds.size() >= this->slotLimit)
        return result;
    result.run = this->entries.front();
    this->runningIds.insert(result.run->id);
    this->entries.pop_front();
    return result;
}

void FifoQueue::releaseSlot(QueueEntryId id, Duration, TimePoint) { this->runningIds.erase(id); }

bool FifoQueue::cancel(QueueEntryId id)
{
    return std::erase_if(this->entries, [&](const QueueEntry& entry) { return entry.id == id; }) > 0;
}

}
