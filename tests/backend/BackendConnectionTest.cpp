#include "foxtailtrail/backend/ConnectionPool.h"
#include "foxtailtrail/backend/SqlState.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "standins/BackendStandin.h"

#include <boost/fiber/fiber.hpp>
#include <gtest/gtest.h>
#include <random>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    // Long enough for any answer that comes at all.
    constexpr Duration patience = 30s;
    constexpr Duration impatience = 20ms;

    // A backend server and a fiber thread that the test's client code runs on.
    class BackendConnectionTest : public testing::Test {
    protected:
        BackendConnectionTest()
            : standin(settings())
            , thread(FiberThread::start("test"))
        {
        }

        static standins::BackendStandinSettings settings()
        {
            standins::BackendStandinSettings settings;
            settings.schema = "CREATE TABLE seats(id integer primary key, holder text)";
            settings.maxConnections = 3;
            return settings;
        }

        BackendEndpoint endpoint(const std::string& name = "foxtail/v1") { return { "127.0.0.1", this->standin.port(), name }; }

        static std::unique_ptr<BackendConnection> connected(const BackendEndpoint& endpoint)
        {
            auto connection = BackendConnection::connect(endpoint, now() + patience);
            return connection ? std::move(connection.value()) : nullptr;
        }

        // The first value of the answer, or the name of the error kind.
        static std::string ask(
            BackendConnection& connection, const std::string& sql, const std::vector<SqlValue>& parameters = {}, Duration within = patience)
        {
            const auto answer = connection.query(sql, parameters, now() + within);
            if (!answer)
                return std::string(errorKindProperties(answer.error().kind).name);
            return answer.value().rows.empty() ? std::to_string(answer.value().rowCount) : answer.value().rows[0][0].value_or("null");
        }

        standins::BackendStandin standin;
        std::unique_ptr<FiberThread> thread;
    };

}

// Guards against an answer that arrives after its deadline and is taken for the answer to the next statement.
TEST_F(BackendConnectionTest, LateAnswerReachesNoOtherRequest)
{
    this->thread->call([this] {
        auto connection = connected(this->endpoint());
        ASSERT_TRUE(connection);
        this->standin.setFault("silent", "clients");
        EXPECT_EQ(ask(*connection, "SELECT 'first'", {}, impatience), "OutcomeUnknown");
        this->standin.setFault("silent", "none");
        EXPECT_EQ(ask(*connection, "SELECT 'second'"), "PeerUnavailable");
        EXPECT_FALSE(connection->isReusable());
    });
}

// Guards against values, nulls, row counts and error kinds that change on the way, and against a broken connection after an error.
TEST_F(BackendConnectionTest, ReturnsWholeAnswersAndErrorKinds)
{
    this->thread->call([this] {
        auto connection = connected(this->endpoint());
        ASSERT_TRUE(connection);
        EXPECT_EQ(ask(*connection, "INSERT INTO seats VALUES($1, $2), (2, 'bob')", { "1", std::nullopt }), "2");
        EXPECT_EQ(ask(*connection, "SELECT holder FROM seats WHERE id = $1", { "1" }), "null");
        EXPECT_EQ(ask(*connection, "INSERT INTO seats VALUES(1, '')"), "StatementFailed");
        EXPECT_EQ(connection->lastSqlState(), "23505");
        EXPECT_EQ(ask(*connection, "SELECT platform_fence(1, 'x')"), "NoPrimary");
        EXPECT_EQ(ask(*connection, "SELECT platform_require(5, 5)"), "ReadNotCurrent");
        // Far more than the socket buffers hold, in both directions.
        const std::string large(4'000'000, 'x');
        EXPECT_EQ(ask(*connection, "SELECT $1", { large }), large);
        EXPECT_EQ(ask(*connection, "BEGIN"), "0");
        EXPECT_FALSE(connection->isReusable());
        EXPECT_EQ(ask(*connection, "ROLLBACK"), "0");
        EXPECT_TRUE(connection->isReusable());
        auto other = connected(this->endpoint());
        this->standin.stop();
        EXPECT_EQ(ask(*connection, "SELECT 1"), "OutcomeUnknown");
        EXPECT_FALSE(connection->isOpen());
        // The end of the connection was seen before the statement, which is therefore not sent.
        EXPECT_FALSE(other->isReusable());
        EXPECT_EQ(ask(*other, "SELECT 1"), "PeerUnavailable");
    });
}

