#pragma once

#include "foxtailtrail/execution/Execution.h"
#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/server/BackendSlotPool.h"

#include <deque>
#include <functional>
#include <optional>

namespace foxtail {

// Blocks the calling fiber until the commit is durable, superseded or the deadline has passed.
using DurabilityWait = std::function<Durability(LogPoint, TimePoint deadline)>;

// Performs the effects of one execution at one backend server and feeds back what happened, until it is over.
class ExecutionDriver {
public:
    // The lane must outlive the driver.
    ExecutionDriver(Execution&, BackendSlotPool&, BackendServerId, Term, OrganisationId, DurabilityWait);

    // Runs the execution and returns its last effect, an Answer or a Resolved.
    ExecutionEffect run();

private:
    ExecutionEvent acquire();
    ExecutionEvent runStep(const RunStep&);
    ExecutionEvent awaitDurability(const AwaitDurability&);
    void releaseSlot(bool reusable);
    // The event that follows from an effect, if any.
    std::optional<ExecutionEvent> perform(const ExecutionEffect&);

    Execution& execution;
    BackendSlotPool& slotPool;
    BackendServerId server;
    Term term;
    OrganisationId organisation;
    DurabilityWait durabilityWait;
    std::optional<BackendSlot> slot;
};

}
