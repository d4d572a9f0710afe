#include "tests/execution/ExecutionSimulation.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace foxtail::test {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration callTimeout = 1s;
    // BEGIN, term check, insert of the id, two statements, stored answer, COMMIT, position. Step 0 is the wait for durability.
    constexpr uint32_t lastStep = 8;

    // The two bookings of the request under test, which must be committed both or not at all.
    TransactionRequest pairRequest(TimePoint now)
    {
        return bookingRequest("first", { bookStatement("9:00", "first"), bookStatement("9:30", "first") }, now + callTimeout);
    }

    size_t bookingCount(const ExecutionSimulation& simulation, const std::string& holder)
    {
        size_t count = 0;
        const Tables tables = simulation.primary().tables();
        for (const auto& booking : tables.bookings)
            count += booking.second == holder ? 1 : 0;
        return count;
    }

    // Returns whether the call itself changed data. Another call under the same id may have run although this one did not.
    bool hasRun(const ExecutionSimulation& simulation, size_t call)
    {
        const auto& log = simulation.primary().log;
        return std::any_of(
            log.begin(), log.end(), [&](const LogEntry& entry) { return entry.callIndex == call && !entry.bookings.empty(); });
    }

    std::string describe(const Call& call)
    {
        if (!call.outcome)
            return "no answer";
        return call.outcome->has_value() ? "success" : std::string(errorKindProperties(call.outcome->error().kind).name);
    }

    // Checks what a caller can observe: an answer means both bookings, "not run" means none, and a resolution reports the truth
    // about unknown outcomes.
    void checkHistory(ExecutionSimulation& simulation, const std::string& context)
    {
        SCOPED_TRACE(context);
        for (const std::string& violation : simulation.violations)
            ADD_FAILURE() << violation;
        const std::vector<std::vector<SqlValue>> ownRow { { "first" } };
        for (size_t index = 0; index < simulation.calls.size(); ++index) {
            const Call& call = simulation.calls[index];
            const size_t effects = bookingCount(simulation, "first");
            ASSERT_TRUE(effects == 0 || effects == 2) << "half of a transaction was committed";
            const HasRun ran = !call.outcome ? HasRun::Unknown
                : call.outcome->has_value()  ? HasRun::Yes
                                             : errorKindProperties(call.outcome->error().kind).ran;
            if (ran == HasRun::Yes) {
                EXPECT_EQ(effects, 2U) << "an acknowledged write was lost";
                ASSERT_TRUE(call.outcome->has_value());
                ASSERT_EQ(call.outcome->value().results.size(), 2U);
                for (const StatementResult& result : call.outcome->value().results)
                    EXPECT_EQ(result.rows, ownRow) << "not the answer to its own request";
            } else if (ran == HasRun::No) {
                EXPECT_FALSE(hasRun(simulation, index)) << "\"not run\" is wrong: " << describe(call);
            } else {
                EXPECT_EQ(simulation.resolve(call.request).ran == HasRun::Yes, bookingCount(simulation, "first") == 2)
                    << "a resolution is wrong";
            }
        }
    }

    std::string describeFault(Fault fault, uint32_t step)
    {
        return "fault " + std::to_string(static_cast<int>(fault)) + " at step " + std::to_string(step);
    }

    bool usesUpDeadline(Fault fault) { return fault == Fault::Deadline || fault == Fault::LateReply; }

}

// Guards against a fault at one step that runs a request twice, loses it after its answer, refuses it with a wrong "not run" or
// lets it use another transaction's connection, and against an execution that refuses what it could have finished in time.
TEST(FaultMatrixTest, WriteIsAtomicUnderEveryFaultAtEveryStep)
{
    for (const Fault fault : allFaults) {
        for (uint32_t step = 0; step <= lastStep; ++step) {
            ExecutionSimulation simulation;
            bool isFaultInjected = false;
            simulation.faultAt = [&](size_t call, uint32_t attempt, uint32_t at) {
                const bool isTarget = call == 0 && attempt == 1 && at == step;
                isFaultInjected = isFaultInjected || isTarget;
                return isTarget ? fault : Fault::None;
            };
            simulation.call(pairRequest(simulation.now()));
            simulation.run();
            EXPECT_TRUE(isFaultInjected) << describeFault(fault, step);
            checkHistory(simulation, describeFault(fault, step));
            if (!usesUpDeadline(fault)) {
                EXPECT_EQ(describe(simulation.calls.back()), "success") << describeFault(fault, step);
            }
        }
    }
}

