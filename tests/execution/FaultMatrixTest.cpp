#include "tests/execution/ExecutionSimulation.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace foxtail::test {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration callTime = 1s;
    // BEGIN, term check, insert of the id, two statements, answer, COMMIT, position. Step 0 is the wait for durability.
    constexpr uint32_t lastStep = 8;

    // The two bookings of the request under test, which happen both or not at all.
    TransactionRequest pairRequest(TimePoint now)
    {
        return bookingRequest("first", { bookStatement("9:00", "first"), bookStatement("9:30", "first") }, now + callTime);
    }

    size_t effectsOf(const ExecutionSimulation& world, const std::string& holder)
    {
        size_t count = 0;
        const Tables tables = world.primary().tables();
        for (const auto& booking : tables.bookings)
            count += booking.second == holder ? 1 : 0;
        return count;
    }

    // Whether the call itself changed data. Another call under the same id may have run although this one did not.
    bool hasRun(const ExecutionSimulation& world, size_t call)
    {
        const auto& log = world.primary().log;
        return std::any_of(
            log.begin(), log.end(), [&](const LogEntry& entry) { return entry.callIndex == call && !entry.bookings.empty(); });
    }

    std::string describe(const Call& call)
    {
        if (!call.outcome)
            return "no answer";
        return call.outcome->has_value() ? "success" : std::string(errorKindProperties(call.outcome->error().kind).name);
    }

    // What a caller can find out: an answer means both bookings, "not run" means none, and a resolution tells the
    // truth about the rest.
    void checkHistory(ExecutionSimulation& world, const std::string& context)
    {
        SCOPED_TRACE(context);
        for (const std::string& violation : world.violations)
            ADD_FAILURE() << violation;
        const std::vector<std::vector<SqlValue>> ownRow { { "first" } };
        for (size_t index = 0; index < world.calls.size(); ++index) {
            const Call& call = world.calls[index];
            const size_t effects = effectsOf(world, "first");
            ASSERT_TRUE(effects == 0 || effects == 2) << "half of a transaction was committed";
            const HasRun ran = !call.outcome ? HasRun::Unknown
                : call.outcome->has_value()  ? HasRun::Yes
                                             : errorKindProperties(call.outcome->error().kind).ran;
            if (ran == HasRun::Yes) {
                EXPECT_EQ(effects, 2U) << "an acknowledged write is lost";
                ASSERT_TRUE(call.outcome->has_value());
                ASSERT_EQ(call.outcome->value().results.size(), 2U);
                for (const StatementResult& result : call.outcome->value().results)
                    EXPECT_EQ(result.rows, ownRow) << "not the answer to its own request";
            } else if (ran == HasRun::No) {
                EXPECT_FALSE(hasRun(world, index)) << "\"not run\" is false: " << describe(call);
            } else {
                EXPECT_EQ(world.resolve(call.request).ran == HasRun::Yes, effectsOf(world, "first") == 2) << "a resolution is false";
            }
        }
    }

    std::string nameOf(Fault fault, uint32_t step)
    {
        return "fault " + std::to_string(static_cast<int>(fault)) + " at step " + std::to_string(step);
    }

    bool endsTheTime(Fault fault) { return fault == Fault::Deadline || fault == Fault::LateReply; }

}

// Guards against a fault at one step that runs a request twice, loses it after its answer, refuses it with a false "not
// run", or mixes connections; and against a machine that refuses what it could have finished in time.
TEST(FaultMatrixTest, EveryFaultAtEveryStepOfAWrite)
{
    for (const Fault fault : allFaults) {
        for (uint32_t step = 0; step <= lastStep; ++step) {
            ExecutionSimulation world;
            bool struck = false;
            world.faultAt = [&](size_t call, uint32_t attempt, uint32_t at) {
                const bool hit = call == 0 && attempt == 1 && at == step;
                struck = struck || hit;
                return hit ? fault : Fault::None;
            };
            world.call(pairRequest(world.now()));
            world.run();
            EXPECT_TRUE(struck) << nameOf(fault, step);
            checkHistory(world, nameOf(fault, step));
            if (!endsTheTime(fault)) {
                EXPECT_EQ(describe(world.calls.back()), "success") << nameOf(fault, step);
            }
        }
    }
}

