#include "foxtailtrail/proxy/StatementRun.h"

#include "foxtailtrail/proxy/BootClock.h"
#include "platform/LineProtocol.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const ServiceName service("s");
    const BackendServerId primary("b1");
    const BackendServerId replica("b2");

    // A link of a relay that denies each channel at once.
    class DeniedLink final : public BackendLink, public std::enable_shared_from_this<DeniedLink> {
    public:
        DeniedLink(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& server, AcquireOutcome outcome)
            : BackendLink(codec, server, "organisation")
            , context(context)
            , outcome(outcome)
        {
        }
        bool isUsable() const override { return true; }
        void abort() override { this->setListener(nullptr); }
        bool lossIndicatesServerFailure() const override { return false; }
        std::optional<TimePoint> returnAt() const override { return TimePoint(milliseconds(1)); }

    private:
        void write(std::string_view, size_t) override
        {
            boost::asio::post(this->context, [self = this->shared_from_this()] {
                if (self->listener())
                    self->listener()->linkDenied(self->outcome);
            });
        }
        boost::asio::io_context& context;
        AcquireOutcome outcome;
    };

    class DenyingPool final : public LinkPool {
    public:
        DenyingPool(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& server, AcquireOutcome outcome)
            : LinkPool(server)
            , context(context)
            , codec(codec)
            , outcome(outcome)
        {
        }
        uint64_t acquire(const LinkRequest&, AcquireCallback callback) override
        {
            ++this->requestCount;
            callback(AcquireOutcome::Acquired, std::make_shared<DeniedLink>(this->context, this->codec, this->server(), this->outcome));
            return 0;
        }
        void cancel(uint64_t) override { }
        void release(const std::shared_ptr<BackendLink>& link) override { link->setListener(nullptr); }
        void drop(const std::shared_ptr<BackendLink>& link) override { link->abort(); }
        void recordBusy() override { }
        void recordReply(TimePoint) override { }
        bool hasFreeLink(const std::string&) const override { return true; }
        uint32_t outstandingRequests() const override { return 0; }

        size_t requestCount = 0;

    private:
        boost::asio::io_context& context;
        const BackendCodec& codec;
        AcquireOutcome outcome;
    };

    class FakeContext final : public GroupContext {
    public:
        FakeContext()
        {
            for (const BackendServerId& id : { primary, replica }) {
                ServerEntry entry;
                entry.id = id;
                entry.service = service;
                entry.reportsPrimary = id == primary;
                this->servers.put(entry);
            }
        }
        const ServerDirectory& directory() const override { return this->servers; }
        std::shared_ptr<LinkPool> pool(const BackendServerId& id) override { return id == replica ? this->replicaPool : nullptr; }
        Distance distanceTo(const ServerEntry&) const override { return Distance::SameDataCentre; }
        const BackendCodec& backendCodec() const override { return this->codec; }
        bool isIsolated() const override { return false; }
        bool mayMissServers() const override { return false; }
        bool mayStopSoon(const BackendServerId&, TimePoint) const override { return false; }
        void examineGroup(const ServiceName&, std::string_view) override { }

        ServerDirectory servers;
        std::shared_ptr<LinkPool> replicaPool;
        platform::LineBackendCodec codec;
    };

    class StatementRunTest : public testing::Test {
    protected:
        // Runs a read for 200 ms at a replica whose relay denies each channel with this outcome.
        void run(AcquireOutcome outcome)
        {
            this->pool = std::make_shared<DenyingPool>(
                this->context, this->groupContext.codec, *this->groupContext.servers.find(replica), outcome);
            this->groupContext.replicaPool = this->pool;
            const auto group = std::make_shared<GroupTracker>(service, this->groupContext);
            const TimePoint now = bootNow();
            group->recordReply(primary, LogPoint { Term { 1 }, Position { 5 } }, now - milliseconds(500), true);
            StatementTask task;
            task.requestId = "1";
            task.statement.kind = StatementKind::Read;
            task.statement.text = "READ a";
            task.route.service = service;
            task.route.consistency = Consistency::BoundedStaleness;
            task.route.maxStaleness = milliseconds(1500);
            task.organisation = "organisation";
            task.deadline = now + milliseconds(800);
            this->statementRun = StatementRun::start(this->context, this->groupContext, group, this->session, this->pinnedLink, task,
                [this](RunResult&& finished) { this->result = std::move(finished); });
            this->context.run_for(milliseconds(200));
        }

        boost::asio::io_context context;
        FakeContext groupContext;
        std::shared_ptr<DenyingPool> pool;
        SessionState session;
        PooledLink pinnedLink;
        std::shared_ptr<StatementRun> statementRun;
        std::optional<RunResult> result;
    };

    // Guards against a read that asks a relay which does not know the server yet without a pause (342 attempts in 545 ms on nanhe scale-2).
    TEST_F(StatementRunTest, PausesWhenRelayDoesNotKnowServer)
    {
        this->run(AcquireOutcome::Gone);
        EXPECT_GE(this->pool->requestCount, 2U);
        EXPECT_LE(this->pool->requestCount, 10U);
    }

    // Guards against statements that wait for their time limit although no queue has room for them.
    TEST_F(StatementRunTest, EndsAtOnceWhenNoQueueHasRoom)
    {
        this->run(AcquireOutcome::Exhausted);
        ASSERT_TRUE(this->result);
        EXPECT_EQ(this->result->error, ErrorKind::Overloaded);
        EXPECT_EQ(this->result->retryAt, TimePoint(milliseconds(1)));
        EXPECT_EQ(this->pool->requestCount, 1U);
    }

}

}
