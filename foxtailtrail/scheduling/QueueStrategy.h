#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace foxtail {

// Names a request in the queue of one backend server.
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
    // How long the caller of push() expects the request to hold its slot. Zero when not known.
    Duration estimatedCost { 0 };
};

// What to do next: run one entry, and answer the shed ones with DeadlineExceeded (not run).
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

    // Adds an entry. Fails with Overloaded when there is no room, or DeadlineExceeded when the entry cannot start in time.
    virtual Result<void> push(const QueueEntry&, TimePoint now) = 0;

    // Takes at most one entry out of the queue and gives it a slot. Call it until run is empty, after every push() and finished().
    virtual DispatchResult dispatch(TimePoint now) = 0;

    // Frees the slot of an entry that ran, with the time it held it.
    virtual void releaseSlot(QueueEntryId, Duration used, TimePoint now) = 0;

    // Takes an entry that has not started out of the queue. Returns false when it is not there.
    virtual bool cancel(QueueEntryId) = 0;

    // Changes the number of statements that may run at one time. Running ones are not affected.
    virtual void setSlots(uint32_t slots) = 0;

    virtual size_t waitingCount() const = 0;
    virtual size_t runningCount() const = 0;
};

}
