#include "foxtailtrail/scheduling/FifoQueue.h"

namespace foxtail {

FifoQueue::FifoQueue(uint32_t slots, size_t longest)
    : slotLimit(slots)
    , maxLength(longest)
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
    DispatchResult turn;
    while (!this->entries.empty() && this->entries.front().deadline <= now) {
        turn.shed.push_back(this->entries.front());
        this->entries.pop_front();
    }
    if (this->entries.empty() || this->runningIds.size() >= this->slotLimit)
        return turn;
    turn.run = this->entries.front();
    this->runningIds.insert(turn.run->id);
    this->entries.pop_front();
    return turn;
}

void FifoQueue::releaseSlot(QueueEntryId id, Duration, TimePoint) { this->runningIds.erase(id); }

bool FifoQueue::cancel(QueueEntryId id)
{
    return std::erase_if(this->entries, [&](const QueueEntry& entry) { return entry.id == id; }) > 0;
}

}
