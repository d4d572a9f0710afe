#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace foxtail {

// Identifies a request in the queue of one backend server.
struct QueueEntryId {
    uint64_t value = 0;
    bool operator==(const QueueEntryId&) const = default;
    bool operator<(const QueueEntryId& other) const { return this->value < other.value; }
};

// A request that waits for a slot.
struct QueueEntry {
    QueueEntryId id;
    OrganisationId organisation;
    TimePoint deadline;
    // The time for which the request is expected to hold its slot. Zero if unknown.
    Duration estimatedCost { 0 };
};

// The entry to run now, and the expired entries to fail with DeadlineExceeded (not run).
struct DispatchResult {
    std::optional<QueueEntry> run;
    std::vector<QueueEntry> shed;
};

// The queue and the slots of one backend server.
class QueueStrategy {
public:
    QueueStrategy() = default;
    QueueStrategy(const QueueStrategy&) = delete;
    QueueStrategy& operator=(const QueueStrategy&) = delete;
    virtual ~QueueStrategy() = default;

    // Adds an entry. Fails with Overloaded if the queue is full, or with DeadlineExceeded if the entry cannot start in time.
    virtual Result<void> push(const QueueEntry&, TimePoint now) = 0;

    // Removes at most one entry from the queue and gives it a slot. Must be called after every push() and releaseSlot() until run
    // is empty.
    virtual DispatchResult dispatch(TimePoint now) = 0;

    // Frees the slot of an entry that ran, with the time for which it was held.
    virtual void releaseSlot(QueueEntryId, Duration used, TimePoint now) = 0;

    // Removes an entry that has not started. Returns false if it is not in the queue.
    virtual bool cancel(QueueEntryId) = 0;

    // Changes the number of statements that may run concurrently. Running statements are not affected.
    virtual void setSlots(uint32_t slots) = 0;

    virtual size_t waitingCount() const = 0;
    virtual size_t runningCount() const = 0;
};

}
