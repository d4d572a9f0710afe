#include "foxtailtrail/membership/PeerTable.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const Region seq("seq");
    const Region fnq("fnq");
    const VmId peer("vm1");

    TimePoint at(int time) { return TimePoint(milliseconds(10000 + time)); }

    PeerTable tableWith(const std::vector<PeerHint>& hints, PeerTableSettings settings = {})
    {
        PeerTable table(settings, VmId("vm0"), seq);
        table.setPeers(hints, {}, at(0));
        return table;
    }

    PeerState stateOf(const PeerTable& table, TimePoint now) { return table.snapshot(now).at(0); }

}

// Guards against a VM that counts as alive only because it is listed, and against one that counts as dead after a single
// lost ping.
TEST(PeerTableTest, IsAliveOnlyAfterReport)
{
    PeerTable table = tableWith({ { peer, seq, {}, true } });
    EXPECT_FALSE(table.isAlive(peer, at(0)));
    EXPECT_EQ(table.heartbeatAge(peer, at(0)), std::nullopt);
    EXPECT_EQ(table.handleReport({ peer, 1, false }, at(0)), PeerChange::Appeared);
    EXPECT_TRUE(table.isAlive(peer, at(999)));
    EXPECT_FALSE(table.isAlive(peer, at(1000)));
    EXPECT_EQ(table.heartbeatAge(peer, at(1500)), milliseconds(1500));
    // The outdated list shows the peer as leaving; the peer's own report overrides it.
    EXPECT_FALSE(stateOf(table, at(10)).isLeaving);
    // A late reply proves only that the peer was alive when the ping was sent.
    EXPECT_EQ(table.handleReport({ peer, 1, false }, at(500)), PeerChange::None);
    EXPECT_EQ(table.handleReport({ peer, 1, false }, at(300)), PeerChange::None);
    EXPECT_FALSE(table.isAlive(peer, at(1500)));
}

// Guards against an undetected restart, and against late reports of the earlier process.
TEST(PeerTableTest, ReplacesEarlierProcessOfPeer)
{
    PeerTable table = tableWith({ { peer, seq, {}, false } });
    table.handleReport({ peer, 5, false }, at(0));
    EXPECT_EQ(table.handleReport({ peer, 5, true }, at(100)), PeerChange::Leaving);
    // Reports of one process may arrive out of order.
    EXPECT_EQ(table.handleReport({ peer, 5, false }, at(90)), PeerChange::None);
    EXPECT_TRUE(stateOf(table, at(110)).isLeaving);
    EXPECT_EQ(table.handleReport({ peer, 6, false }, at(200)), PeerChange::Restarted);
    EXPECT_FALSE(stateOf(table, at(210)).isLeaving);
    EXPECT_EQ(stateOf(table, at(210)).stateChangedAt, at(200));
    EXPECT_EQ(table.handleReport({ peer, 5, true }, at(210)), PeerChange::Outdated);
    EXPECT_FALSE(stateOf(table, at(220)).isLeaving);
    // Once the newer process is silent, the earlier one may be the only one left.
    EXPECT_EQ(table.handleReport({ peer, 5, false }, at(1300)), PeerChange::Restarted);
    EXPECT_TRUE(table.isAlive(peer, at(1310)));
}

// Guards against pings whose number grows with the fleet, that are too rare, or that come in a burst after this VM was
// paused.
TEST(PeerTableTest, BoundsAndSpreadsPings)
{
    std::vector<PeerHint> hints;
    for (int vm = 1; vm <= 40; ++vm)
        hints.push_back({ VmId("vm" + std::to_string(vm)), vm <= 8 ? seq : fnq, {}, false });
    PeerTable table({ .maximumPeers = 10 }, VmId("vm0"), seq);
    table.setPeers(hints, { VmId("vm40"), VmId("vm0") }, at(0));
    std::map<VmId, int> pings;
    size_t maxDuePings = 0;
    for (int time = 0; time < 5000; time += 50) {
        const std::vector<VmId> due = table.duePings(at(time));
        maxDuePings = std::max(maxDuePings, due.size());
        for (const VmId& vm : due)
            ++pings[vm];
    }
    EXPECT_EQ(pings.size(), 10U);
    EXPECT_TRUE(pings.contains(VmId("vm40")) && pings.contains(VmId("vm1")) && pings.contains(VmId("vm8")));
    for (const auto& [vm, count] : pings)
        EXPECT_NEAR(count, 20, 3) << vm;
    EXPECT_LE(maxDuePings, 6U);
    EXPECT_LE(table.duePings(at(60000)).size(), 10U);
    EXPECT_EQ(table.duePings(at(60050)).size(), 0U);
}

// Guards against the loss of a VM that is temporarily not listed, and against a table that keeps every VM that ever sent a
// ping.
TEST(PeerTableTest, KeepsUnlistedPeerWhileItReports)
{
    PeerTable table = tableWith({ { peer, seq, {}, false } });
    table.handleReport({ peer, 1, false }, at(0));
    table.handleReport({ VmId("stranger"), 1, false }, at(0));
    table.setPeers({}, {}, at(500));
    EXPECT_EQ(table.snapshot(at(500)).size(), 2U);
    table.duePings(at(1000));
    EXPECT_EQ(table.snapshot(at(1000)).size(), 0U);
}

// Guards against two VMs that both ping although one ping serves both, and against one that counts the other as dead
// because it does not ping itself.
TEST(PeerTableTest, OnlyOneOfTwoVmsPings)
{
    const Region region("seq");
    PeerTable first({}, VmId("a"), region);
    PeerTable second({}, VmId("b"), region);
    first.setPeers({ { VmId("b"), region, {}, false } }, {}, TimePoint());
    second.setPeers({ { VmId("a"), region, {}, false } }, {}, TimePoint());
    int pings = 0;
    constexpr Duration stepInterval = std::chrono::milliseconds(50);
    constexpr Duration runDuration = std::chrono::seconds(60);
    for (TimePoint time = TimePoint() + stepInterval; time < TimePoint() + runDuration; time += stepInterval) {
        if (!first.duePings(time).empty()) {
            ++pings;
            second.handlePing({ VmId("a"), 1, false }, time);
            first.handleReport({ VmId("b"), 1, false }, time);
        }
        if (!second.duePings(time).empty()) {
            ++pings;
            first.handlePing({ VmId("b"), 1, false }, time);
            second.handleReport({ VmId("a"), 1, false }, time);
        }
        if (time > TimePoint() + std::chrono::seconds(1)) {
            ASSERT_TRUE(first.isAlive(VmId("b"), time));
            ASSERT_TRUE(second.isAlive(VmId("a"), time));
        }
    }
    // 240 intervals of 250 ms, and a few more pings until only one of the two VMs still pings.
    EXPECT_LE(pings, 245);
    EXPECT_GE(pings, 180);
}

}
