#pragma once

#include "foxtailtrail/execution/ReadExecution.h"
#include "foxtailtrail/execution/Resolution.h"
#include "foxtailtrail/execution/RetryPolicy.h"
#include "tests/execution/FakeServer.h"

#include <algorithm>
#include <array>
#include <memory>
#include <queue>
#include <tuple>

namespace foxtail::test {

// A fault at one step of one attempt.
enum class Fault : uint8_t {
    None,
    // The connection is lost and the step never reaches the server, which detects the loss later.
    LostBeforeSend,
    // The connection is lost at once; the server runs the step much later.
    LostAfterSend,
    // The server runs the step; the connection is lost before the reply.
    LostBeforeReply,
    // The reply arrives after the deadline.
    LateReply,
    // The deadline passes while the step is outstanding.
    Deadline,
    // Another server becomes primary before the step runs; the old one is notified later.
    PrimaryReplaced,
    // The same, and the old primary runs the step first.
    PrimaryReplacedAfterStep,
    // The VM crashes while the step is outstanding; the caller repeats the id at another VM.
    VmCrash,
    // The same request arrives at a second VM.
    Duplicate,
};
inline constexpr std::array allFaults { Fault::LostBeforeSend, Fault::LostAfterSend, Fault::LostBeforeReply, Fault::LateReply,
    Fault::Deadline, Fault::PrimaryReplaced, Fault::PrimaryReplacedAfterStep, Fault::VmCrash, Fault::Duplicate };

inline constexpr Duration networkDelay { std::chrono::milliseconds(1) };
inline constexpr Duration replicationDelay { std::chrono::milliseconds(6) };
// The time until a server detects that a connection is gone, and until a message in flight arrives.
inline constexpr Duration disconnectDetectionDelay { std::chrono::milliseconds(30) };
inline constexpr Duration healDelay { std::chrono::milliseconds(60) };
// The delay until a caller repeats its request after its VM crashed.
inline constexpr Duration repeatDelay { std::chrono::milliseconds(5) };
inline constexpr Duration lateReplyDelay { std::chrono::seconds(10) };
// A run takes a few thousand events, or some ten thousand while a lock is held until a deadline.
inline constexpr size_t maxEvents = 200000;
inline constexpr int maxResolutions = 20;

// One call of a caller at one VM. The outcome is empty if the VM crashed, so that no answer arrived.
struct Call {
    TransactionRequest request;
    TimePoint startedAt;
    std::optional<TransactionOutcome> outcome;
};

// Simulates one database group of three servers, VMs that run the executions under test, and faults, in virtual time.
class ExecutionSimulation {
public:
    ExecutionSimulation() { this->servers[0].isPrimary = true; }

    // Returns the fault for a step of a call: by index of the call (from 0), attempt (from 1) and step (from 1). Step 0 is the wait
    // for durability.
    std::function<Fault(size_t call, uint32_t attempt, uint32_t step)> faultAt = [](auto...) { return Fault::None; };

    // Called with the index of a call when it is answered.
    std::function<void(size_t call)> onAnswered = [](size_t) {};

    // Starts a call after the delay.
    void call(const TransactionRequest& request, Duration delay = Duration { 0 })
    {
        this->schedule(delay, [this, request] {
            auto caller = std::make_shared<Caller>(Caller { this->calls.size(), RetryPolicy(request, {}) });
            this->calls.push_back({ request, this->time, {} });
            this->schedule(request.deadline - this->time, [this, caller] { this->perform(caller, caller->policy.onDeadlinePassed()); });
            this->perform(caller, caller->policy.start(this->time));
        });
    }

    // Resolves an id as the status route does, until the outcome is known.
    ResolutionResult resolve(const TransactionRequest& request)
    {
        for (int attempt = 0; attempt < maxResolutions; ++attempt) {
            auto resolution = std::make_unique<Resolution>(
                request.organisation, request.requestId, requestDigest(request), this->time + std::chrono::seconds(1));
            this->lastResolutionResult = ResolutionResult {};
            this->startAttempt(nullptr, 0, std::move(resolution));
            this->run();
            if (this->lastResolutionResult.ran != HasRun::Unknown)
                return this->lastResolutionResult;
        }
        this->violations.emplace_back("a resolution does not finish");
        return this->lastResolutionResult;
    }

    // Runs until no events are left, then lets every server follow the primary.
    void run()
    {
        for (size_t count = 0; !this->events.empty(); ++count) {
            if (count == maxEvents) {
                this->violations.emplace_back("the simulation does not terminate");
                this->events = {};
                break;
            }
            const Event event = this->events.top();
            this->events.pop();
            this->time = event.time;
            event.action();
        }
        this->healAll();
    }

