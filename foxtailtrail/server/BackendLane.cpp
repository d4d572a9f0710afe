#include "foxtailtrail/server/BackendLane.h"

#include "foxtailtrail/net/Clock.h"

namespace foxtail {

BackendLane::BackendLane(BackendLaneSettings settings)
    : queue(settings.queue)
    , pool(ConnectionPool::create(std::move(settings.pool)))
{
}

Result<LaneSlot> BackendLane::acquire(const OrganisationId& organisation, TimePoint deadline)
{
    const QueueEntryId entry { ++this->lastEntry };
    BOOST_OUTCOME_TRY(this->awaitSlot(entry, organisation, deadline));
    const TimePoint startedAt = now();
    Result<ConnectionLease> connection = this->pool->acquire(deadline);
    if (!connection) {
        this->finish(entry, startedAt);
        return connection.error();
    }
    this->running.insert(&*connection.value());
    return LaneSlot { entry, std::move(connection.value()), startedAt };
}

Result<void> BackendLane::awaitSlot(QueueEntryId entry, const OrganisationId& organisation, TimePoint deadline)
{
    if (!this->claim())
        return fail(ErrorKind::NotHome, "the home of the backend server moved");
    BOOST_OUTCOME_TRY(this->queue.push({ entry, organisation, deadline }, now()));
    auto future = this->waiting[entry].get_future();
    this->pump();
    if (future.wait_until(toSteady(deadline)) == boost::fibers::future_status::timeout && this->queue.cancel(entry)) {
        this->waiting.erase(entry);
        return fail(ErrorKind::DeadlineExceeded, "no slot became free in time");
    }
    return future.get();
}

void BackendLane::pump()
{
    const auto settle = [this](QueueEntryId entry, Result<void> result) {
        const auto waiter = this->waiting.find(entry);
        if (waiter == this->waiting.end())
            return;
        waiter->second.set_value(std::move(result));
        this->waiting.erase(waiter);
    };
    bool progress = true;
    while (progress) {
        QueueTurn turn = this->queue.next(now());
        for (const QueueEntry& entry : turn.shed)
            settle(entry.id, fail(ErrorKind::DeadlineExceeded, "the queue is too long for the deadline"));
        if (turn.run)
            settle(turn.run->id, succeed());
        progress = turn.run.has_value();
    }
}

void BackendLane::finish(QueueEntryId entry, TimePoint startedAt)
{
    this->queue.finished(entry, now() - startedAt, now());
    this->pump();
}

void BackendLane::release(LaneSlot slot)
{
    this->running.erase(&*slot.connection);
    const QueueEntryId entry = slot.entry;
    const TimePoint startedAt = slot.startedAt;
    {
        const ConnectionLease ended = std::move(slot.connection);
    }
    this->finish(entry, startedAt);
}

void BackendLane::discard(LaneSlot slot)
{
    slot.connection.discard();
    this->release(std::move(slot));
}

void BackendLane::interruptRunning()
{
    for (BackendConnection* connection : this->running)
        connection->interrupt();
}

void BackendLane::setClaim(std::optional<uint64_t> epoch)
{
    if (epoch == this->claim())
        return;
    this->interruptRunning();
    if (epoch) {
        this->pool->setClaim(*epoch);
        return;
    }
    this->pool->dropClaim();
    for (auto& [entry, waiter] : this->waiting) {
        this->queue.cancel(entry);
        waiter.set_value(fail(ErrorKind::NotHome, "the home of the backend server moved"));
    }
    this->waiting.clear();
}

void BackendLane::setSlots(uint32_t slots)
{
    this->queue.setSlots(slots);
}

LaneLoad BackendLane::load() const
{
    return { this->queue.running(), this->queue.waiting(), this->pool->openCount() };
}

}
