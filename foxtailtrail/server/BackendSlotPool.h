#pragma once

#include "foxtailtrail/backend/ConnectionPool.h"
#include "foxtailtrail/scheduling/FairQueue.h"

#include <boost/fiber/future.hpp>
#include <map>
#include <memory>
#include <set>

namespace foxtail {

// Settings of a BackendSlotPool.
struct BackendSlotPoolSettings {
    ConnectionPoolSettings pool;
    FairQueueSettings queue;
};

// A slot of a backend server and the connection on which its statement runs.
struct BackendSlot {
    QueueEntryId entry;
    ConnectionLease connection;
    TimePoint startedAt;
};

// Load of a slot pool, as reported to operators.
struct BackendLoad {
    size_t slotsInUse = 0;
    size_t waitingCount = 0;
    size_t connectionCount = 0;
};

// The queue, slots and connections of one backend server. Used by one traffic thread only.
class BackendSlotPool {
public:
    explicit BackendSlotPool(BackendSlotPoolSettings);

    // Blocks the calling fiber until a slot and a connection are available. Fails with Overloaded, DeadlineExceeded, PeerUnavailable or
    // NotHome; in each case no statement has been sent.
    Result<BackendSlot> acquire(const OrganisationId&, TimePoint deadline);

    // Releases a slot whose connection is in a clean state and can be reused.
    void release(BackendSlot);

    // Releases a slot and closes its connection.
    void discard(BackendSlot);

    // Interrupts the running statements, which then fail with a lost connection, and ends all waits for a connection.
    void interruptRunning();

    // Sets the claim under which connections are opened. If it is empty, waiting requests fail with NotHome, running statements are
    // interrupted and new requests are refused.
    void setClaim(std::optional<uint64_t> epoch);

    // Returns the epoch of the claim. Empty if there is no claim or the server has refused it.
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
    // The number of calls to interruptRunning().
    uint64_t interruptionCount = 0;
};

}