    TimePoint now() const { return this->time; }
    const FakeServer& primary() const { return this->servers[this->primaryIndex]; }

    std::vector<Call> calls;
    // Violations of invariants that a connection or a server detected.
    std::vector<std::string> violations;

private:
    // One caller at one VM. A VM that crashed handles no events any more.
    struct Caller {
        size_t callIndex = 0;
        RetryPolicy policy;
        bool hasCrashed = false;
    };

    struct Attempt {
        std::shared_ptr<Caller> caller;
        uint32_t number = 0;
        std::unique_ptr<Execution> execution;
        int connection = 0;
    };
    // A pooled connection to a server.
    struct Connection {
        size_t serverIndex = 0;
        const Attempt* owner = nullptr;
        bool hasOutstandingStep = false;
        bool hasOpenTransaction = false;
        bool isClosed = false;
    };
    struct Event {
        TimePoint time;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.time, other.number) < std::tie(this->time, this->number); }
    };

    void schedule(Duration delay, std::function<void()> action)
    {
        this->events.push({ this->time + delay, ++this->eventNumber, std::move(action) });
    }

    void perform(const std::shared_ptr<Caller>& caller, const std::optional<RetryEffect>& effect)
    {
        if (caller->hasCrashed || !effect)
            return;
        const TransactionRequest& request = this->calls[caller->callIndex].request;
        if (const auto* answer = std::get_if<Answer>(&*effect)) {
            if (this->calls[caller->callIndex].outcome)
                this->violations.emplace_back("a call was answered twice");
            this->calls[caller->callIndex].outcome = answer->outcome;
            this->onAnswered(caller->callIndex);
        } else if (const auto* start = std::get_if<StartAttempt>(&*effect)) {
            TransactionRequest attempt = request;
            attempt.deadline = start->deadline;
            this->schedule(start->startAt - this->time, [this, caller, number = start->attempt, attempt] {
                if (attempt.kind == TransactionKind::Write) {
                    this->startAttempt(caller, number, std::make_unique<WriteExecution>(attempt, ExecutionSettings {}));
                } else {
                    this->startAttempt(caller, number,
                        std::make_unique<ReadExecution>(
                            attempt, ReadTarget { AnswerSource::Primary, attempt.token, true }, ExecutionSettings {}));
                }
            });
        } else if (const auto* resolve = std::get_if<ResolveById>(&*effect)) {
            this->schedule(resolve->startAt - this->time, [this, caller, resolve = *resolve, organisation = request.organisation] {
                this->startAttempt(caller, resolve.attempt,
                    std::make_unique<Resolution>(organisation, resolve.requestId, resolve.digest, resolve.deadline));
            });
        }
    }

    void startAttempt(const std::shared_ptr<Caller>& caller, uint32_t number, std::unique_ptr<Execution> execution)
    {
        auto attempt = std::make_shared<Attempt>(Attempt { caller, number, std::move(execution) });
        this->schedule(attempt->execution->deadline() - this->time, [this, attempt] { this->handleEvent(attempt, DeadlinePassed {}); });
        this->perform(attempt, attempt->execution->start());
    }

    void perform(const std::shared_ptr<Attempt>& attempt, const ExecutionEffects& effects)
    {
        for (const ExecutionEffect& effect : effects) {
            if (std::holds_alternative<AcquireConnection>(effect)) {
                this->schedule(networkDelay, [this, attempt] { this->acquireConnection(attempt); });
            } else if (const auto* step = std::get_if<RunStep>(&effect)) {
                this->runStep(attempt, *step);
            } else if (std::holds_alternative<CloseConnection>(effect)) {
                this->release(attempt, true);
            } else if (std::holds_alternative<ReturnConnection>(effect)) {
                this->release(attempt, false);
            } else if (const auto* durability = std::get_if<AwaitDurability>(&effect)) {
                this->injectFault(attempt, this->faultOf(attempt, 0), nullptr);
                this->awaitDurability(attempt, durability->point);
            } else if (const auto* answer = std::get_if<Answer>(&effect)) {
                this->finish(
                    attempt, [&](RetryPolicy& policy) { return policy.onAttemptFinished(attempt->number, answer->outcome, this->time); });
            } else if (const auto* resolved = std::get_if<ResolutionResult>(&effect)) {
                this->lastResolutionResult = *resolved;
                this->finish(
                    attempt, [&](RetryPolicy& policy) { return policy.onResolutionFinished(attempt->number, *resolved, this->time); });
            }
        }
    }

    void handleEvent(const std::shared_ptr<Attempt>& attempt, const ExecutionEvent& event)
    {
        if (attempt->caller && attempt->caller->hasCrashed)
            return;
        this->perform(attempt, attempt->execution->handle(event));
    }

    void acquireConnection(const std::shared_ptr<Attempt>& attempt)
    {
        if ((attempt->caller && attempt->caller->hasCrashed) || attempt->execution->isFinished())
            return;
        // Uses any idle connection to the primary, or opens a new one.
        auto idle = std::find_if(this->connections.begin(), this->connections.end(), [this](const auto& entry) {
            return !entry.second.isClosed && !entry.second.owner && entry.second.serverIndex == this->primaryIndex;
        });
        if (idle == this->connections.end())
            idle = this->connections.emplace(++this->connectionNumber, Connection { this->primaryIndex }).first;
        if (idle->second.hasOutstandingStep || idle->second.hasOpenTransaction)
            this->violations.emplace_back("a connection was reused with an answer outstanding or a transaction open");
        idle->second.owner = attempt.get();
        attempt->connection = idle->first;
        this->handleEvent(attempt, ConnectionReady { BackendServerId("server" + std::to_string(this->primaryIndex)), this->term });
    }

    Fault faultOf(const std::shared_ptr<Attempt>& attempt, uint32_t step) const
    {
        return attempt->caller ? this->faultAt(attempt->caller->callIndex, attempt->number, step) : Fault::None;
    }

    void runStep(const std::shared_ptr<Attempt>& attempt, const RunStep& step)
    {
        const int number = attempt->connection;
        Connection& connection = this->connections[number];
        if (connection.hasOutstandingStep || connection.owner != attempt.get())
            this->violations.emplace_back("a step was sent on a connection of another transaction");
        connection.hasOutstandingStep = true;
        const Fault fault = this->faultOf(attempt, step.step);
        if (fault == Fault::None) {
            this->schedule(networkDelay, [this, attempt, number, step] { this->deliverStep(attempt, number, step, networkDelay); });
        } else {
            this->injectFault(attempt, fault, &step);
        }
    }

    void deliverStep(const std::shared_ptr<Attempt>& attempt, int number, const RunStep& step, Duration replyAfter)
    {
        Connection& connection = this->connections[number];
        FakeServer& server = this->servers[connection.serverIndex];
        const size_t logged = server.log.size();
        const Reply reply = server.run(number, step.statement);
        if (server.log.size() > logged && attempt->caller)
            server.log.back().callIndex = attempt->caller->callIndex;
        if (reply.isBlocked) {
            if (!connection.isClosed)
                this->schedule(
                    networkDelay, [this, attempt, number, step, replyAfter] { this->deliverStep(attempt, number, step, replyAfter); });
            return;
        }
        if (reply.commandTag == "BEGIN" && connection.hasOpenTransaction)
            this->violations.emplace_back("a transaction began inside another");
        connection.hasOpenTransaction = server.hasTransaction(number);
        this->schedule(replicationDelay, [this] { this->replicate(); });
        this->schedule(replyAfter, [this, attempt, number, step, reply] {
            this->connections[number].hasOutstandingStep = false;
            if (reply.sqlState.empty()) {
                this->handleEvent(attempt, StepSucceeded { step.step, reply.result, reply.commandTag });
            } else {
                this->handleEvent(attempt, StepFailed { step.step, reply.sqlState, "refused" });
            }
        });
    }

    void injectFault(const std::shared_ptr<Attempt>& attempt, Fault fault, const RunStep* step)
    {
        const int number = attempt->connection;
        const auto deliverAfter = [&](Duration delay, Duration replyAfter) {
            if (step)
                this->schedule(
                    delay, [this, attempt, number, step = *step, replyAfter] { this->deliverStep(attempt, number, step, replyAfter); });
        };
        switch (fault) {
        case Fault::None:
            break;
        case Fault::LostBeforeSend:
            this->schedule(networkDelay, [this, attempt] { this->handleEvent(attempt, ConnectionLost { false }); });
            break;
        case Fault::LostAfterSend:
            deliverAfter(disconnectDetectionDelay, lateReplyDelay);
            this->schedule(networkDelay, [this, attempt] { this->handleEvent(attempt, ConnectionLost { true }); });
            break;
        case Fault::LostBeforeReply:
            deliverAfter(networkDelay, lateReplyDelay);
            this->schedule(networkDelay, [this, attempt] { this->handleEvent(attempt, ConnectionLost { true }); });
            break;
        case Fault::LateReply:
            deliverAfter(networkDelay, lateReplyDelay);
            break;
        case Fault::Deadline:
            deliverAfter(networkDelay, networkDelay);
            this->handleEvent(attempt, DeadlinePassed {});
            break;
        case Fault::PrimaryReplaced:
            this->replacePrimary();
            deliverAfter(networkDelay, networkDelay);
            break;
        case Fault::PrimaryReplacedAfterStep:
            deliverAfter(networkDelay, networkDelay);
            this->schedule(networkDelay + Duration { 1 }, [this] { this->replacePrimary(); });
            break;
        case Fault::VmCrash:
            deliverAfter(networkDelay, networkDelay);
            attempt->caller->hasCrashed = true;
            if (step)
                this->release(attempt, true);
            this->call(this->calls[attempt->caller->callIndex].request, repeatDelay);
            break;
        case Fault::Duplicate:
            deliverAfter(networkDelay, networkDelay);
            this->call(this->calls[attempt->caller->callIndex].request);
            break;
        }
    }

    void awaitDurability(const std::shared_ptr<Attempt>& attempt, const LogPoint& point)
    {
        if (attempt->execution->isFinished() || (attempt->caller && attempt->caller->hasCrashed))
            return;
        const auto holdsPoint = [&](const FakeServer& server) {
            return server.promisedTerm == point.term && server.logTerm == point.term && server.log.size() >= point.position.value;
        };
        if (std::count_if(this->servers.begin(), this->servers.end(), holdsPoint) >= 2) {
            this->handleEvent(attempt, DurabilityReached { point });
        } else if (this->term > point.term) {
            this->handleEvent(attempt, TermAdvanced { this->term });
        } else {
            this->schedule(networkDelay, [this, attempt, point] { this->awaitDurability(attempt, point); });
        }
    }

    void release(const std::shared_ptr<Attempt>& attempt, bool close)
    {
        const int number = attempt->connection;
        Connection& connection = this->connections[number];
        connection.owner = nullptr;
        connection.isClosed = close;
        if (close)
            this->schedule(
                disconnectDetectionDelay, [this, number] { this->servers[this->connections[number].serverIndex].endTransaction(number); });
    }

    void finish(const std::shared_ptr<Attempt>& attempt, const std::function<std::optional<RetryEffect>(RetryPolicy&)>& event)
    {
        if (attempt->caller)
            this->perform(attempt->caller, event(attempt->caller->policy));
    }

    void replicate()
    {
        const FakeServer& primary = this->servers[this->primaryIndex];
        for (FakeServer& server : this->servers) {
            if (server.promisedTerm != primary.promisedTerm)
                continue;
            server.log = primary.log;
            server.logTerm = primary.logTerm;
        }
    }

    // Fences the two replicas and promotes the one with the higher log point. The old primary is notified after the heal delay.
    void replacePrimary()
    {
        const size_t oldIndex = this->primaryIndex;
        ++this->term.value;
        this->primaryIndex = (oldIndex + 1) % 3;
        for (size_t index = 0; index < 3; ++index) {
            if (index == oldIndex)
                continue;
            this->servers[index].promisedTerm = this->term;
            if (this->servers[index].point() > this->servers[this->primaryIndex].point())
                this->primaryIndex = index;
        }
        this->servers[this->primaryIndex].isPrimary = true;
        this->servers[this->primaryIndex].logTerm = this->term;
        this->schedule(replicationDelay, [this] { this->replicate(); });
        this->schedule(healDelay, [this] { this->healAll(); });
    }

    void healAll()
    {
        for (size_t index = 0; index < 3; ++index) {
            this->servers[index].isPrimary = index == this->primaryIndex;
            this->servers[index].promisedTerm = this->term;
        }
        this->replicate();
    }

    TimePoint time;
    uint64_t eventNumber = 0;
    std::priority_queue<Event> events;
    std::array<FakeServer, 3> servers;
    size_t primaryIndex = 0;
    Term term { 1 };
    int connectionNumber = 0;
    std::map<int, Connection> connections;
    ResolutionResult lastResolutionResult;
};

// A write of one organisation at the fake database.
inline TransactionRequest bookingRequest(const std::string& id, std::vector<Statement> statements, TimePoint deadline)
{
    TransactionRequest request;
    request.service = ServiceName("bookings");
    request.database = DatabaseId("wattle");
    request.organisation = OrganisationId("families");
    request.requestId = RequestId(id);
    request.kind = TransactionKind::Write;
    request.statements = std::move(statements);
    request.deadline = deadline;
    return request;
}

}
