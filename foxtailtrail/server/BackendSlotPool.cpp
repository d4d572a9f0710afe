#include "foxtailtrail/server/BackendSlotPool.h"

#include "foxtailtrail/net/Clock.h"

#include <algorithm>

namespace foxtail {

namespace {

    constexpr Duration longestConnectionWait = std::chrono::milliseconds(50);

}

BackendSlotPool::BackendSlotPool(BackendSlotPoolSettings settings)
    : queue(settings.queue)
    , pool(ConnectionPool::create(std::move(settings.pool)))
{
}

Result<BackendSlot> BackendSlotPool::acquire(const OrganisationId& organisation, TimePoint deadline)
{
    const QueueEntryId entry { ++this->lastEntryId };
    BOOST_OUTCOME_TRY(this->awaitSlot(entry, organisation, deadline));
    const TimePoint startedAt = now();
    Result<ConnectionLease> connection = this->awaitConnection(deadline);
    if (!connection) {
        this->releaseQueueSlot(entry, startedAt);
        return connection.error();
    }
    this->runningConnections.insert(&*connection.value());
    return BackendSlot { entry, std::move(connection.value()), startedAt };
}

Result<ConnectionLease> BackendSlotPool::awaitConnection(TimePoint deadline)
{
    // The pool keeps trying a server that is down until the deadline. A request must not wait that long: another server may
    // have become primary meanwhile.
    const uint64_t startInterruptions = this->interruptionCount;
    while (true) {
        Result<ConnectionLease> connection = this->pool->acquire(std::min(deadline, now() + longestConnectionWait));
        const bool mayWaitOn = !connection && connection.error().kind == ErrorKind::DeadlineExceeded && now() < deadline;
        if (!mayWaitOn)
            return connection;
        if (this->interruptionCount != startInterruptions)
            return fail(ErrorKind::PeerUnavailable, "the backend server was lost while the request waited for a connection");
    }
}

Result<void> BackendSlotPool::awaitSlot(QueueEntryId entry, const OrganisationId& organisation, TimePoint deadline)
{
    if (!this->claim())
        return fail(ErrorKind::NotHome, "the home of the backend server moved");
    BOOST_OUTCOME_TRY(this->queue.push({ entry, organisation, deadline }, now()));
    auto future = this->waiters[entry].get_future();
    this->dispatchQueued();
    if (future.wait_until(toSteady(deadline)) == boost::fibers::future_status::timeout && this->queue.cancel(entry)) {
        this->waiters.erase(entry);
        return fail(ErrorKind::DeadlineExceeded, "no slot became free in time");
    }
    return future.get();
}

void BackendSlotPool::dispatchQueued()
{
    const auto settle = [this](QueueEntryId entry, Result<void> result) {
        const auto waiter = this->waiters.find(entry);
        if (waiter == this->waiters.end())
            return;
        waiter->second.set_value(std::move(result));
        this->waiters.erase(waiter);
    };
    bool progress = true;
    while (progress) {
        DispatchResult turn = this->queue.dispatch(now());
        for (const QueueEntry& entry : turn.shed)
            settle(entry.id, fail(ErrorKind::DeadlineExceeded, "the queue is too long for the deadline"));
        if (turn.run)
            settle(turn.run->id, succeed());
        progress = turn.run.has_value();
    }
}

void BackendSlotPool::releaseQueueSlot(QueueEntryId entry, TimePoint startedAt)
{
    this->queue.releaseSlot(entry, now() - startedAt, now());
    this->dispatchQueued();
}

void BackendSlotPool::release(BackendSlot slot)
{
    this->runningConnections.erase(&*slot.connection);
    const QueueEntryId entry = slot.entry;
    const TimePoint startedAt = slot.startedAt;
    {
        const ConnectionLease ended = std::move(slot.connection);
    }
    this->releaseQueueSlot(entry, startedAt);
}

void BackendSlotPool::discard(BackendSlot slot)
{
    // The lease forgets its connection, so the connection leaves the set of running ones first.
    this->runningConnections.erase(&*slot.connection);
    slot.connection.discard();
    this->release(std::move(slot));
}

void BackendSlotPool::interruptRunning()
{
    ++this->interruptionCount;
    for (BackendConnection* connection : this->runningConnections)
        connection->interrupt();
}

void BackendSlotPool::setClaim(std::optional<uint64_t> epoch)
{
    if (epoch == this->claim())
        return;
    this->interruptRunning();
    if (epoch) {
        this->pool->setClaim(*epoch);
        return;
    }
    this->pool->clearClaim();
    for (auto& [entry, waiter] : this->waiters) {
        this->queue.cancel(entry);
        waiter.set_value(fail(ErrorKind::NotHome, "the home of the backend server moved"));
    }
    this->waiters.clear();
}

void BackendSlotPool::setSlots(uint32_t slots) { this->queue.setSlots(slots); }

BackendLoad BackendSlotPool::load() const { return { this->queue.runningCount(), this->queue.waitingCount(), this->pool->openCount() }; }

}
