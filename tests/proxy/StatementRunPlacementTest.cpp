#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/StatementRun.h"
#include "foxtailtrail/replication/EvacuationTable.h"
#include "tests/proxy/FakePool.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const ServiceName service("s");
    const BackendServerId primary("b1");

    // A pool whose requests for a connection wait until the test serves them.
    class QueueingPool final : public LinkPool {
    public:
        QueueingPool(const BackendCodec& codec, const ServerEntry& server)
            : LinkPool(server)
            , link(std::make_shared<FakeLink>(codec, server))
        {
        }
        uint64_t acquire(const LinkRequest&, AcquireCallback callback) override
        {
            this->waiting.push_back(std::move(callback));
            return this->waiting.size();
        }
        void cancel(uint64_t) override { }
        void release(const std::shared_ptr<BackendLink>& released) override { released->setListener(nullptr); }
        void drop(const std::shared_ptr<BackendLink>& dropped) override
        {
            dropped->setListener(nullptr);
            dropped->abort();
        }
        void recordBusy() override { }
        void recordReply(TimePoint) override { }
        bool hasFreeLink(const std::string&) const override { return false; }
        uint32_t outstandingRequests() const override { return 0; }

        std::shared_ptr<FakeLink> link;
        std::vector<AcquireCallback> waiting;
    };

    // A group whose primary is in the data centre north, and one statement.
    class StatementRunPlacementTest : public testing::Test, public GroupContext {
    protected:
        StatementRunPlacementTest()
        {
            ServerEntry entry;
            entry.id = primary;
            entry.service = service;
            entry.dataCentre = DataCentre("north");
            entry.reportsPrimary = true;
            this->servers.put(entry);
            this->primaryPool = std::make_shared<QueueingPool>(this->codec, entry);
            this->group = std::make_shared<GroupTracker>(service, *this);
            this->group->recordReply(primary, LogPoint { Term { 1 }, Position { 5 } }, bootNow(), true);
        }

        const ServerDirectory& directory() const override { return this->servers; }
        std::shared_ptr<LinkPool> pool(const BackendServerId&) override { return this->primaryPool; }
        Distance distanceTo(const ServerEntry&) const override { return Distance::SameDataCentre; }
        const BackendCodec& backendCodec() const override { return this->codec; }
        bool isIsolated() const override { return false; }
        bool mayMissServers() const override { return false; }
        bool mayStopSoon(const BackendServerId&, TimePoint) const override { return false; }
        void examineGroup(const ServiceName&, std::string_view) override { }
        Placement placementIn(const DataCentre& dataCentre, const Homes& homes, TimePoint now) const override
        {
            return PlacementRule(std::map<std::string, std::string> { { "north", "upper" } })
                .serverIn(dataCentre, homes, this->evacuations, now);
        }

        void evacuate() { this->evacuations.applyChanges({ { DataCentre("north"), { 1, 5 } } }, { 1, 5 }, bootNow()); }

        void start(const Homes& homes = {})
        {
            StatementTask task;
            task.requestId = "a";
            task.statement.kind = StatementKind::Read;
            task.statement.text = "READ 1";
            task.route.consistency = Consistency::Primary;
            task.deadline = bootNow() + milliseconds(500);
            task.homes = homes;
            this->run = StatementRun::start(this->context, *this, this->group, this->session, this->pinnedLink, std::move(task),
                [this](RunResult&& ended) { this->result = std::move(ended); });
        }

        // Runs the event loop until the statement has its result.
        void runUntilResult()
        {
            for (int round = 0; round < 100 && !this->result; ++round) {
                this->context.restart();
                this->context.run_for(milliseconds(10));
                this->group->sweep(bootNow());
            }
            ASSERT_TRUE(this->result);
            EXPECT_FALSE(this->result->reply);
        }

        boost::asio::io_context context;
        platform::LineBackendCodec codec;
        ServerDirectory servers;
        EvacuationTable evacuations { Duration(0) };
        std::shared_ptr<QueueingPool> primaryPool;
        std::shared_ptr<GroupTracker> group;
        SessionState session;
        PooledLink pinnedLink;
        std::shared_ptr<StatementRun> run;
        std::optional<RunResult> result;
    };

    // Guards against EVAC by the statements of a transaction that was open before.
    TEST_F(StatementRunPlacementTest, AbortsTransactionInEvacuatedDataCentre)
    {
        this->session.begin(false, bootNow());
        this->pinnedLink = { this->primaryPool, this->primaryPool->link };
        this->evacuate();
        this->start();
        this->runUntilResult();
        EXPECT_EQ(this->result->error, ErrorKind::TransactionAborted);
        EXPECT_EQ(this->primaryPool->link->written, "");
        // The server rolls back.
        EXPECT_TRUE(this->primaryPool->link->isAborted);
        EXPECT_FALSE(this->pinnedLink);
    }

    // Guards against EVAC by a statement that waited for its connection.
    TEST_F(StatementRunPlacementTest, SendsNothingAfterAWaitInWhichTheDataCentreWasEvacuated)
    {
        this->start();
        ASSERT_EQ(this->primaryPool->waiting.size(), 1U);
        this->evacuate();
        this->primaryPool->waiting.front()(AcquireOutcome::Acquired, this->primaryPool->link);
        this->runUntilResult();
        // No server elsewhere can lead.
        EXPECT_EQ(this->result->error, ErrorKind::NoPrimary);
        EXPECT_EQ(this->primaryPool->link->written, "");
        EXPECT_FALSE(this->primaryPool->link->isAborted);
    }

    // Guards against HOME: a statement that only the primary can run went to it wherever it was.
    TEST_F(StatementRunPlacementTest, RefusesPrimaryOutsideHomesWithTheReason)
    {
        this->start(Homes({ Region("lower") }, {}));
        this->runUntilResult();
        EXPECT_EQ(this->result->error, ErrorKind::NoPrimary);
        EXPECT_EQ(this->result->detail, placementDetail(Placement::OutsideHomes));
        EXPECT_TRUE(this->primaryPool->waiting.empty());
        this->start(Homes({ Region("upper") }, { Region("upper") }));
        EXPECT_EQ(this->primaryPool->waiting.size(), 1U);
    }

}

}
