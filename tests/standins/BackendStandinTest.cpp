#include "standins/BackendStandin.h"
#include "tests/standins/PostgresClient.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <random>

namespace foxtail::standins {

namespace {

    constexpr const char* schema = "CREATE TABLE seats(id integer primary key, holder text, organisation text)";
    constexpr const char* insertSeat = "INSERT INTO seats VALUES($1, $2, platform_organisation())";

    BackendStandinSettings primarySettings()
    {
        BackendStandinSettings settings;
        settings.schema = schema;
        return settings;
    }

    BackendStandinSettings replicaSettings(const BackendStandin& primary)
    {
        BackendStandinSettings settings = primarySettings();
        settings.role = ServerRole::Replica;
        settings.primaryAddress = primary.address();
        return settings;
    }

    std::string logPoint(PostgresClient& client)
    {
        client.run("SELECT * FROM platform_status()");
        return client.firstRowValue("log_term") + "/" + client.firstRowValue("position");
    }

}

// Guards against differences from PostgreSQL in parameters, nulls, row counts, error codes and transaction status.
TEST(BackendStandin, RepliesLikePostgres)
{
    BackendStandin standin(primarySettings());
    PostgresClient client(standin);
    ASSERT_TRUE(client.isConnected()) << client.connectError();
    EXPECT_EQ(client.run("INSERT INTO seats(id, holder) VALUES($1::int, $2)", { "1", "ann" }), "ok");
    EXPECT_EQ(client.affectedRows(), "1");
    EXPECT_EQ(client.run("SELECT holder, organisation FROM seats WHERE id = $1", { "1" }), "ok");
    EXPECT_EQ(client.firstRowValue("holder"), "ann");
    EXPECT_EQ(client.firstRowValue("organisation"), "");
    EXPECT_EQ(client.run("INSERT INTO seats(id) VALUES($1)", { "1" }), "23505");
    EXPECT_EQ(client.run("SELEC 1"), "42601");
    EXPECT_EQ(client.run("SELECT 1; SELECT 2"), "42601");
    EXPECT_EQ(client.run("ATTACH 'x' AS y"), "42501");
    EXPECT_EQ(client.run("/* hidden */ BEGIN"), "42501");
    EXPECT_EQ(client.transactionStatus(), PQTRANS_IDLE);

    EXPECT_EQ(client.run("BEGIN"), "ok");
    EXPECT_EQ(client.run("UPDATE seats SET holder = 'bob'"), "ok");
    EXPECT_EQ(client.run("INSERT INTO seats(id) VALUES(1)"), "23505");
    EXPECT_EQ(client.transactionStatus(), PQTRANS_INERROR);
    EXPECT_EQ(client.run("SELECT 1"), "25P02");
    EXPECT_EQ(client.run("COMMIT"), "ok");
    EXPECT_EQ(client.queryValue("SELECT holder FROM seats"), "ann");
    PQclear(PQexec(client.handle(), "BEGIN READ ONLY"));
    EXPECT_EQ(client.run("DELETE FROM seats"), "25006");
    EXPECT_EQ(client.run("ROLLBACK"), "ok");
}

// Guards against readers that see changes of an open transaction, and against a write lock that is kept after its client
// disconnects.
TEST(BackendStandin, IsolatesOpenTransactions)
{
    BackendStandin standin(primarySettings());
    PostgresClient reader(standin);
    {
        PostgresClient writer(standin);
        writer.run("BEGIN");
        ASSERT_EQ(writer.run(insertSeat, { "1", "ann" }), "ok");
    }
    EXPECT_EQ(reader.queryValue("SELECT count(*) FROM seats"), "0");
}

// Guards against two promoters in one term, and against commands that fail when they are repeated after a lost reply.
TEST(BackendStandin, FencesByTermAndPromoter)
{
    BackendStandin standin(primarySettings());
    PostgresClient client(standin);
    EXPECT_EQ(client.run("SELECT platform_fence($1,$2)", { "1", "v1" }), "FT001");
    EXPECT_EQ(client.run("SELECT platform_fence($1,$2)", { "3", "v1" }), "ok");
    EXPECT_EQ(client.run("SELECT platform_fence($1,$2)", { "3", "v1" }), "ok");
    EXPECT_EQ(client.run("SELECT platform_fence($1,$2)", { "3", "v2" }), "FT001");
    EXPECT_EQ(client.queryValue("SELECT role FROM platform_status()", "role"), "fenced");
    EXPECT_EQ(client.run(insertSeat, { "1", "ann" }), "FT003");
    EXPECT_EQ(client.run("SELECT platform_promote($1,$2)", { "3", "v2" }), "FT001");
    EXPECT_EQ(client.run("SELECT platform_promote($1,$2)", { "2", "v1" }), "FT001");
    EXPECT_EQ(client.run("SELECT platform_promote($1,$2)", { "3", "v1" }), "ok");
    EXPECT_EQ(client.run("SELECT platform_promote($1,$2)", { "3", "v1" }), "ok");
    EXPECT_EQ(client.run("SELECT platform_follow($1,$2)", { "3", "127.0.0.1:1" }), "FT001");
    EXPECT_EQ(client.run(insertSeat, { "1", "ann" }), "ok");
    EXPECT_EQ(logPoint(client), "3/1");
    EXPECT_EQ(client.queryValue("SELECT platform_fence(x,'y')"), "42883");
    EXPECT_EQ(client.run("SELECT platform_fence($1,$2)", { "many", "v1" }), "22P02");
}

// Guards against a replaced primary that still acknowledges a commit, whether or not the transaction has written.
TEST(BackendStandin, RefusesCommitOfOlderTerm)
{
    for (const bool promoteAgain : { false, true }) {
        BackendStandin standin(primarySettings());
        PostgresClient writer(standin);
        PostgresClient reader(standin);
        PostgresClient promoter(standin);
        writer.run("BEGIN");
        ASSERT_EQ(writer.run("SELECT platform_begin($1,$2)", { "1", "org" }), "ok");
        ASSERT_EQ(writer.run(insertSeat, { "1", "ann" }), "ok");
        reader.run("BEGIN READ ONLY");
        ASSERT_EQ(promoter.run("SELECT platform_fence(2,'v1')"), "ok");
        if (promoteAgain) {
            ASSERT_EQ(promoter.run("SELECT platform_promote(2,'v1')"), "ok");
        }
        EXPECT_EQ(writer.run("COMMIT"), "FT001");
        EXPECT_EQ(reader.run("COMMIT"), "FT001");
        EXPECT_EQ(writer.transactionStatus(), PQTRANS_IDLE);
        EXPECT_EQ(promoter.queryValue("SELECT count(*) FROM seats"), "0");
        writer.run("BEGIN");
        EXPECT_EQ(writer.run("SELECT platform_begin($1,$2)", { "1", "org" }), "FT001");
        writer.run("ROLLBACK");
        writer.run("BEGIN");
        EXPECT_EQ(writer.run("SELECT platform_begin($1,$2)", { "2", "org" }), promoteAgain ? "ok" : "FT003");
    }
}

// Guards against a paused former home that runs statements or keeps connections after another VM has claimed the server.
TEST(BackendStandin, ClaimClosesConnectionsOfLowerEpochs)
{
    BackendStandin standin(primarySettings());
    PostgresClient control(standin, "foxtail/v1");
    EXPECT_FALSE(PostgresClient(standin, "foxtail/v1/1").isConnected());
    EXPECT_EQ(control.run("SELECT platform_claim($1,$2)", { "v1", "2" }), "FT004");
    EXPECT_EQ(control.run("SELECT platform_claim($1,$2)", { "v1", "1" }), "ok");
    EXPECT_EQ(control.run("SELECT platform_claim($1,$2)", { "v1", "1" }), "ok");
    PostgresClient pooled(standin, "foxtail/v1/1");
    ASSERT_TRUE(pooled.isConnected()) << pooled.connectError();
    pooled.run("BEGIN");
    ASSERT_EQ(pooled.run(insertSeat, { "1", "ann" }), "ok");
    EXPECT_EQ(control.run("SELECT platform_claim($1,$2)", { "v2", "1" }), "FT004");
    EXPECT_EQ(control.run("SELECT platform_claim($1,$2)", { "v2", "2" }), "ok");
    EXPECT_EQ(control.firstRowValue("home_vm") + control.firstRowValue("home_epoch"), "v22");
    EXPECT_EQ(pooled.run("COMMIT"), "lost");
    EXPECT_FALSE(PostgresClient(standin, "foxtail/v1/1").isConnected());
    EXPECT_FALSE(PostgresClient(standin, "foxtail/v1/2").isConnected());
    EXPECT_TRUE(PostgresClient(standin, "foxtail/v2/2").isConnected());
    EXPECT_EQ(control.queryValue("SELECT count(*) FROM seats"), "0");
}

// Guards against a stand-in without a connection limit, with which tests would not detect a proxy that exceeds it.
TEST(BackendStandin, RefusesConnectionsOverLimit)
{
    BackendStandinSettings settings = primarySettings();
    settings.maxConnections = 2;
    BackendStandin standin(settings);
    PostgresClient first(standin);
    {
        PostgresClient second(standin);
        ASSERT_TRUE(second.isConnected());
        EXPECT_FALSE(PostgresClient(standin).isConnected());
        EXPECT_TRUE(PostgresClient(standin, "standin").isConnected());
    }
    EXPECT_TRUE(eventually([&] { return PostgresClient(standin).isConnected(); }));
}

// Guards against replicas that differ from their primary, lose the organisation, or accept a required log point before they have
// reached it.
TEST(BackendStandin, ReplicatesCommittedTransactions)
{
    BackendStandin primary(primarySettings());
    BackendStandin replica(replicaSettings(primary));
    PostgresClient writer(primary);
    PostgresClient reader(replica);
    EXPECT_EQ(reader.run("SELECT platform_require(1,1)"), "FT002");
    writer.run("BEGIN");
    writer.run("SELECT platform_begin(1,'org')");
    writer.run(insertSeat, { "1", "ann \xc4\x85" });
    ASSERT_EQ(writer.run("COMMIT"), "ok");
    EXPECT_EQ(writer.queryValue("SELECT platform_position()", "position"), "1");
    EXPECT_EQ(writer.firstRowValue("term"), "1");
    ASSERT_TRUE(eventually([&] { return reader.run("SELECT platform_require(1,1)") == "ok"; }));
    EXPECT_EQ(reader.queryValue("SELECT holder || organisation FROM seats"), "ann \xc4\x85org");
    EXPECT_EQ(reader.run("DELETE FROM seats"), "FT003");
    EXPECT_EQ(reader.run("SELECT platform_require(2,1)"), "FT002");
}

// Guards against a former primary that keeps transactions that the new primary does not have.
TEST(BackendStandin, FollowDropsDivergentSuffix)
{
    BackendStandin former(primarySettings());
    BackendStandin chosen(replicaSettings(former));
    PostgresClient formerClient(former);
    PostgresClient chosenClient(chosen);
    ASSERT_EQ(formerClient.run(insertSeat, { "1", "shared" }), "ok");
    ASSERT_TRUE(eventually([&] { return logPoint(chosenClient) == "1/1"; }));
    ASSERT_EQ(chosenClient.run("SELECT platform_fence(2,'v1')"), "ok");
    ASSERT_EQ(formerClient.run(insertSeat, { "2", "divergent" }), "ok");
    ASSERT_EQ(formerClient.run(insertSeat, { "3", "divergent" }), "ok");
    ASSERT_EQ(formerClient.run("SELECT platform_fence(2,'v1')"), "ok");
    ASSERT_EQ(chosenClient.run("SELECT platform_promote(2,'v1')"), "ok");
    ASSERT_EQ(chosenClient.run(insertSeat, { "2", "new" }), "ok");
    ASSERT_EQ(formerClient.run("SELECT platform_follow($1,$2)", { "2", chosen.address() }), "ok");
    ASSERT_TRUE(eventually([&] { return logPoint(formerClient) == "2/2"; }));
    EXPECT_EQ(formerClient.queryValue("SELECT group_concat(holder) FROM seats"), "shared,new");
}

// Guards against a replica that reports the new term before its log holds all writes that were acknowledged in the older term. It
// could be promoted next and lose those writes.
TEST(BackendStandin, ReplicaReportsTermOnlyWithCompleteLog)
{
    BackendStandin primary(primarySettings());
    BackendStandinSettings settings = replicaSettings(primary);
    settings.applyDelay = std::chrono::hours(1);
    BackendStandin laggingReplica(settings);
    PostgresClient writer(primary);
    PostgresClient laggingClient(laggingReplica);
    ASSERT_EQ(writer.run(insertSeat, { "1", "ann" }), "ok");
    ASSERT_EQ(writer.run("SELECT platform_fence(2,'v1')"), "ok");
    ASSERT_EQ(writer.run("SELECT platform_promote(2,'v1')"), "ok");
    ASSERT_EQ(laggingClient.run("SELECT platform_follow($1,$2)", { "2", primary.address() }), "ok");
    // The contact age falls only after the new primary has replied.
    long long previousAge = 0;
    ASSERT_TRUE(eventually([&] {
        const long long age = std::stoll(laggingClient.queryValue("SELECT * FROM platform_status()", "primary_heard_ms"));
        return age < std::exchange(previousAge, age);
    }));
    EXPECT_EQ(logPoint(laggingClient), "1/0");
    laggingReplica.setFault("lagMs", "0");
    ASSERT_EQ(laggingClient.run("SELECT platform_follow($1,$2)", { "2", "127.0.0.1:1" }), "ok");
    ASSERT_EQ(laggingClient.run("SELECT platform_follow($1,$2)", { "2", primary.address() }), "ok");
    EXPECT_TRUE(eventually([&] { return logPoint(laggingClient) == "2/1"; }));
}

// Guards against faults that also lose the effect: a silent server and a commit with a lost reply must still take effect.
TEST(BackendStandin, FaultsLoseOnlyTheReply)
{
    BackendStandin standin(primarySettings());
    PostgresClient client(standin, "foxtail/v1");
    PostgresClient other(standin, "foxtail/v2");
    standin.setFault("silent", "vm:v1");
    ASSERT_TRUE(PQsendQuery(client.handle(), "INSERT INTO seats(id) VALUES(1)"));
    EXPECT_TRUE(eventually([&] { return other.queryValue("SELECT count(*) FROM seats") == "1"; }));
    PQconsumeInput(client.handle());
    EXPECT_TRUE(PQisBusy(client.handle()));
    PostgresClient faultControl(standin, "standin");
    EXPECT_EQ(faultControl.run("SELECT platform_fault('silent','none')"), "ok");
    EXPECT_EQ(client.queryValue("SELECT count(*) FROM seats"), "1");
    EXPECT_EQ(faultControl.run("SELECT platform_fault('silent','everyone')"), "22023");

    standin.setFault("loseCommits", "1");
    client.run("BEGIN");
    client.run("INSERT INTO seats(id) VALUES(2)");
    EXPECT_EQ(client.run("COMMIT"), "lost");
    EXPECT_EQ(other.queryValue("SELECT count(*) FROM seats"), "2");
}

// Guards against malformed data that crashes the stand-in or leaves a lock held, which would look like a fault of the proxy.
TEST(BackendStandin, SurvivesMalformedData)
{
    BackendStandin standin(primarySettings());
    std::mt19937_64 random(20240607);
    for (int round = 0; round < 60; ++round) {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::address_v4::loopback(), standin.port() });
        std::string bytes;
        // Every other round starts with a valid start-up packet, so that the malformed data reaches the message loop.
        if (round % 2)
            bytes = std::string("\0\0\0\x09\0\x03\0\0\0", 9);
        for (uint64_t count = random() % 200; count; --count)
            bytes.push_back(random() % 4 ? static_cast<char>(random() % 8) : "QPBDECSHX"[random() % 9]);
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }
    PostgresClient client(standin);
    ASSERT_TRUE(client.isConnected()) << client.connectError();
    EXPECT_EQ(client.run(insertSeat, { "1", "ann" }), "ok");
}

}
