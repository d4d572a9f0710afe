#include "foxtailtrail/proxy/ChangeExchange.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpServer.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    RowSet rowSet(uint64_t version, std::vector<TableRow> rows = {})
    {
        RowSet set;
        set.version = version;
        set.rows = std::move(rows);
        return set;
    }

    // Guards against changes that are lost between a VM and the VM that reads the store for it.
    TEST(TableChangeLogTest, ReturnsAllChangesAfterAVersion)
    {
        TableChangeLog log;
        EXPECT_FALSE(log.changesAfter(0));
        log.restart(10);
        log.append(10, rowSet(12, { { "a", "1", 12, false } }));
        log.append(12, rowSet(15));
        log.append(15, rowSet(17, { { "a", "", 17, true } }));
        EXPECT_FALSE(log.changesAfter(9));
        ASSERT_TRUE(log.changesAfter(10));
        EXPECT_EQ(log.changesAfter(10)->rows.size(), 2U);
        EXPECT_EQ(log.changesAfter(10)->version, 17U);
        EXPECT_EQ(log.changesAfter(12)->rows.size(), 1U);
        EXPECT_TRUE(log.changesAfter(12)->rows.front().isDeleted);
        EXPECT_TRUE(log.changesAfter(17)->rows.empty());
        // A VM that is ahead of the reader does not go back.
        EXPECT_EQ(log.changesAfter(20)->version, 20U);
        log.restart(30);
        EXPECT_FALSE(log.changesAfter(17));
    }

    // Guards against changes that are skipped by a VM that received the table from another VM for a time and then reads the store again:
    // the log had no part of that time and served it as if nothing had changed.
    TEST(TableChangeLogTest, DoesNotServeChangesAcrossAGap)
    {
        TableChangeLog log;
        log.restart(10);
        log.append(10, rowSet(12, { { "a", "1", 12, false } }));
        // The changes from 12 to 20 came from another VM and are not in the log.
        log.append(20, rowSet(22, { { "b", "1", 22, false } }));
        EXPECT_FALSE(log.changesAfter(12));
        EXPECT_FALSE(log.changesAfter(15));
        ASSERT_TRUE(log.changesAfter(20));
        EXPECT_EQ(log.changesAfter(20)->rows.size(), 1U);
        // A log that starts with changes, as after the configuration came from another VM.
        TableChangeLog other;
        other.append(7, rowSet(9, { { "c", "1", 8, false } }));
        EXPECT_FALSE(other.changesAfter(6));
        EXPECT_EQ(other.changesAfter(7)->rows.size(), 1U);
    }

    // Guards against a log that grows without bound.
    TEST(TableChangeLogTest, DropsOldestChanges)
    {
        TableChangeLog log;
        log.restart(0);
        for (uint64_t version = 1; version <= 5000; ++version)
            log.append(version - 1, rowSet(version, { { "a", "1", version, false } }));
        EXPECT_FALSE(log.changesAfter(0));
        ASSERT_TRUE(log.changesAfter(4000));
        EXPECT_EQ(log.changesAfter(4000)->rows.size(), 1000U);
    }

    // A VM that serves changes to others over HTTP.
    class ChangeExchangeTest : public testing::Test {
    protected:
        ChangeExchangeTest()
        {
            this->thread->call([&] {
                HttpServerSettings settings;
                settings.errorResponse = [](const Error&) { return HttpResponse { 400, "text/plain", {}, {} }; };
                auto listening = HttpServer::listen(
                    *this->thread, settings, [this](const HttpRequest& request) { return this->reader.handleRequest(request); });
                this->server = std::move(listening.value());
            });
        }
        ~ChangeExchangeTest() override
        {
            this->thread->call([&] { this->server.reset(); });
        }
        Result<RowSet> fetch(uint64_t afterVersion, Duration wait)
        {
            return this->thread->call([&] {
                return this->follower.fetch(Endpoint { "127.0.0.1", this->server->port() }, StoreTable::Servers, afterVersion, wait);
            });
        }

        ChangeExchange reader;
        ChangeExchange follower;
        std::unique_ptr<FiberThread> thread = FiberThread::start("test");
        std::unique_ptr<HttpServer> server;
    };

    TEST_F(ChangeExchangeTest, DeliversChangesWithAnyBytesWhenTheyArrive)
    {
        const std::string bytes("\x00\xff{\"", 4);
        this->thread->call([&] { this->reader.recordList(StoreTable::Servers, rowSet(5)); });
        this->thread->post([&] {
            sleepFor(milliseconds(50));
            this->reader.recordChanges(StoreTable::Servers, 5, rowSet(7, { { "s1", bytes, 6, false }, { "s2", "", 7, true } }));
        });
        const Result<RowSet> changes = this->fetch(5, std::chrono::seconds(5));
        ASSERT_TRUE(changes);
        EXPECT_EQ(changes.value().version, 7U);
        ASSERT_EQ(changes.value().rows.size(), 2U);
        EXPECT_EQ(changes.value().rows[0].value, bytes);
        EXPECT_EQ(changes.value().rows[0].version, 6U);
        EXPECT_TRUE(changes.value().rows[1].isDeleted);
        const Result<RowSet> none = this->fetch(7, milliseconds(20));
        ASSERT_TRUE(none);
        EXPECT_TRUE(none.value().rows.empty());
    }

    // Guards against VMs that follow each other in a circle, or follow one that the store does not serve, and miss all changes.
    TEST_F(ChangeExchangeTest, ServesOnlyWhileItReadsTheStore)
    {
        EXPECT_FALSE(this->fetch(0, milliseconds(20)));
        this->thread->call([&] { this->reader.recordList(StoreTable::Servers, rowSet(5)); });
        EXPECT_TRUE(this->fetch(5, milliseconds(20)));
        this->thread->post([&] {
            sleepFor(milliseconds(50));
            this->reader.stopServing(StoreTable::Servers);
        });
        EXPECT_FALSE(this->fetch(5, std::chrono::seconds(5)));
        this->thread->call([&] { this->reader.recordChanges(StoreTable::Servers, 5, rowSet(8)); });
        EXPECT_TRUE(this->fetch(5, milliseconds(20)));
        EXPECT_FALSE(this->fetch(4, milliseconds(20)));
    }

    // Guards against a malformed request that ends the process.
    TEST_F(ChangeExchangeTest, RefusesMalformedRequests)
    {
        for (const std::string& table : { std::string(), std::string("servers"), std::string("locks") }) {
            HttpRequest request;
            request.target = "/changes";
            request.headers = { { "Foxtail-Table", table }, { "Foxtail-After", "x" }, { "Foxtail-Wait-Ms", "99999999999999999999" } };
            EXPECT_EQ(this->reader.handleRequest(request).status, 400U);
        }
    }

}

}
