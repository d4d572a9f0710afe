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

    // Long enough for every reply that arrives at all, also on a busy machine.
    constexpr Duration longTimeout = 30s;
    constexpr Duration shortTimeout = 20ms;

    // Provides a stand-in backend server and a fiber thread on which the test runs its client code.
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

        static std::unique_ptr<BackendConnection> connectTo(const BackendEndpoint& endpoint)
        {
            auto connection = BackendConnection::connect(endpoint, now() + longTimeout);
            return connection ? std::move(connection.value()) : nullptr;
        }

        // Returns the first value of the result, the row count if there are no rows, or the name of the error kind.
        static std::string runQuery(BackendConnection& connection, const std::string& sql, const std::vector<SqlValue>& parameters = {},
            Duration timeout = longTimeout)
        {
            const auto result = connection.query(sql, parameters, now() + timeout);
            if (!result)
                return std::string(errorKindProperties(result.error().kind).name);
            return result.value().rows.empty() ? std::to_string(result.value().rowCount) : result.value().rows[0][0].value_or("null");
        }

        standins::BackendStandin standin;
        std::unique_ptr<FiberThread> thread;
    };

}

// Guards against a reply that arrives after its deadline and is taken for the result of the next statement.
TEST_F(BackendConnectionTest, ClosesConnectionWhenReplyMissesDeadline)
{
    this->thread->call([this] {
        auto connection = connectTo(this->endpoint());
        ASSERT_TRUE(connection);
        this->standin.setFault("silent", "clients");
        EXPECT_EQ(runQuery(*connection, "SELECT 'first'", {}, shortTimeout), "OutcomeUnknown");
        this->standin.setFault("silent", "none");
        EXPECT_EQ(runQuery(*connection, "SELECT 'second'"), "PeerUnavailable");
        EXPECT_FALSE(connection->isReusable());
    });
}

// Guards against values, nulls, row counts and error kinds that are altered in transit, and against a connection that is unusable after
// an SQL error.
TEST_F(BackendConnectionTest, ReturnsCompleteResultsAndErrorKinds)
{
    this->thread->call([this] {
        auto connection = connectTo(this->endpoint());
        ASSERT_TRUE(connection);
        EXPECT_EQ(runQuery(*connection, "INSERT INTO seats VALUES($1, $2), (2, 'bob')", { "1", std::nullopt }), "2");
        EXPECT_EQ(runQuery(*connection, "SELECT holder FROM seats WHERE id = $1", { "1" }), "null");
        EXPECT_EQ(runQuery(*connection, "INSERT INTO seats VALUES(1, '')"), "StatementFailed");
        EXPECT_EQ(connection->lastSqlState(), "23505");
        EXPECT_EQ(runQuery(*connection, "SELECT platform_fence(1, 'x')"), "NoPrimary");
        EXPECT_EQ(runQuery(*connection, "SELECT platform_require(5, 5)"), "ReadNotCurrent");
        // Much larger than the socket buffers, in both directions.
        const std::string large(4'000'000, 'x');
        EXPECT_EQ(runQuery(*connection, "SELECT $1", { large }), large);
        EXPECT_EQ(runQuery(*connection, "BEGIN"), "0");
        EXPECT_FALSE(connection->isReusable());
        EXPECT_EQ(runQuery(*connection, "ROLLBACK"), "0");
        EXPECT_TRUE(connection->isReusable());
        auto other = connectTo(this->endpoint());
        this->standin.stop();
        EXPECT_EQ(runQuery(*connection, "SELECT 1"), "OutcomeUnknown");
        EXPECT_FALSE(connection->isOpen());
        // The end of this connection is detected before the statement, so the statement is not sent.
        EXPECT_FALSE(other->isReusable());
        EXPECT_EQ(runQuery(*other, "SELECT 1"), "PeerUnavailable");
    });
}

