#include "foxtailtrail/scheduling/RelayPlacement.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::seconds;

    const DataCentre near("near");
    const DataCentre beside("beside");
    const DataCentre far("far");
    const std::map<std::string, std::string> regions { { "near", "r1" }, { "beside", "r1" }, { "far", "r2" } };
    const TimePoint start { seconds(100) };

    BackendServerId server(int number) { return BackendServerId("b" + std::to_string(number)); }

    // Returns ten small VMs and two large ones in each data centre.
    std::vector<RelayCandidate> fleet()
    {
        std::vector<RelayCandidate> candidates;
        for (const DataCentre& place : { near, beside, far }) {
            for (int number = 0; number < 12; ++number)
                candidates.push_back({ VmId(place.value + std::to_string(number)), place, number < 2 ? 0.5 : 0.12 });
        }
        return candidates;
    }

    class RelayPlacementTest : public testing::Test {
    protected:
        RelayPlacementTest() { this->placement.setCandidates(fleet()); }
        std::string relay(int number, TimePoint at = start)
        {
            const auto vm = this->placement.relayFor(server(number), near, at);
            return vm ? vm->value : "";
        }

        RelayPlacement placement { regions };
    };

    // Guards against a statement that crosses data centres twice.
    TEST_F(RelayPlacementTest, ChoosesRelayInDataCentreOfServer)
    {
        for (int number = 0; number < 100; ++number)
            EXPECT_TRUE(this->relay(number).starts_with("near")) << this->relay(number);
    }

    // Guards against VMs that choose different relays for a server, each of which then opens its own connections.
    TEST_F(RelayPlacementTest, ChoiceIsIndependentOfCandidateOrder)
    {
        std::vector<RelayCandidate> reversed = fleet();
        std::reverse(reversed.begin(), reversed.end());
        RelayPlacement other(regions);
        other.setCandidates(reversed);
        for (int number = 0; number < 100; ++number)
            EXPECT_EQ(other.relayFor(server(number), near, start), VmId(this->relay(number)));
    }

    // Guards against small VMs that relay as much as large ones: the two large ones have 74% of the weight.
    TEST_F(RelayPlacementTest, LargeVmsRelayMostServers)
    {
        int large = 0;
        for (int number = 0; number < 1000; ++number) {
            const std::string vm = this->relay(number);
            large += vm == "near0" || vm == "near1" ? 1 : 0;
        }
        EXPECT_GT(large, 680);
        EXPECT_LT(large, 800);
    }

    // Guards against all servers moving to other VMs when one VM leaves.
    TEST_F(RelayPlacementTest, MovesOnlyServersOfExcludedVm)
    {
        std::vector<std::string> before;
        before.reserve(200);
        for (int number = 0; number < 200; ++number)
            before.push_back(this->relay(number));
        this->placement.exclude(VmId("near0"));
        for (int number = 0; number < 200; ++number) {
            if (before[number] == "near0")
                EXPECT_NE(this->relay(number), "near0");
            else
                EXPECT_EQ(this->relay(number), before[number]);
        }
        this->placement.admit(VmId("near0"));
        for (int number = 0; number < 200; ++number)
            EXPECT_EQ(this->relay(number), before[number]);
    }

    // Guards against a server that is unreachable for all VMs because its usual relay cannot reach it.
    TEST_F(RelayPlacementTest, RelayExcludedForOneServerKeepsOthers)
    {
        const std::string usual = this->relay(7);
        int same = 0;
        while (same == 7 || this->relay(same) != usual)
            ++same;
        this->placement.exclude(VmId(usual), server(7), start + seconds(1));
        EXPECT_NE(this->relay(7), usual);
        EXPECT_EQ(this->relay(same), usual);
        EXPECT_EQ(this->relay(7, start + seconds(1)), usual);
    }

    // Guards against a hop to another region, which costs more than a direct connection.
    TEST_F(RelayPlacementTest, FallsBackToRegionButNotBeyond)
    {
        std::vector<RelayCandidate> candidates = fleet();
        std::erase_if(candidates, [](const RelayCandidate& each) { return each.dataCentre == near; });
        this->placement.setCandidates(candidates);
        EXPECT_TRUE(this->relay(1).starts_with("beside"));
        std::erase_if(candidates, [](const RelayCandidate& each) { return each.dataCentre == beside; });
        this->placement.setCandidates(candidates);
        EXPECT_EQ(this->relay(1), "");
    }

    // Guards against a hop where direct connections suffice: 9 VMs and 8 organisations at 22 and 34 connections. Also guards
    // against fleets that open a connection for each statement: 9 VMs with 8 organisations at 16 connections, and 61 with 73 at 70.
    TEST(NeedsRelayTest, LargeFleetsWithFewConnectionsNeedRelays)
    {
        EXPECT_FALSE(needsRelay(9, 8, 22));
        EXPECT_FALSE(needsRelay(12, 8, 34));
        EXPECT_TRUE(needsRelay(9, 8, 16));
        EXPECT_TRUE(needsRelay(61, 73, 70));
        EXPECT_TRUE(needsRelay(71, 78, 160));
    }

}

}
