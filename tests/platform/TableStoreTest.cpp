#include "platform/TableStore.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "platform/RowReply.h"
#include "standins/platform/RowStore.h"

#include <boost/fiber/fiber.hpp>
#include <gtest/gtest.h>

namespace foxtail::platform {

namespace {

    constexpr Duration callTimeout = std::chrono::seconds(5);
    constexpr Duration heldTime = std::chrono::milliseconds(20);

    class TableStoreTest : public testing::Test {
    protected:
        TableStoreTest()
        {
            this->thread->call([&] {
                this->store = std::make_unique<TableStore>(Endpoint { "127.0.0.1", this->rowStore.port() });
                this->otherStore = std::make_unique<TableStore>(Endpoint { "127.0.0.1", this->rowStore.port() });
            });
        }
        ~TableStoreTest() override
        {
            this->thread->call([&] {
                this->store.reset();
                this->otherStore.reset();
            });
        }

        RowSet list(TableStore& client)
        {
            return this->thread->call([&] { return client.list(StoreTable::Fleet, now() + callTimeout); }).value();
        }
        Result<RowSet> follow(const StoreVersion& after)
        {
            return this->thread->call([&] { return this->store->follow(StoreTable::Fleet, after, { heldTime, now() + callTimeout }); });
        }
        Result<StoreVersion> replaceRow(TableStore& client, const StoreVersion& expected)
        {
            StoreTransaction transaction;
            transaction.preconditions.push_back({ StoreTable::Fleet, "a", expected });
            transaction.puts.push_back({ StoreTable::Fleet, "a", "replaced" });
            return this->thread->call([&] { return client.commit(transaction, now() + callTimeout); });
        }
        // Restores the store from an empty copy and writes the row until the store has counted to the same version again.
        void restoreAndCountTo(uint64_t version)
        {
            this->rowStore.restore(std::chrono::hours(1));
            do
                this->rowStore.put("foxtail-fleet", "a", "new");
            while (this->list(*this->otherStore).version.number < version);
        }

        standins::RowStore rowStore { [](const standins::PromotionOrder&) { return 200U; } };
        std::unique_ptr<FiberThread> thread = FiberThread::start("test");
        std::unique_ptr<TableStore> store;
        // Belongs to another VM, which knows of a new era earlier or later.
        std::unique_ptr<TableStore> otherStore;
    };

    // Guards against a number out of range that ends the process or the reading of the table.
    TEST(RowReplyTest, RejectsNumbersOutOfRange)
    {
        for (const char* number : { "1e300", "1.5", "-1", "99999999999999999999", "1e400", "null", "[]" }) {
            const std::string text = number;
            EXPECT_FALSE(decodeRowReply(R"({"ver":)" + text + R"(,"rows":[]})", 1)) << text;
            EXPECT_FALSE(decodeRowReply(R"({"ver":1,"now_ms":)" + text + R"(,"rows":[]})", 1)) << text;
        }
    }

    // Guards against one row of another shape that hides the others, and against a list that ends with a page of such rows.
    TEST(RowReplyTest, SkipsRowsThatCannotBeDecodedAndContinuesAfterThem)
    {
        for (const char* row : { R"({"key":"z","ver":1.5,"value":"YQ=="})", R"({"key":"z","ver":-1,"value":"YQ=="})",
                 R"({"key":"z","value":"YQ=="})", R"({"key":"z","ver":3,"value":"?"})", R"({"key":"z","ver":3,"value":{"a":[[[[]]]]}})" }) {
            const std::string text = row;
            const Result<RowReply> reply = decodeRowReply(
                R"({"ver":5, "has_more" : true, "rows":[7,{"key":1},{"key":"a","ver":2,"value":"YQ=="},)" + text + "]}", 1);
            ASSERT_TRUE(reply) << reply.error().detail;
            ASSERT_EQ(reply.value().set.rows.size(), 1U) << text;
            EXPECT_EQ(reply.value().set.rows.front().value, "a");
            EXPECT_TRUE(reply.value().hasMore);
            EXPECT_EQ(reply.value().lastKey, "z");
        }
    }

    // Guards against changes that are missed because the restored store has counted up to the version of the ended era.
    TEST_F(TableStoreTest, TreatsVersionOfEndedEraAsLostHistory)
    {
        this->rowStore.put("foxtail-fleet", "a", "old");
        const RowSet before = this->list(*this->store);
        EXPECT_TRUE(this->follow(before.version));
        this->restoreAndCountTo(before.version.number);
        const Result<RowSet> changes = this->follow(before.version);
        ASSERT_FALSE(changes);
        EXPECT_EQ(changes.error().kind, ErrorKind::VersionConflict);
        const RowSet after = this->list(*this->store);
        EXPECT_EQ(after.version.era, before.version.era + 1);
        EXPECT_LT(before.version, after.version);
        EXPECT_EQ(this->store->newestEra().number, after.version.era);
        EXPECT_TRUE(this->follow(after.version));
    }

    // Guards against a held call that goes on waiting on a lost connection although another call has shown that the store was away, and
    // against a call that is ended although the store need not hold it.
    TEST_F(TableStoreTest, EndsHeldCallsAndNoOthers)
    {
        this->rowStore.put("foxtail-fleet", "a", "old");
        const StoreVersion version = this->list(*this->store).version;
        // Neither call has a response when the held calls are ended.
        standins::RowStoreFaults faults;
        faults.requestDelay = std::chrono::milliseconds(200);
        this->rowStore.setFaults(faults);
        const TimePoint startedAt = now();
        this->thread->call([&] {
            boost::fibers::fiber held([&] {
                const Result<RowSet> changes = this->store->follow(StoreTable::Fleet, version, { callTimeout, now() + 2 * callTimeout });
                ASSERT_FALSE(changes);
                EXPECT_EQ(changes.error().kind, ErrorKind::OutcomeUnknown);
            });
            boost::fibers::fiber immediate([&] {
                EXPECT_TRUE(this->store->follow(StoreTable::Fleet, version, { Duration(0), now() + callTimeout }));
            });
            sleepFor(heldTime);
            this->store->endHeldCalls();
            held.join();
            immediate.join();
            return true;
        });
        EXPECT_LT(now(), startedAt + callTimeout);
        EXPECT_TRUE(this->follow(version));
    }

    // Guards against a write whose precondition holds only because the store has given the version out again.
    TEST_F(TableStoreTest, RejectsPreconditionOfEndedEra)
    {
        this->rowStore.put("foxtail-fleet", "a", "old");
        const StoreVersion expected = this->list(*this->store).rows.front().version;
        this->restoreAndCountTo(expected.number);
        this->list(*this->store);
        const Result<StoreVersion> stored = this->replaceRow(*this->store, expected);
        ASSERT_FALSE(stored);
        EXPECT_EQ(stored.error().kind, ErrorKind::VersionConflict);
        EXPECT_EQ(this->rowStore.value("foxtail-fleet", "a"), "new");
    }

    // Guards against a lock that counts as held although its record was written in an era that its holder did not know.
    TEST_F(TableStoreTest, ReportsUnknownOutcomeOfCommitInLaterEra)
    {
        this->rowStore.put("foxtail-fleet", "a", "old");
        const StoreVersion expected = this->list(*this->store).rows.front().version;
        this->restoreAndCountTo(expected.number);
        const Result<StoreVersion> stored = this->replaceRow(*this->store, expected);
        ASSERT_FALSE(stored);
        EXPECT_EQ(stored.error().kind, ErrorKind::StoreOutcomeUnknown);
    }

}

}
