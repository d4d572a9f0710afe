#include "tests/execution/ExecutionSimulation.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace foxtail::test {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t sessionCount = 4;
    constexpr size_t callsPerSession = 12;
    constexpr uint64_t slotCount = 6;
    constexpr uint64_t seedCount = 200;
    // One step in this many has a fault.
    constexpr uint64_t stepsPerFault = 40;

    // The reference model: one VM, one server, one request at a time.
    struct ReferenceBookings {
        std::map<std::string, std::string> slots;

        // Returns the results of a request, or std::nullopt if it is refused. A refused request changes no data.
        std::optional<std::vector<StatementResult>> run(const TransactionRequest& request)
        {
            auto next = this->slots;
            std::vector<StatementResult> results;
            for (const Statement& statement : request.statements) {
                const std::string& slot = *statement.params[0];
                const std::string& holder = *statement.params[1];
                const bool isBooking = statement.sql == bookStatement({}, {}).sql;
                if (isBooking ? next.contains(slot) : !next.contains(slot) || next[slot] != holder)
                    return std::nullopt;
                if (isBooking) {
                    next[slot] = holder;
                    results.push_back({ {}, { { holder } }, 1 });
                } else {
                    next.erase(slot);
                    results.push_back({ {}, {}, 1 });
                }
            }
            this->slots = next;
            return results;
        }
    };

    // A caller that makes one call at a time and records what was acknowledged.
    struct Session {
        std::string name;
        size_t callCount = 0;
        // The slot of the booking that it holds, and the holder's name in that slot.
        std::string slot;
        std::string holder;
        TransactionRequest currentRequest;
        std::optional<LogPoint> token;
    };

    class History {
    public:
        explicit History(uint64_t seed)
            : random(seed)
        {
            this->simulation.faultAt = [this](auto...) { return this->randomFault(); };
            this->simulation.onAnswered = [this](size_t call) { this->onCallAnswered(call); };
            for (size_t index = 0; index < sessionCount; ++index) {
                this->sessions.push_back({});
                this->sessions.back().name = "s" + std::to_string(index);
                this->callNext(this->sessions.back());
            }
            this->simulation.run();
            this->simulation.faultAt = [](auto...) { return Fault::None; };
        }

        void check()
        {
            for (const std::string& violation : this->simulation.violations)
                ADD_FAILURE() << violation;
            this->replay();
            for (size_t index = 0; index < this->simulation.calls.size(); ++index) {
                const Call call = this->simulation.calls[index];
                if (call.request.kind == TransactionKind::Write)
                    this->checkCall(call, this->callsThatRan.contains(index));
            }
        }

        size_t acknowledged = 0;
        size_t refused = 0;
        size_t unknown = 0;

    private:
        Fault randomFault() { return this->random() % stepsPerFault ? Fault::None : allFaults[this->random() % allFaults.size()]; }

        void callNext(Session& session)
        {
            if (session.callCount++ == callsPerSession)
                return;
            const std::string id = session.name + "-" + std::to_string(session.callCount);
            const uint64_t choice = this->random() % 3;
            std::vector<Statement> statements;
            if (session.slot.empty())
                statements = { bookStatement(std::to_string(this->random() % slotCount), id) };
            else if (choice == 0)
                statements
                    = { cancelStatement(session.slot, session.holder), bookStatement(std::to_string(this->random() % slotCount), id) };
            else if (choice == 1)
                statements = { cancelStatement(session.slot, session.holder) };
            else
                statements = { lookUpStatement(session.slot) };
            const Duration delay(this->random() % 20000);
            session.currentRequest = bookingRequest(id, std::move(statements), this->simulation.now() + delay + 1s);
            session.currentRequest.token = session.token;
            if (!session.slot.empty() && choice == 2)
                session.currentRequest.kind = TransactionKind::Read;
            this->requests.insert_or_assign(id, session.currentRequest);
            this->simulation.call(session.currentRequest, delay);
        }

        // Handles the first answer to the session's current request; a call at a second VM may be answered later.
        void onCallAnswered(size_t number)
        {
            const Call& call = this->simulation.calls[number];
            for (Session& session : this->sessions) {
                if (session.currentRequest.requestId != call.request.requestId)
                    continue;
                this->applyOutcome(session, *call.outcome);
                session.currentRequest.requestId = {};
                this->callNext(session);
                return;
            }
        }

        void applyOutcome(Session& session, const TransactionOutcome& outcome)
        {
            const TransactionRequest& request = session.currentRequest;
            if (!outcome.has_value()) {
                // A refusal applies only to its own call. After an unknown outcome, or if an earlier call under the id had no
                // answer, the session no longer knows what it holds.
                if (outcome.error().kind == ErrorKind::OutcomeUnknown || this->callsOf(request.requestId) > 1)
                    session.slot.clear();
                return;
            }
            session.token = outcome.value().point;
            if (request.kind == TransactionKind::Read) {
                const std::vector<std::vector<SqlValue>> own { { session.holder } };
                EXPECT_EQ(outcome.value().results.front().rows, own) << "a session does not see its own booking";
                return;
            }
            session.slot.clear();
            const Statement& last = request.statements.back();
            if (last.sql == bookStatement({}, {}).sql) {
                session.slot = *last.params[0];
                session.holder = *last.params[1];
            }
        }

        // Runs the requests of the final log one after the other on the reference model.
        void replay()
        {
            ReferenceBookings reference;
            for (const LogEntry& entry : this->simulation.primary().log) {
                if (entry.bookings.empty() && entry.cancelled.empty())
                    continue;
                ASSERT_EQ(entry.requests.size(), 1U);
                const std::string id = entry.requests.begin()->first.substr(entry.requests.begin()->first.find('/') + 1);
                EXPECT_FALSE(this->expectedResults.contains(id)) << id << " ran twice";
                const auto results = reference.run(this->requests.at(id));
                ASSERT_TRUE(results.has_value()) << id << " ran although the reference model refuses it";
                this->expectedResults[id] = *results;
                if (entry.callIndex)
                    this->callsThatRan.insert(*entry.callIndex);
            }
            EXPECT_EQ(reference.slots, this->simulation.primary().tables().bookings);
        }

        void checkCall(const Call& call, bool callRan)
        {
            const std::string& id = call.request.requestId.value;
            SCOPED_TRACE(id);
            const bool ran = this->expectedResults.contains(id);
            if (call.outcome && call.outcome->has_value()) {
                ++this->acknowledged;
                ASSERT_TRUE(ran) << "an acknowledged request was lost";
                EXPECT_EQ(call.outcome->value().results, this->expectedResults[id]) << "the answer differs from the reference model's";
            } else if (call.outcome && call.outcome->error().kind != ErrorKind::OutcomeUnknown) {
                ++this->refused;
                this->checkRefusal(call, callRan);
            } else {
                ++this->unknown;
                EXPECT_EQ(this->simulation.resolve(call.request).ran == HasRun::Yes, ran) << "a resolution is wrong";
            }
        }

        // A refusal is allowed if the slot was taken or a fault used up the time, and this call must not have run.
        void checkRefusal(const Call& call, bool ran)
        {
            static const std::set<ErrorKind> allowed { ErrorKind::StatementFailed, ErrorKind::DeadlineExceeded, ErrorKind::NoPrimary,
                ErrorKind::ExpectationFailed };
            EXPECT_TRUE(allowed.contains(call.outcome->error().kind)) << errorKindProperties(call.outcome->error().kind).name;
            EXPECT_FALSE(ran) << "\"not run\" is wrong";
        }

        size_t callsOf(const RequestId& id) const
        {
            const auto& calls = this->simulation.calls;
            return static_cast<size_t>(
                std::count_if(calls.begin(), calls.end(), [&](const Call& call) { return call.request.requestId == id; }));
        }

        std::mt19937_64 random;
        ExecutionSimulation simulation;
        std::vector<Session> sessions;
        std::map<std::string, TransactionRequest> requests;
        // The reference model's results of every request that ran, by request id.
        std::map<std::string, std::vector<StatementResult>> expectedResults;
        std::set<size_t> callsThatRan;
    };

}

// Guards against histories of concurrent sessions and faults that one server and one VM could not have produced, and against a
// session that does not read its own writes.
TEST(DifferentialTest, BookingsAgreeWithReferenceModel)
{
    size_t acknowledged = 0;
    size_t refused = 0;
    size_t unknown = 0;
    for (uint64_t seed = 1; seed <= seedCount; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        History history(seed);
        history.check();
        acknowledged += history.acknowledged;
        refused += history.refused;
        unknown += history.unknown;
        if (HasFailure())
            return;
    }
    RecordProperty("acknowledged", std::to_string(acknowledged));
    RecordProperty("refused", std::to_string(refused));
    RecordProperty("unknown", std::to_string(unknown));
    // The histories must contain all three kinds of outcome, or the comparison proves little.
    EXPECT_GT(acknowledged, refused);
    EXPECT_GT(refused, 0U);
    EXPECT_GT(unknown, 0U);
}

}
