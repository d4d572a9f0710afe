#include "foxtailtrail/server/ExecutionDriver.h"

#include "foxtailtrail/net/Clock.h"

namespace foxtail {

ExecutionDriver::ExecutionDriver(Execution& execution, BackendSlotPool& pool, BackendServerId server, Term term,
    OrganisationId organisation, DurabilityWait durabilityWait)
    : execution(execution)
    , slotPool(pool)
    , server(std::move(server))
    , term(term)
    , organisation(std::move(organisation))
    , durabilityWait(std::move(durabilityWait))
{
}

ExecutionEffect ExecutionDriver::run()
{
    ExecutionEffects effects = this->execution.start();
    std::deque<ExecutionEffect> pendingEffects(effects.begin(), effects.end());
    while (!pendingEffects.empty()) {
        ExecutionEffect effect = std::move(pendingEffects.front());
        pendingEffects.pop_front();
        if (std::holds_alternative<Answer>(effect) || std::holds_alternative<ResolutionResult>(effect)) {
            if (this->slot)
                this->releaseSlot(false);
            return effect;
        }
        const std::optional<ExecutionEvent> event = this->perform(effect);
        if (!event)
            continue;
        for (ExecutionEffect& next : this->execution.handle(*event))
            pendingEffects.push_back(std::move(next));
    }
    if (this->slot)
        this->releaseSlot(false);
    return Answer { fail(ErrorKind::Internal, "the execution ended without an outcome") };
}

std::optional<ExecutionEvent> ExecutionDriver::perform(const ExecutionEffect& effect)
{
    if (std::holds_alternative<AcquireConnection>(effect))
        return this->acquire();
    if (const auto* step = std::get_if<RunStep>(&effect))
        return this->runStep(*step);
    if (const auto* wait = std::get_if<AwaitDurability>(&effect))
        return this->awaitDurability(*wait);
    this->releaseSlot(std::holds_alternative<ReturnConnection>(effect));
    return std::nullopt;
}

ExecutionEvent ExecutionDriver::acquire()
{
    Result<BackendSlot> acquired = this->slotPool.acquire(this->organisation, this->execution.deadline());
    if (!acquired)
        return QueueRefused { acquired.error() };
    this->slot.emplace(std::move(acquired.value()));
    return ConnectionReady { this->server, this->term };
}

ExecutionEvent ExecutionDriver::runStep(const RunStep& step)
{
    BackendConnection& connection = *this->slot->connection;
    Result<QueryResult> result = connection.query(step.statement.sql, step.statement.params, this->execution.deadline());
    if (result) {
        QueryResult& value = result.value();
        return StepSucceeded { step.step, { std::move(value.columns), std::move(value.rows), value.rowCount }, value.commandTag };
    }
    if (connection.isOpen())
        return StepFailed { step.step, connection.lastSqlState(), result.error().detail };
    if (now() >= this->execution.deadline())
        return DeadlinePassed {};
    return ConnectionLost { result.error().kind != ErrorKind::PeerUnavailable };
}

ExecutionEvent ExecutionDriver::awaitDurability(const AwaitDurability& wait)
{
    const Durability durability = this->durabilityWait(wait.point, this->execution.deadline());
    if (durability == Durability::Durable)
        return DurabilityReached { wait.point };
    if (durability == Durability::Superseded)
        return TermAdvanced { Term { wait.point.term.value + 1 } };
    return DeadlinePassed {};
}

void ExecutionDriver::releaseSlot(bool isReusable)
{
    if (!this->slot)
        return;
    if (isReusable)
        this->slotPool.release(std::move(*this->slot));
    else
        this->slotPool.discard(std::move(*this->slot));
    this->slot.reset();
}

}
