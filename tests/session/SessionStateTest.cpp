#include "foxtailtrail/session/SessionState.h"
#include "foxtailtrail/session/LinkState.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace foxtail {

namespace {

    using Kind = RestoreStep::Kind;

    // A fake backend connection that executes restore steps.
    struct FakeConnection {
        std::map<std::string, std::string> variables;
        std::map<std::string, PreparedStatement> prepared;

        void run(const std::vector<RestoreStep>& steps)
        {
            for (const RestoreStep& step : steps) {
                if (step.kind == Kind::Reset) {
                    this->variables.clear();
                    this->prepared.clear();
                } else if (step.kind == Kind::Set) {
                    this->variables[step.name] = step.argument;
                } else {
                    this->prepared[step.name] = { step.isWrite, step.argument };
                }
            }
        }
    };

    // Guards against variables of an earlier session that stay on the connection.
    TEST(LinkStateTest, ResetsVariableThatSessionLacks)
    {
        LinkState link;
        SessionState first;
        first.setVariable("a", "1");
        EXPECT_EQ(link.restore(first, nullptr).size(), 1U);
        EXPECT_TRUE(link.restore(first, nullptr).empty());
        SessionState second;
        second.setVariable("b", "2");
        const std::vector<RestoreStep> expected { { Kind::Reset, {}, {}, false }, { Kind::Set, "b", "2", false } };
        EXPECT_EQ(link.restore(second, nullptr), expected);
    }

    // Guards against sessions whose names collide. Random sessions share one connection, which must always hold exactly the
    // variables of the session and the statement template that it executes.
    TEST(LinkStateTest, ConnectionAlwaysMatchesSession)
    {
        for (uint32_t seed = 0; seed < 10'000; ++seed) {
            std::mt19937 random(seed);
            LinkState link;
            FakeConnection connection;
            std::vector<SessionState> sessions(3);
            for (int step = 0; step < 30; ++step) {
                SessionState& session = sessions[random() % sessions.size()];
                const std::string name = "n" + std::to_string(random() % 3);
                const std::string argument = "v" + std::to_string(random() % 4);
                if (random() % 3 == 0)
                    session.setVariable(name, argument);
                if (random() % 3 == 0)
                    session.prepare(name, { random() % 2 == 0, argument });
                if (random() % 8 == 0)
                    session.closePrepared(name);
                const PreparedStatement* executed = session.findPrepared(name);
                connection.run(link.restore(session, executed));
                ASSERT_EQ(connection.variables, session.sessionVariables()) << "seed " << seed;
                if (executed)
                    ASSERT_EQ(connection.prepared.at(link.preparedName(*executed)), *executed) << "seed " << seed;
            }
        }
    }

    // Guards against large statement templates that add up on a connection.
    TEST(LinkStateTest, ResetsConnectionThatHoldsMuch)
    {
        LinkState link;
        FakeConnection connection;
        size_t mostBytes = 0;
        for (char letter = 'a'; letter <= 'z'; ++letter) {
            SessionState session;
            session.prepare("n", { false, std::string(50'000, letter) });
            const PreparedStatement* executed = session.findPrepared("n");
            connection.run(link.restore(session, executed));
            ASSERT_EQ(connection.prepared.at(link.preparedName(*executed)), *executed);
            mostBytes = std::max(mostBytes, connection.prepared.size() * 50'000);
        }
        EXPECT_LE(mostBytes, 200'000U);
    }

    // Guards against a count of the memory that differs from what the session holds.
    TEST(SessionStateTest, CountsMemoryOfVariablesAndPreparedStatements)
    {
        SessionState session;
        session.setVariable("a", std::string(1000, 'x'));
        session.prepare("p", { false, std::string(2000, 'x') });
        const size_t before = session.memoryBytes();
        EXPECT_GE(before, 3000U);
        session.setVariable("a", "x");
        session.prepare("p", { false, "x" });
        EXPECT_EQ(session.memoryBytes(), before - 999 - 1999);
        session.closePrepared("p");
        session.closePrepared("none");
        EXPECT_EQ(session.memoryBytes(), SessionState::entryBytes("a", "x"));
    }

    // Guards against state of a transaction that is lost while it is open or carried over to the next one.
    TEST(SessionStateTest, TracksStateOfTransaction)
    {
        SessionState session;
        session.begin(true, TimePoint {});
        EXPECT_EQ(session.currentTransactionState(), TransactionState::Open);
        EXPECT_TRUE(session.isReadOnly());
        session.failTransaction();
        EXPECT_EQ(session.currentTransactionState(), TransactionState::Failed);
        session.endTransaction();
        session.begin(false, TimePoint {});
        EXPECT_FALSE(session.hasWritten());
        session.recordWrite();
        EXPECT_TRUE(session.hasWritten());
    }

}

}
