#include "foxtailtrail/scheduling/ConnectionBudget.h"
#include "foxtailtrail/scheduling/HomePlacement.h"

#include <gtest/gtest.h>
#include <map>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    TimePoint at(int time) { return TimePoint(milliseconds(10000 + time)); }

    std::vector<PlacementCandidate> nineVms()
    {
        std::vector<PlacementCandidate> vms;
        vms.reserve(9);
        for (int index = 0; index < 9; ++index)
            vms.push_back({ VmId("vm" + std::to_string(index)), Region(index < 6 ? "seq" : "fnq"), true, false });
        return vms;
    }

    DatabaseId database(int index) { return DatabaseId("db" + std::to_string(index)); }

}

// Guards against homes in another region, homes that move although their VM stays alive, and regions without a substitute home.
TEST(HomePlacementTest, MovesOnlyHomesOfLostVm)
{
    HomePlacement placement({}, VmId("vm0"));
    std::vector<PlacementCandidate> vms = nineVms();
    placement.update(vms, at(0));
    EXPECT_EQ(placement.home(database(0), Region("fnq")), std::nullopt);
    placement.update(vms, at(2500));
    std::map<int, VmId> before;
    std::map<VmId, int> homes;
    for (int index = 0; index < 300; ++index) {
        before[index] = *placement.home(database(index), Region("fnq"));
        ++homes[before[index]];
    }
    EXPECT_EQ(homes.size(), 3U);
    for (const auto& [vm, count] : homes)
        EXPECT_NEAR(count, 100, 35) << vm;

    vms[7].isAlive = false;
    placement.update(vms, at(3000));
    for (int index = 0; index < 300; ++index) {
        const VmId home = *placement.home(database(index), Region("fnq"));
        EXPECT_TRUE(before[index] == VmId("vm7") ? home != VmId("vm7") : home == before[index]);
    }
    vms[6].isLeaving = true;
    vms[8].isAlive = false;
    placement.update(vms, at(4000));
    const VmId substitute = *placement.home(database(0), Region("fnq"));
    EXPECT_LT(substitute, VmId("vm6"));
    placement.exclude(database(0), Region("fnq"), substitute, at(4000));
    EXPECT_EQ(placement.home(database(0), Region("fnq")), placement.orderedVms(database(0), Region("fnq")).front());
    EXPECT_NE(placement.home(database(0), Region("fnq")), substitute);
    placement.update(vms, at(40000));
    EXPECT_EQ(placement.home(database(0), Region("fnq")), substitute);
}

// Guards against a split that exceeds the cap or leaves fewer connections than slots, for the caps of both users: 20 and 35.
TEST(ConnectionBudgetTest, SplitFitsCap)
{
    EXPECT_EQ(splitConnections(20, 3, 3).value(), (ConnectionSplit { 3, 1, 2 }));
    EXPECT_EQ(splitConnections(35, 3, 2).value(), (ConnectionSplit { 8, 1, 2 }));
    EXPECT_EQ(splitConnections(17, 3, 3).error().kind, ErrorKind::CommandInvalid);
    EXPECT_EQ(splitConnections(20, 0, 3).error().kind, ErrorKind::CommandInvalid);
}

// Guards against a pool that opens all its connections at once on a primary that has just been promoted.
TEST(ConnectionBudgetTest, OpensAtMostTwoConnectionsInTenMilliseconds)
{
    ConnectionBudget first({ 8, 1, 2 });
    ConnectionBudget second({ 8, 1, 2 });
    ConnectionPacer pacer;
    std::vector<int> openings;
    for (int time = 0; time < 200; ++time) {
        for (ConnectionBudget* budget : { &first, &second }) {
            if (budget->tryAcquire(ConnectionPurpose::Pooled, pacer, at(time)))
                openings.push_back(time);
        }
    }
    EXPECT_EQ(openings.size(), 16U);
    for (size_t index = 2; index < openings.size(); ++index)
        EXPECT_GE(openings[index] - openings[index - 2], 10);
    EXPECT_EQ(openings.back(), 70);
    // Reserved connections for a failover are not paced, but are still limited by the cap.
    EXPECT_TRUE(first.tryAcquire(ConnectionPurpose::Reserved, pacer, at(70)));
    EXPECT_TRUE(first.tryAcquire(ConnectionPurpose::Reserved, pacer, at(70)));
    EXPECT_FALSE(first.tryAcquire(ConnectionPurpose::Reserved, pacer, at(70)));
    first.setSplit({ 3, 1, 2 });
    EXPECT_EQ(first.excess(ConnectionPurpose::Pooled), 5U);
}

}
