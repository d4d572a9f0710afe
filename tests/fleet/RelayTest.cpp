#include "foxtailtrail/scheduling/RelayPlacement.h"
#include "tests/fleet/Fleet.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>

namespace foxtail::fleet {

namespace {

    using std::chrono::steady_clock;

    // The VMs share the connections of one VM to each server.
    class RelayTest : public testing::Test {
    protected:
        RelayTest()
            : fleet(3, {}, Fleet::ConnectionMode::Relayed)
        {
        }
        void SetUp() override
        {
            ASSERT_TRUE(this->fleet.waitUntilReady()) << this->fleet.logs();
            // The VMs know each other after a round of greetings.
            ASSERT_TRUE(eventually([&] {
                const bool allServe = this->serves(0) && this->serves(1) && this->serves(2);
                return allServe && this->holdsForOthers(this->holderOfPrimary());
            }));
        }

        // Whether a write at the VM succeeds.
        bool serves(size_t vm)
        {
            Caller caller(this->fleet.callerPort(vm));
            return caller.isConnected() && caller.start("strict", "key-of-orga").succeeded()
                && caller.query("serves" + std::to_string(++this->statements), "WRITE s 1").succeeded();
        }

        // The VM that should hold the connections to the primary once all VMs know each other.
        size_t holderOfPrimary()
        {
            std::vector<RelayCandidate> candidates;
            for (size_t vm = 0; vm < this->fleet.vmCount(); ++vm)
                candidates.push_back({ VmId("vm" + std::to_string(vm)), DataCentre("zone-a"), 1 });
            const std::map<std::string, std::string> regions { { "zone-a", "region-a" } };
            RelayPlacement placement(regions);
            placement.setCandidates(candidates);
            const std::string primary = this->fleet.group().serverId(this->fleet.group().primary().value());
            return std::stoul(placement.relayFor(BackendServerId(primary), DataCentre("zone-a"), TimePoint {})->value.substr(2));
        }

        // Whether the VM has connections to the primary that others use.
        bool holdsForOthers(size_t vm)
        {
            const std::string primary = this->fleet.group().serverId(this->fleet.group().primary().value());
            const std::string line
                = "\"vm\":\"vm" + std::to_string(vm) + R"(","event":"connections held for others","server":")" + primary + "\"";
            return this->fleet.logs().find(line) != std::string::npos;
        }

        Fleet fleet;
        size_t statements = 0;
    };

    // Guards against every VM opening its own connection for each organisation.
    TEST_F(RelayTest, AServersConnectionsServeAllVms)
    {
        for (size_t organisation = 0; organisation < 8; ++organisation) {
            const std::string& key = this->fleet.organisations[organisation].keys.front();
            for (size_t vm = 0; vm < this->fleet.vmCount(); ++vm) {
                Caller caller(this->fleet.callerPort(vm));
                ASSERT_TRUE(caller.start("strict", key).succeeded());
                const std::string id = "o" + std::to_string(organisation) + "v" + std::to_string(vm);
                EXPECT_TRUE(eventually([&] { return caller.query(id + std::to_string(++this->statements), "READ x").succeeded(); }));
            }
        }
        const auto primary = this->fleet.group().primary();
        ASSERT_TRUE(primary);
        // The configured maximum, while each VM would need one for each of the eight organisations by itself. Those that a VM opened before
        // it knew the others are closed soon.
        EXPECT_TRUE(eventually([&] { return this->fleet.group().connectionCount(*primary) <= 12; }, std::chrono::seconds(3)))
            << this->fleet.group().connectionCount(*primary);
    }

    // Guards against callers who are stranded when the VM that holds the connections dies.
    TEST_F(RelayTest, TheLossOfTheHolderIsMadeUpForByAnotherVm)
    {
        const size_t holder = this->holderOfPrimary();
        this->fleet.killVm(holder);
        const size_t other = (holder + 1) % this->fleet.vmCount();
        const auto killed = steady_clock::now();
        EXPECT_TRUE(eventually([&] { return this->serves(other); })) << this->fleet.logs();
        EXPECT_LT(steady_clock::now() - killed, std::chrono::seconds(3));
    }

    // Guards against a holder that stands still and holds up every statement of the others until its time limit.
    TEST_F(RelayTest, ASilentHolderIsPassedOver)
    {
        const size_t holder = this->holderOfPrimary();
        this->fleet.signalVm(holder, SIGSTOP);
        const size_t other = (holder + 1) % this->fleet.vmCount();
        const auto stopped = steady_clock::now();
        EXPECT_TRUE(eventually([&] { return this->serves(other); })) << this->fleet.logs();
        EXPECT_LT(steady_clock::now() - stopped, std::chrono::seconds(3));
        this->fleet.signalVm(holder, SIGCONT);
        EXPECT_TRUE(eventually([&] { return this->serves(holder); }));
    }

    // Guards against a planned stop of the holder that cuts off a transaction of another VM's caller.
    TEST_F(RelayTest, AStoppingHolderFinishesTheTransactionsOfOthers)
    {
        const size_t holder = this->holderOfPrimary();
        const size_t other = (holder + 1) % this->fleet.vmCount();
        Caller caller(this->fleet.callerPort(other));
        ASSERT_TRUE(caller.start("strict", "key-of-orga").succeeded());
        ASSERT_EQ(caller.query("t1", "BEGIN").state, 'T');
        ASSERT_TRUE(caller.query("t2", "WRITE t 1").succeeded());
        this->fleet.signalVm(holder, SIGTERM);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        EXPECT_TRUE(caller.query("t3", "WRITE t 2").succeeded());
        EXPECT_TRUE(caller.query("t4", "COMMIT").succeeded());
        EXPECT_TRUE(this->serves(other));
        EXPECT_EQ(this->fleet.waitForVm(holder), 0);
    }

    // Guards against a session that runs with the values that another VM's session has left on the shared connection.
    TEST_F(RelayTest, SessionsOfSeveralVmsKeepTheirValues)
    {
        std::vector<std::unique_ptr<Caller>> callers;
        for (size_t vm = 0; vm < this->fleet.vmCount(); ++vm) {
            callers.push_back(std::make_unique<Caller>(this->fleet.callerPort(vm)));
            ASSERT_TRUE(callers.back()->start("strict", "key-of-orga").succeeded());
            ASSERT_TRUE(callers.back()->query("set", "SET of" + std::to_string(vm) + " " + std::to_string(vm)).succeeded());
            ASSERT_TRUE(callers.back()->query("prepare", "PREPARE s WRITE shape" + std::to_string(vm)).succeeded());
        }
        for (int round = 0; round < 5; ++round) {
            for (size_t vm = 0; vm < callers.size(); ++vm) {
                const std::string id = "v" + std::to_string(vm) + "-" + std::to_string(round);
                ASSERT_TRUE(callers[vm]->query(id, "EXECUTE s x 1").succeeded());
            }
        }
        size_t checked = 0;
        for (const standins::StatementRecord& record : this->fleet.records()) {
            if (record.requestId[0] != 'v')
                continue;
            const std::string vm(1, record.requestId[1]);
            const std::map<std::string, std::string> expected { { "of" + vm, vm } };
            EXPECT_EQ(record.sessionValues, expected) << record.requestId;
            EXPECT_EQ(record.text, "EXECUTE shape" + vm + " x 1");
            ++checked;
        }
        EXPECT_EQ(checked, 15U);
    }

}

}