// Guards against a refusal by claim or cap that is mistaken for an unreachable server, and against a wait without end.
TEST_F(BackendConnectionTest, TellsRefusedConnectionsApart)
{
    this->thread->call([this] {
        const auto kindOf = [](const BackendEndpoint& endpoint, Duration within) {
            return BackendConnection::connect(endpoint, now() + within).error().kind;
        };
        EXPECT_EQ(kindOf(this->endpoint("foxtail/v1/7"), patience), ErrorKind::NotHome);
        std::vector<std::unique_ptr<BackendConnection>> open(3);
        for (auto& connection : open)
            connection = connected(this->endpoint());
        EXPECT_EQ(kindOf(this->endpoint(), patience), ErrorKind::Overloaded);
        open.clear();
        this->standin.setFault("silent", "all");
        EXPECT_EQ(kindOf(this->endpoint(), impatience), ErrorKind::DeadlineExceeded);
        this->standin.stop();
        EXPECT_EQ(kindOf(this->endpoint(), patience), ErrorKind::PeerUnavailable);
    });
}

// Guards against a pool that hands one connection to two requests, exceeds its size, or gives on a connection with a transaction.
TEST_F(BackendConnectionTest, PoolSharesCleanConnections)
{
    this->thread->call([this] {
        auto pool = ConnectionPool::create({ "127.0.0.1", this->standin.port(), "v1", 2 });
        EXPECT_EQ(pool->acquire(now() + patience).error().kind, ErrorKind::NotHome);
        this->standin.claim("v1", 1);
        pool->setClaim(1);
        std::vector<boost::fibers::fiber> users(8);
        int inUse = 0;
        for (size_t user = 0; user < users.size(); ++user) {
            users[user] = boost::fibers::fiber([&, user] {
                auto lease = pool->acquire(now() + patience);
                ASSERT_TRUE(lease);
                EXPECT_LE(++inUse, 2);
                EXPECT_EQ(ask(*lease.value(), "BEGIN"), "0");
                EXPECT_EQ(ask(*lease.value(), "SELECT $1", { std::to_string(user) }), std::to_string(user));
                // Every other user leaves its transaction open.
                if (user % 2)
                    EXPECT_EQ(ask(*lease.value(), "COMMIT"), "0");
                --inUse;
            });
        }
        for (auto& user : users)
            user.join();
        EXPECT_LE(pool->openCount(), 2U);
        auto first = pool->acquire(now() + patience);
        auto second = pool->acquire(now() + patience);
        EXPECT_EQ(pool->acquire(now() + impatience).error().kind, ErrorKind::DeadlineExceeded);
        EXPECT_EQ(ask(*first.value(), "BEGIN"), "0");
    });
}

// Guards against a former home that goes on with its old connections, or waits instead of saying that it is not the home.
TEST_F(BackendConnectionTest, PoolEndsWithItsClaim)
{
    this->thread->call([this] {
        auto pool = ConnectionPool::create({ "127.0.0.1", this->standin.port(), "v1", 2 });
        this->standin.claim("v1", 1);
        pool->setClaim(1);
        auto held = pool->acquire(now() + patience);
        ASSERT_TRUE(held);
        this->standin.claim("v2", 2);
        EXPECT_EQ(ask(*held.value(), "SELECT 1"), "OutcomeUnknown");
        held.value().discard();
        EXPECT_EQ(pool->acquire(now() + patience).error().kind, ErrorKind::NotHome);
        EXPECT_FALSE(pool->claim());
        this->standin.claim("v1", 3);
        pool->setClaim(3);
        EXPECT_TRUE(pool->acquire(now() + patience));
        pool->clearClaim();
        EXPECT_EQ(pool->idleCount(), 0U);
    });
}

// Guards against a pool that stays empty after its server has refused connections for a while.
TEST_F(BackendConnectionTest, PoolRefillsAfterRefusals)
{
    this->thread->call([this] {
        std::vector<std::unique_ptr<BackendConnection>> others(3);
        for (auto& connection : others)
            connection = connected(this->endpoint());
        auto pool = ConnectionPool::create({ "127.0.0.1", this->standin.port(), "v1", 2 });
        this->standin.claim("v1", 1);
        pool->setClaim(1);
        // Ends once the pool has seen a refusal; before that the error is DeadlineExceeded.
        while (pool->acquire(now() + impatience).error().kind != ErrorKind::PeerUnavailable) { }
        others.clear();
        EXPECT_TRUE(pool->acquire(now() + patience));
    });
}

// Guards against pools that flood a new primary with connections at the moment of a failover.
TEST(RefillPacer, OpensAtMostTwoInAnyTenMilliseconds)
{
    std::mt19937_64 random(7);
    RefillPacer pacer({});
    TimePoint now;
    std::vector<TimePoint> starts;
    for (int round = 0; round < 2000; ++round) {
        now += Duration(random() % 3 ? 0 : random() % 30'000);
        starts.push_back(pacer.reserve(now));
        ASSERT_GE(starts.back(), now);
        if (round >= 2) {
            ASSERT_GE(starts.back() - starts[starts.size() - 3], Duration(10ms));
        }
    }
}

}
