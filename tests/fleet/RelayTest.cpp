#include "foxtailtrail/scheduling/RelayPlacement.h"
#include "tests/fleet/Fleet.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>

namespace foxtail::fleet {

namespace {

    using std::chrono::steady_clock;

    // A fleet whose VMs share the connections of one VM to each server.
    class RelayTest : public testing::Test {
    protected:
        RelayTest()
            : fleet(3, {}, Fleet::ConnectionMode::Relayed)
        {
        }
        void SetUp() override
        {
            ASSERT_TRUE(this->fleet.waitUntilReady()) << this->fleet.logs();
            // The VMs know each other after one round of heartbeats.
            ASSERT_TRUE(eventually([&] {
                const bool allServe = this->canWrite(0) && this->canWrite(1) && this->canWrite(2);
                return allServe && this->relaysForOthers(this->relayOfPrimary());
            }));
        }

        // Returns true when a write at the VM succeeds.
        bool canWrite(size_t vm)
        {
            Caller caller(this->fleet.callerPort(vm));
            return caller.isConnected() && caller.start("strict", "key-of-orga").succeeded()
                && caller.query("serves" + std::to_string(++this->statementCount), "WRITE s 1").succeeded();
        }

        // Returns the VM that should relay to the primary once all VMs know each other.
        size_t relayOfPrimary()
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

        // Returns true when the VM has logged that it holds connections to the primary for other VMs.
        bool relaysForOthers(size_t vm)
        {
            const std::string primary = this->fleet.group().serverId(this->fleet.group().primary().value());
            const std::string line
                = "\"vm\":\"vm" + std::to_string(vm) + R"(","event":"connections held for others","server":")" + primary + "\"";
            return this->fleet.logs().find(line) != std::string::npos;
        }

        Fleet fleet;
        size_t statementCount = 0;
    };

    // Guards against VMs that each open their own connection per organisation.
    TEST_F(RelayTest, SharesConnectionsOfOneServerAmongVms)
    {
        for (size_t organisation = 0; organisation < 8; ++organisation) {
            const std::string& key = this->fleet.organisations[organisation].keys.front();
            for (size_t vm = 0; vm < this->fleet.vmCount(); ++vm) {
                Caller caller(this->fleet.callerPort(vm));
                ASSERT_TRUE(caller.start("strict", key).succeeded());
                const std::string id = "o" + std::to_string(organisation) + "v" + std::to_string(vm);
                EXPECT_TRUE(eventually([&] { return caller.query(id + std::to_string(++this->statementCount), "READ x").succeeded(); }));
            }
        }
        const auto primary = this->fleet.group().primary();
        ASSERT_TRUE(primary);
        // 12 is the configured maximum; without relays, each VM would need one connection for each of the eight organisations. Connections
        // that a VM opened before it knew the other VMs are closed soon after.
        EXPECT_TRUE(eventually([&] { return this->fleet.group().connectionCount(*primary) <= 12; }, std::chrono::seconds(3)))
            << this->fleet.group().connectionCount(*primary);
    }

    // Guards against callers that stay without service when the VM that holds the server connections crashes.
    TEST_F(RelayTest, ReplacesCrashedRelay)
    {
        const size_t relayVm = this->relayOfPrimary();
        this->fleet.killVm(relayVm);
        const size_t other = (relayVm + 1) % this->fleet.vmCount();
        const auto killedAt = steady_clock::now();
        EXPECT_TRUE(eventually([&] { return this->canWrite(other); })) << this->fleet.logs();
        EXPECT_LT(steady_clock::now() - killedAt, std::chrono::seconds(3));
    }

    // Guards against a suspended relay VM that delays every statement of the other VMs until its time limit.
    TEST_F(RelayTest, ExcludesUnresponsiveRelay)
    {
        const size_t relayVm = this->relayOfPrimary();
        this->fleet.signalVm(relayVm, SIGSTOP);
        const size_t other = (relayVm + 1) % this->fleet.vmCount();
        const auto suspendedAt = steady_clock::now();
        EXPECT_TRUE(eventually([&] { return this->canWrite(other); })) << this->fleet.logs();
        EXPECT_LT(steady_clock::now() - suspendedAt, std::chrono::seconds(3));
        this->fleet.signalVm(relayVm, SIGCONT);
        EXPECT_TRUE(eventually([&] { return this->canWrite(relayVm); }));
    }

    // Guards against statements that are sent to a suspended relay VM again each time that its exclusion has lasted for a while. Such a
    // write has an unknown outcome.
    TEST_F(RelayTest, SendsNothingToRelayThatStaysSuspended)
    {
        const size_t relayVm = this->relayOfPrimary();
        this->fleet.signalVm(relayVm, SIGSTOP);
        const size_t other = (relayVm + 1) % this->fleet.vmCount();
        EXPECT_TRUE(eventually([&] { return this->canWrite(other); })) << this->fleet.logs();
        const auto playUntil = steady_clock::now() + std::chrono::seconds(5);
        while (steady_clock::now() < playUntil) {
            EXPECT_TRUE(this->canWrite(other));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        this->fleet.signalVm(relayVm, SIGCONT);
    }

    // Guards against a planned stop of the relay VM that interrupts a transaction of another VM's caller.
    TEST_F(RelayTest, FinishesTransactionsOfOtherVmsWhenRelayStops)
    {
        const size_t relayVm = this->relayOfPrimary();
        const size_t other = (relayVm + 1) % this->fleet.vmCount();
        Caller caller(this->fleet.callerPort(other));
        ASSERT_TRUE(caller.start("strict", "key-of-orga").succeeded());
        ASSERT_EQ(caller.query("t1", "BEGIN").state, 'T');
        ASSERT_TRUE(caller.query("t2", "WRITE t 1").succeeded());
        this->fleet.signalVm(relayVm, SIGTERM);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        EXPECT_TRUE(caller.query("t3", "WRITE t 2").succeeded());
        EXPECT_TRUE(caller.query("t4", "COMMIT").succeeded());
        EXPECT_TRUE(this->canWrite(other));
        EXPECT_EQ(this->fleet.waitForVm(relayVm), 0);
    }

    // Guards against a session that runs with session variables that another VM's session has left on the shared connection.
    TEST_F(RelayTest, KeepsVariablesOfSessionsOnSeveralVms)
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
        size_t checkedCount = 0;
        for (const standins::StatementRecord& record : this->fleet.records()) {
            if (record.requestId[0] != 'v')
                continue;
            const std::string vm(1, record.requestId[1]);
            const std::map<std::string, std::string> expected { { "of" + vm, vm } };
            EXPECT_EQ(record.sessionValues, expected) << record.requestId;
            EXPECT_EQ(record.text, "EXECUTE shape" + vm + " x 1");
            ++checkedCount;
        }
        EXPECT_EQ(checkedCount, 15U);
    }

}

}
