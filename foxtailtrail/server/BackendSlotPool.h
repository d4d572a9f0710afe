#pragma once

#include "foxtailtrail/backend/ConnectionPool.h"
#include "foxtailtrail/scheduling/FairQueue.h"

#include <boost/fiber/future.hpp>
#include <map>
#include <memory>
#include <set>

namespace foxtail {

// What a BackendLane is built from.
struct BackendSlotPoolSettings {
    ConnectionPoolSettings pool;
    FairQueueSettings queue;
};

// A slot of a backend server together with the connection that the statement runs on.
struct BackendSlot {
    QueueEntryId entry;
    ConnectionLease connection;
    TimePoint startedAt;
};

// How busy a lane is, for operators.
struct BackendLoad {
    size_t slotsInUse = 0;
    size_t waitingCount = 0;
    size_t connectionCount = 0;
};

// The queue, the slots and the connections of one backend server. It belongs to one traffic thread.
class BackendSlotPool {
public:
    explicit BackendSlotPool(BackendSlotPoolSettings);

    // Blocks the calling fiber until there is a slot and a connection. Fails with Overloaded, DeadlineExceeded, PeerUnavailable or
    // NotHome; nothing has been sent then.
    Result<BackendSlot> acquire(const OrganisationId&, TimePoint deadline);

    // Gives a slot back with its connection in a clean state.
    void release(BackendSlot);

    // Gives a slot back and closes its connection.
    void discard(BackendSlot);

    // Ends the statements that run now, whose fibers see a lost connection, and the waits for a connection.
    void interruptRunning();

    // Takes over the claim under which connections are opened. Without one, what waits fails with NotHome, what runs is
    // interrupted, and nothing is admitted.
    void setClaim(std::optional<uint64_t> epoch);

    // The epoch of the claim. Empty without one, also after the server has refused it.
    std::optional<uint64_t> claim() const { return this->pool->claim(); }

    void setSlots(uint32_t slots);
    BackendLoad load() const;

private:
    Result<void> awaitSlot(QueueEntryId, const OrganisationId&, TimePoint deadline);
    Result<ConnectionLease> awaitConnection(TimePoint deadline);
    void dispatchQueued();
    void releaseQueueSlot(QueueEntryId, TimePoint startedAt);

    FairQueue queue;
    std::shared_ptr<ConnectionPool> pool;
    uint64_t lastEntryId = 0;
    std::map<QueueEntryId, boost::fibers::promise<Result<void>>> waiters;
    std::set<BackendConnection*> runningConnections;
    // Counts the calls of interruptRunning().
    uint64_t interruptionCount = 0;
};

}