// Guards against a second fault during the retry or resolution that follows the first one.
TEST(FaultMatrixTest, WriteIsAtomicUnderEveryPairOfFaults)
{
    for (const Fault first : allFaults) {
        for (const Fault second : allFaults) {
            for (uint32_t steps = 0; steps < (lastStep + 1) * (lastStep + 1); ++steps) {
                ExecutionSimulation simulation;
                bool isFirstInjected = false;
                bool isSecondInjected = false;
                simulation.faultAt = [&, steps](size_t, uint32_t, uint32_t at) {
                    if (!isFirstInjected && at == steps % (lastStep + 1)) {
                        isFirstInjected = true;
                        return first;
                    }
                    if (isFirstInjected && !isSecondInjected && at == steps / (lastStep + 1)) {
                        isSecondInjected = true;
                        return second;
                    }
                    return Fault::None;
                };
                simulation.call(pairRequest(simulation.now()));
                simulation.run();
                checkHistory(
                    simulation, describeFault(first, steps % (lastStep + 1)) + ", then " + describeFault(second, steps / (lastStep + 1)));
                if (testing::Test::HasFailure())
                    return;
            }
        }
    }
}

// Guards against a read that is answered by a replaced primary, or with a part of its rows.
TEST(FaultMatrixTest, ReadIsCurrentUnderEveryFaultAtEveryStep)
{
    constexpr uint32_t lastReadStep = 5;
    for (const Fault fault : allFaults) {
        for (uint32_t step = 0; step <= lastReadStep; ++step) {
            ExecutionSimulation simulation;
            simulation.faultAt
                = [&](size_t call, uint32_t attempt, uint32_t at) { return call == 1 && attempt == 1 && at == step ? fault : Fault::None; };
            simulation.call(pairRequest(simulation.now()));
            TransactionRequest read = bookingRequest("reader", { lookUpStatement("9:00") }, simulation.now() + callTimeout);
            read.kind = TransactionKind::Read;
            simulation.call(read, 50ms);
            simulation.run();
            SCOPED_TRACE(describeFault(fault, step));
            for (const std::string& violation : simulation.violations)
                ADD_FAILURE() << violation;
            const Call& call = simulation.calls.back();
            // A read whose term was not confirmed in time is run again.
            EXPECT_EQ(describe(call), usesUpDeadline(fault) && step > 0 ? "DeadlineExceeded" : "success");
            if (call.outcome && call.outcome->has_value()) {
                const std::vector<std::vector<SqlValue>> expected { { "first" } };
                EXPECT_EQ(call.outcome->value().results.front().rows, expected);
            }
        }
    }
}

// Guards against an id that returns the answer of another request, or that runs after it was abandoned.
TEST(FaultMatrixTest, RequestIdBelongsToOneRequestPermanently)
{
    ExecutionSimulation simulation;
    const TransactionRequest request = pairRequest(simulation.now());
    simulation.call(request);
    TransactionRequest other = request;
    other.statements.pop_back();
    simulation.call(other, 50ms);
    simulation.run();
    EXPECT_EQ(describe(simulation.calls[0]), "success");
    EXPECT_EQ(describe(simulation.calls[1]), "RequestIdReused");
    EXPECT_EQ(simulation.resolve(other).ran, HasRun::No);
    EXPECT_EQ(simulation.resolve(request).ran, HasRun::Yes);

    ExecutionSimulation empty;
    EXPECT_EQ(empty.resolve(request).ran, HasRun::No);
    empty.call(pairRequest(empty.now()));
    empty.run();
    EXPECT_EQ(describe(empty.calls[0]), "RequestIdReused");
    EXPECT_EQ(bookingCount(empty, "first"), 0U);
}

// Guards against a stale view: a home that missed the change of primary queries the old primary in its old term, which still
// replies. The caller's token is from the new term.
TEST(FaultMatrixTest, ReplacedPrimaryRefusesTokenOfLaterTerm)
{
    FakeServer replaced;
    replaced.isPrimary = true;
    TransactionRequest read = bookingRequest("reader", { lookUpStatement("9:00") }, TimePoint { callTimeout });
    read.kind = TransactionKind::Read;
    read.token = LogPoint { Term { 2 }, Position { 0 } };
    ReadExecution execution(read, { AnswerSource::Primary, read.token, false }, {});
    execution.start();
    ExecutionEffects effects = execution.handle(ConnectionReady { BackendServerId("old"), Term { 1 } });
    while (const auto* step = std::get_if<RunStep>(&effects.back())) {
        const Reply reply = replaced.run(1, step->statement);
        if (reply.sqlState.empty())
            effects = execution.handle(StepSucceeded { step->step, reply.result, reply.commandTag });
        else
            effects = execution.handle(StepFailed { step->step, reply.sqlState, "refused" });
    }
    const auto& answer = std::get<Answer>(effects.back());
    ASSERT_FALSE(answer.outcome.has_value());
    EXPECT_EQ(answer.outcome.error().kind, ErrorKind::ReadNotCurrent);
}

}
