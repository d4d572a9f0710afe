#include "foxtailtrail/server/GroupController.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "standins/BackendStandin.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    // A group of three stand-ins controlled by one GroupController.
    class GroupControllerTest : public testing::Test {
    protected:
        void SetUp() override
        {
            this->replicas.push_back(std::make_unique<standins::BackendStandin>(replicaOf("b2", this->primary.address())));
            this->replicas.push_back(std::make_unique<standins::BackendStandin>(replicaOf("b3", this->primary.address())));
            Database database;
            database.id = DatabaseId("bookings");
            this->addServer(database, "b1", this->primary.port());
            this->addServer(database, "b2", this->replicas[0]->port());
            this->addServer(database, "b3", this->replicas[1]->port());
            GroupControllerSettings settings;
            settings.processName = "vm1-1";
            // Disables promotions, because these tests cover waits under one primary.
            settings.monitor.unansweredProbeTimeout = std::chrono::hours(1);
            settings.monitor.brokenLinkTimeout = std::chrono::hours(1);
            GroupControllerCallbacks callbacks;
            callbacks.onViewChange = [] {};
            this->thread->call([&] {
                this->groupController = GroupController::create(settings, callbacks, database, {}).value();
                this->groupController->start();
            });
        }

        void TearDown() override
        {
            for (const auto& replica : this->replicas)
                replica->setFault("silent", "none");
            this->thread->call([this] { this->groupController->stop(); });
        }

        Durability awaitDurability(Duration timeout)
        {
            return this->thread->call([&] {
                return this->groupController->awaitDurability({ Term { 1 }, Position { 0 } }, now() + timeout);
            });
        }

        static standins::BackendStandinSettings replicaOf(const std::string& id, const std::string& primary)
        {
            standins::BackendStandinSettings settings;
            settings.serverId = id;
            settings.role = ServerRole::Replica;
            settings.primaryAddress = primary;
            return settings;
        }

        static void addServer(Database& database, const std::string& id, uint16_t port)
        {
            BackendServer server;
            server.id = BackendServerId(id);
            server.address = "127.0.0.1";
            server.port = port;
            server.region = Region("seq");
            database.servers.push_back(server);
        }

        standins::BackendStandin primary { {} };
        std::vector<std::unique_ptr<standins::BackendStandin>> replicas;
        std::unique_ptr<FiberThread> thread = FiberThread::start("control");
        std::shared_ptr<GroupController> groupController;
    };

}

// Guards against a stale read without a token: reports of a majority from before the read arrived must not confirm the term, because the
// primary may have been replaced since then.
TEST_F(GroupControllerTest, IgnoresTermReportsFromBeforeTheWait)
{
    ASSERT_EQ(this->awaitDurability(std::chrono::seconds(30)), Durability::Durable);
    for (const auto& replica : this->replicas)
        replica->setFault("silent", "all");
    // One reply of each replica may already have been in transit.
    (void)this->awaitDurability(std::chrono::milliseconds(400));
    EXPECT_EQ(this->awaitDurability(std::chrono::milliseconds(600)), Durability::Expired);
    for (const auto& replica : this->replicas)
        replica->setFault("silent", "none");
    EXPECT_EQ(this->awaitDurability(std::chrono::seconds(30)), Durability::Durable);
}

}
