#include "foxtailtrail/proxy/ChangeExchange.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpServer.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr uint64_t era = 1;
    constexpr Duration replyTimeout = milliseconds(700);

    RowSet rowSet(uint64_t version, std::vector<TableRow> rows = {}, uint64_t inEra = era)
    {
        RowSet set;
        set.version = { inEra, version };
        set.rows = std::move(rows);
        return set;
    }

    // Guards against changes that are lost between a VM and the VM that reads the store for it.
    TEST(TableChangeLogTest, ReturnsAllChangesAfterAVersion)
    {
        TableChangeLog log;
        EXPECT_FALSE(log.changesAfter({ era, 0 }));
        log.restart(rowSet(10));
        log.append({ era, 10 }, rowSet(12, { { "a", "1", { era, 12 }, false } }));
        log.append({ era, 12 }, rowSet(15));
        log.append({ era, 15 }, rowSet(17, { { "a", "", { era, 17 }, true } }));
        EXPECT_FALSE(log.changesAfter({ era, 9 }));
        ASSERT_TRUE(log.changesAfter({ era, 10 }));
        EXPECT_EQ(log.changesAfter({ era, 10 })->rows.size(), 2U);
        EXPECT_EQ(log.changesAfter({ era, 10 })->version.number, 17U);
        EXPECT_EQ(log.changesAfter({ era, 12 })->rows.size(), 1U);
        EXPECT_TRUE(log.changesAfter({ era, 12 })->rows.front().isDeleted);
        EXPECT_TRUE(log.changesAfter({ era, 17 })->rows.empty());
        // A VM that is ahead of the reader does not go back.
        EXPECT_EQ(log.changesAfter({ era, 20 })->version.number, 20U);
        log.restart(rowSet(30));
        EXPECT_FALSE(log.changesAfter({ era, 17 }));
    }

    // Guards against changes that are skipped by a VM that received the table from another VM for a time and then reads the store again:
    // the log had no part of that time and served it as if nothing had changed.
    TEST(TableChangeLogTest, DoesNotServeChangesAcrossAGap)
    {
        TableChangeLog log;
        log.restart(rowSet(10));
        log.append({ era, 10 }, rowSet(12, { { "a", "1", { era, 12 }, false } }));
        // The changes from 12 to 20 came from another VM and are not in the log.
        log.append({ era, 20 }, rowSet(22, { { "b", "1", { era, 22 }, false } }));
        EXPECT_FALSE(log.changesAfter({ era, 12 }));
        EXPECT_FALSE(log.changesAfter({ era, 15 }));
        ASSERT_TRUE(log.changesAfter({ era, 20 }));
        EXPECT_EQ(log.changesAfter({ era, 20 })->rows.size(), 1U);
        // A log that starts with changes, as after the configuration came from another VM.
        TableChangeLog other;
        other.append({ era, 7 }, rowSet(9, { { "c", "1", { era, 8 }, false } }));
        EXPECT_FALSE(other.changesAfter({ era, 6 }));
        EXPECT_EQ(other.changesAfter({ era, 7 })->rows.size(), 1U);
    }

    // Guards against changes that are missed by a VM whose version is of an ended era: it was above the numbers of the new era, so the log
    // had nothing after it.
    TEST(TableChangeLogTest, ServesNoChangesToAVersionOfAnotherEra)
    {
        TableChangeLog log;
        log.restart(rowSet(10, {}, era + 1));
        log.append({ era + 1, 10 }, rowSet(12, { { "a", "1", { era + 1, 12 }, false } }, era + 1));
        EXPECT_FALSE(log.changesAfter({ era, 20 }));
        EXPECT_FALSE(log.changesAfter({ era, 11 }));
        EXPECT_TRUE(log.isOfLaterEra({ era, 20 }));
        EXPECT_FALSE(log.changesAfter({ era + 2, 11 }));
        EXPECT_FALSE(log.isOfLaterEra({ era + 2, 11 }));
        ASSERT_TRUE(log.changesAfter({ era + 1, 10 }));
        EXPECT_EQ(log.changesAfter({ era + 1, 10 })->rows.size(), 1U);
    }

    // Guards against a VM that takes its list of servers for complete because of a VM that has not seen the entries that came back, or is
    // behind it.
    TEST(TableChangeLogTest, PassesOnWhetherLapsedEntriesAreBack)
    {
        TableChangeLog log;
        log.restart(rowSet(10));
        EXPECT_FALSE(log.changesAfter({ era, 10 })->areLapsedEntriesBack);
        RowSet changes = rowSet(12, { { "a", "1", { era, 12 }, false } });
        changes.areLapsedEntriesBack = true;
        log.append({ era, 10 }, changes);
        EXPECT_TRUE(log.changesAfter({ era, 10 })->areLapsedEntriesBack);
        EXPECT_TRUE(log.changesAfter({ era, 12 })->areLapsedEntriesBack);
        EXPECT_FALSE(log.changesAfter({ era, 13 })->areLapsedEntriesBack);
        log.append({ era, 12 }, rowSet(12));
        EXPECT_FALSE(log.changesAfter({ era, 12 })->areLapsedEntriesBack);
    }

    // Guards against a log that grows without bound.
    TEST(TableChangeLogTest, DropsOldestChanges)
    {
        TableChangeLog log;
        log.restart(rowSet(0));
        for (uint64_t version = 1; version <= 5000; ++version)
            log.append({ era, version - 1 }, rowSet(version, { { "a", "1", { era, version }, false } }));
        EXPECT_FALSE(log.changesAfter({ era, 0 }));
        ASSERT_TRUE(log.changesAfter({ era, 4000 }));
        EXPECT_EQ(log.changesAfter({ era, 4000 })->rows.size(), 1000U);
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
        Result<RowSet> fetch(uint64_t afterNumber, Duration wait, uint64_t inEra = era)
        {
            return this->thread->call([&] {
                return this->follower.fetch(Endpoint { "127.0.0.1", this->server->port() }, StoreTable::Servers, { inEra, afterNumber },
                    { wait, now() + wait + replyTimeout });
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
            this->reader.recordChanges(
                StoreTable::Servers, { era, 5 }, rowSet(7, { { "s1", bytes, { era, 6 }, false }, { "s2", "", { era, 7 }, true } }));
        });
        const Result<RowSet> changes = this->fetch(5, std::chrono::seconds(5));
        ASSERT_TRUE(changes);
        EXPECT_EQ(changes.value().version, (StoreVersion { era, 7 }));
        ASSERT_EQ(changes.value().rows.size(), 2U);
        EXPECT_EQ(changes.value().rows[0].value, bytes);
        EXPECT_EQ(changes.value().rows[0].version, (StoreVersion { era, 6 }));
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
        this->thread->call([&] { this->reader.recordChanges(StoreTable::Servers, { era, 5 }, rowSet(8)); });
        EXPECT_TRUE(this->fetch(5, milliseconds(20)));
        EXPECT_FALSE(this->fetch(4, milliseconds(20)));
    }

    // Guards against a VM that is told of no changes by a reader in a later era, and against a reader that is excluded although it works.
    TEST_F(ChangeExchangeTest, ReportsLaterEraInsteadOfChanges)
    {
        this->thread->call([&] { this->reader.recordList(StoreTable::Servers, rowSet(5, {}, era + 1)); });
        const Result<RowSet> ofEndedEra = this->fetch(9, std::chrono::seconds(5));
        ASSERT_FALSE(ofEndedEra);
        EXPECT_EQ(ofEndedEra.error().kind, ErrorKind::VersionConflict);
        const Result<RowSet> current = this->fetch(5, milliseconds(20), era + 1);
        ASSERT_TRUE(current);
        EXPECT_EQ(current.value().version, (StoreVersion { era + 1, 5 }));
        const Result<RowSet> ofLaterEra = this->fetch(5, milliseconds(20), era + 2);
        ASSERT_FALSE(ofLaterEra);
        EXPECT_EQ(ofLaterEra.error().kind, ErrorKind::PeerUnavailable);
    }

    // Guards against a malformed request that ends the process.
    TEST_F(ChangeExchangeTest, RefusesMalformedRequests)
    {
        for (const std::string& table : { std::string(), std::string("servers"), std::string("locks") }) {
            HttpRequest request;
            request.target = "/changes";
            request.headers = { { "Foxtail-Table", table }, { "Foxtail-Store-Era", "1" }, { "Foxtail-After", "x" },
                { "Foxtail-Wait-Ms", "99999999999999999999" } };
            EXPECT_EQ(this->reader.handleRequest(request).status, 400U);
        }
    }

}

}
