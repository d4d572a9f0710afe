#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/GroupController.h"
#include "standins/BackendStandin.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    // A group of three stand-ins that one GroupWatch watches.
    class GroupWatchTest : public testing::Test {
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
            // No promotion: these tests are about waits under one primary.
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

        Durability awaitDurability(Duration time)
        {
            return this->thread->call([&] { return this->groupController->awaitDurability({ Term { 1 }, Position { 0 } }, now() + time); });
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

// Guards against a read without a token that is confirmed by what a majority reported before the read arrived: the primary may
// have been replaced since then, and its answer would be stale.
TEST_F(GroupWatchTest, OldReportsConfirmNothing)
{
    ASSERT_EQ(this->awaitDurability(std::chrono::seconds(30)), Durability::Durable);
    for (const auto& replica : this->replicas)
        replica->setFault("silent", "all");
    // One answer of each replica may have been on its way.
    (void)this->awaitDurability(std::chrono::milliseconds(400));
    EXPECT_EQ(this->awaitDurability(std::chrono::milliseconds(600)), Durability::Expired);
    for (const auto& replica : this->replicas)
        replica->setFault("silent", "none");
    EXPECT_EQ(this->awaitDurability(std::chrono::seconds(30)), Durability::Durable);
}

}