// Guards against a connection refused for its claim or the connection cap that is reported as an unreachable server, and against a wait
// without a time limit.
TEST_F(BackendConnectionTest, DistinguishesConnectionErrors)
{
    this->thread->call([this] {
        const auto connectError = [](const BackendEndpoint& endpoint, Duration timeout) {
            return BackendConnection::connect(endpoint, now() + timeout).error().kind;
        };
        EXPECT_EQ(connectError(this->endpoint("foxtail/v1/7"), longTimeout), ErrorKind::NotHome);
        std::vector<std::unique_ptr<BackendConnection>> openConnections(3);
        for (auto& connection : openConnections)
            connection = connectTo(this->endpoint());
        EXPECT_EQ(connectError(this->endpoint(), longTimeout), ErrorKind::Overloaded);
        openConnections.clear();
        this->standin.setFault("silent", "all");
        EXPECT_EQ(connectError(this->endpoint(), shortTimeout), ErrorKind::DeadlineExceeded);
        this->standin.stop();
        EXPECT_EQ(connectError(this->endpoint(), longTimeout), ErrorKind::PeerUnavailable);
    });
}

// Guards against a pool that leases one connection to two requests, exceeds its size, or reuses a connection with an open transaction.
TEST_F(BackendConnectionTest, PoolReusesOnlyCleanConnections)
{
    this->thread->call([this] {
        auto pool = ConnectionPool::create({ "127.0.0.1", this->standin.port(), "v1", 2 });
        EXPECT_EQ(pool->acquire(now() + longTimeout).error().kind, ErrorKind::NotHome);
        this->standin.claim("v1", 1);
        pool->setClaim(1);
        std::vector<boost::fibers::fiber> requests(8);
        int leaseCount = 0;
        for (size_t index = 0; index < requests.size(); ++index) {
            requests[index] = boost::fibers::fiber([&, index] {
                auto lease = pool->acquire(now() + longTimeout);
                ASSERT_TRUE(lease);
                EXPECT_LE(++leaseCount, 2);
                EXPECT_EQ(runQuery(*lease.value(), "BEGIN"), "0");
                EXPECT_EQ(runQuery(*lease.value(), "SELECT $1", { std::to_string(index) }), std::to_string(index));
                // Every other request leaves its transaction open.
                if (index % 2)
                    EXPECT_EQ(runQuery(*lease.value(), "COMMIT"), "0");
                --leaseCount;
            });
        }
        for (auto& request : requests)
            request.join();
        EXPECT_LE(pool->openCount(), 2U);
        auto first = pool->acquire(now() + longTimeout);
        auto second = pool->acquire(now() + longTimeout);
        EXPECT_EQ(pool->acquire(now() + shortTimeout).error().kind, ErrorKind::DeadlineExceeded);
        EXPECT_EQ(runQuery(*first.value(), "BEGIN"), "0");
    });
}

// Guards against a former home that continues to use its connections, or that waits for one instead of failing with NotHome.
TEST_F(BackendConnectionTest, PoolStopsLeasingWhenClaimIsLost)
{
    this->thread->call([this] {
        auto pool = ConnectionPool::create({ "127.0.0.1", this->standin.port(), "v1", 2 });
        this->standin.claim("v1", 1);
        pool->setClaim(1);
        auto heldLease = pool->acquire(now() + longTimeout);
        ASSERT_TRUE(heldLease);
        this->standin.claim("v2", 2);
        EXPECT_EQ(runQuery(*heldLease.value(), "SELECT 1"), "OutcomeUnknown");
        heldLease.value().discard();
        EXPECT_EQ(pool->acquire(now() + longTimeout).error().kind, ErrorKind::NotHome);
        EXPECT_FALSE(pool->claim());
        this->standin.claim("v1", 3);
        pool->setClaim(3);
        EXPECT_TRUE(pool->acquire(now() + longTimeout));
        pool->clearClaim();
        EXPECT_EQ(pool->idleCount(), 0U);
    });
}

// Guards against a pool that remains empty after its server has refused connections for some time.
TEST_F(BackendConnectionTest, PoolRefillsAfterRefusedConnections)
{
    this->thread->call([this] {
        std::vector<std::unique_ptr<BackendConnection>> others(3);
        for (auto& connection : others)
            connection = connectTo(this->endpoint());
        auto pool = ConnectionPool::create({ "127.0.0.1", this->standin.port(), "v1", 2 });
        this->standin.claim("v1", 1);
        pool->setClaim(1);
        // Repeats until the server has refused a connection of the pool; before that the error is DeadlineExceeded.
        while (pool->acquire(now() + shortTimeout).error().kind != ErrorKind::PeerUnavailable) { }
        others.clear();
        EXPECT_TRUE(pool->acquire(now() + longTimeout));
    });
}

// Guards against pools that overload a new primary by opening all their connections at once during a failover.
TEST(RefillPacerTest, OpensAtMostTwoInAnyTenMilliseconds)
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