// Guards against a second fault during the retry or the resolution that follows the first one.
TEST(FaultMatrixTest, EveryPairOfFaultsAtEveryPairOfSteps)
{
    for (const Fault first : allFaults) {
        for (const Fault second : allFaults) {
            for (uint32_t steps = 0; steps < (lastStep + 1) * (lastStep + 1); ++steps) {
                ExecutionSimulation world;
                bool firstDone = false;
                bool secondDone = false;
                world.faultAt = [&, steps](size_t, uint32_t, uint32_t at) {
                    if (!firstDone && at == steps % (lastStep + 1)) {
                        firstDone = true;
                        return first;
                    }
                    if (firstDone && !secondDone && at == steps / (lastStep + 1)) {
                        secondDone = true;
                        return second;
                    }
                    return Fault::None;
                };
                world.call(pairRequest(world.now()));
                world.run();
                checkHistory(world, nameOf(first, steps % (lastStep + 1)) + ", then " + nameOf(second, steps / (lastStep + 1)));
                if (testing::Test::HasFailure())
                    return;
            }
        }
    }
}

// Guards against a read that is answered by a replaced primary, or with part of its rows.
TEST(FaultMatrixTest, EveryFaultAtEveryStepOfARead)
{
    constexpr uint32_t lastReadStep = 5;
    for (const Fault fault : allFaults) {
        for (uint32_t step = 0; step <= lastReadStep; ++step) {
            ExecutionSimulation world;
            world.faultAt
                = [&](size_t call, uint32_t attempt, uint32_t at) { return call == 1 && attempt == 1 && at == step ? fault : Fault::None; };
            world.call(pairRequest(world.now()));
            TransactionRequest read = bookingRequest("reader", { lookUpStatement("9:00") }, world.now() + callTime);
            read.kind = TransactionKind::Read;
            world.call(read, 50ms);
            world.run();
            SCOPED_TRACE(nameOf(fault, step));
            for (const std::string& violation : world.violations)
                ADD_FAILURE() << violation;
            const Call& call = world.calls.back();
            // A read whose term was not confirmed in time runs again.
            EXPECT_EQ(describe(call), endsTheTime(fault) && step > 0 ? "DeadlineExceeded" : "success");
            if (call.outcome && call.outcome->has_value()) {
                const std::vector<std::vector<SqlValue>> expected { { "first" } };
                EXPECT_EQ(call.outcome->value().results.front().rows, expected);
            }
        }
    }
}

// Guards against an id that answers with another request's answer, or that runs after it was given up.
TEST(FaultMatrixTest, AnIdBelongsToOneRequestForGood)
{
    ExecutionSimulation world;
    const TransactionRequest request = pairRequest(world.now());
    world.call(request);
    TransactionRequest other = request;
    other.statements.pop_back();
    world.call(other, 50ms);
    world.run();
    EXPECT_EQ(describe(world.calls[0]), "success");
    EXPECT_EQ(describe(world.calls[1]), "RequestIdReused");
    EXPECT_EQ(world.resolve(other).ran, HasRun::No);
    EXPECT_EQ(world.resolve(request).ran, HasRun::Yes);

    ExecutionSimulation empty;
    EXPECT_EQ(empty.resolve(request).ran, HasRun::No);
    empty.call(pairRequest(empty.now()));
    empty.run();
    EXPECT_EQ(describe(empty.calls[0]), "RequestIdReused");
    EXPECT_EQ(effectsOf(empty, "first"), 0U);
}

// Guards against a stale view: a home that missed the change of primary asks the old one in its old term, which still
// answers. The caller's token is from the new term.
TEST(FaultMatrixTest, AReplacedPrimaryDoesNotServeATokenOfALaterTerm)
{
    FakeServer replaced;
    replaced.isPrimary = true;
    TransactionRequest read = bookingRequest("reader", { lookUpStatement("9:00") }, TimePoint { callTime });
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
