#include "foxtailtrail/server/BackendSlotPool.h"

#include "foxtailtrail/net/Clock.h"

#include <algorithm>

namespace foxtail {

namespace {

    constexpr Duration maxConnectionWait = std::chrono::milliseconds(50);

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
    // The connection pool retries an unreachable server until the deadline. A request must not wait that long, because another server may
    // have become primary in the meantime.
    const uint64_t initialInterruptionCount = this->interruptionCount;
    while (true) {
        Result<ConnectionLease> connection = this->pool->acquire(std::min(deadline, now() + maxConnectionWait));
        const bool canRetry = !connection && connection.error().kind == ErrorKind::DeadlineExceeded && now() < deadline;
        if (!canRetry)
            return connection;
        if (this->interruptionCount != initialInterruptionCount)
            return fail(ErrorKind::PeerUnavailable, "the backend server became unavailable while the request waited for a connection");
    }
}

Result<void> BackendSlotPool::awaitSlot(QueueEntryId entry, const OrganisationId& organisation, TimePoint deadline)
{
    if (!this->claim())
        return fail(ErrorKind::NotHome, "this VM does not hold the home of the backend server");
    BOOST_OUTCOME_TRY(this->queue.push({ entry, organisation, deadline }, now()));
    auto future = this->waiters[entry].get_future();
    this->dispatchQueued();
    if (future.wait_until(toSteady(deadline)) == boost::fibers::future_status::timeout && this->queue.cancel(entry)) {
        this->waiters.erase(entry);
        return fail(ErrorKind::DeadlineExceeded, "no slot became available before the deadline");
    }
    return future.get();
}

void BackendSlotPool::dispatchQueued()
{
    const auto completeWaiter = [this](QueueEntryId entry, Result<void> result) {
        const auto waiter = this->waiters.find(entry);
        if (waiter == this->waiters.end())
            return;
        waiter->second.set_value(std::move(result));
        this->waiters.erase(waiter);
    };
    bool hasProgress = true;
    while (hasProgress) {
        DispatchResult dispatched = this->queue.dispatch(now());
        for (const QueueEntry& entry : dispatched.shed)
            completeWaiter(entry.id, fail(ErrorKind::DeadlineExceeded, "the queue is too long to reach this request before its deadline"));
        if (dispatched.run)
            completeWaiter(dispatched.run->id, succeed());
        hasProgress = dispatched.run.has_value();
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
        const ConnectionLease releasedLease = std::move(slot.connection);
    }
    this->releaseQueueSlot(entry, startedAt);
}

void BackendSlotPool::discard(BackendSlot slot)
{
    // Discarding the lease drops its connection, so the connection is first removed from the set of running connections.
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
        waiter.set_value(fail(ErrorKind::NotHome, "this VM does not hold the home of the backend server"));
    }
    this->waiters.clear();
}

void BackendSlotPool::setSlots(uint32_t slots) { this->queue.setSlots(slots); }

BackendLoad BackendSlotPool::load() const { return { this->queue.runningCount(), this->queue.waitingCount(), this->pool->openCount() }; }

}
