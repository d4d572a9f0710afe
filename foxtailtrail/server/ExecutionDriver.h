#pragma once

#include "foxtailtrail/execution/Execution.h"
#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/server/BackendSlotPool.h"

#include <deque>
#include <functional>
#include <optional>

namespace foxtail {

// Blocks the calling fiber until the commit is durable, has been superseded, or the deadline has passed.
using DurabilityWait = std::function<Durability(LogPoint, TimePoint deadline)>;

// Performs the effects of an execution on one backend server and passes the resulting events back to it until it ends.
class ExecutionDriver {
public:
    // The slot pool must outlive the driver.
    ExecutionDriver(Execution&, BackendSlotPool&, BackendServerId, Term, OrganisationId, DurabilityWait);

    // Runs the execution and returns its last effect, an Answer or a ResolutionResult.
    ExecutionEffect run();

private:
    ExecutionEvent acquire();
    ExecutionEvent runStep(const RunStep&);
    ExecutionEvent awaitDurability(const AwaitDurability&);
    void releaseSlot(bool isReusable);
    // Performs an effect and returns the event that results from it, if any.
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
