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

// Guards against a VM that counts as alive because a list names it, and against one lost ping that makes it dead.
TEST(PeerTableTest, OnlyAnswersMakeAPeerAlive)
{
    PeerTable table = tableWith({ { peer, seq, {}, true } });
    EXPECT_FALSE(table.isAlive(peer, at(0)));
    EXPECT_EQ(table.heartbeatAge(peer, at(0)), std::nullopt);
    EXPECT_EQ(table.handleReport({ peer, 1, false }, at(0)), PeerChange::Appeared);
    EXPECT_TRUE(table.isAlive(peer, at(999)));
    EXPECT_FALSE(table.isAlive(peer, at(1000)));
    EXPECT_EQ(table.heartbeatAge(peer, at(1500)), milliseconds(1500));
    // The lagging list said that the peer leaves; the peer itself knows better.
    EXPECT_FALSE(stateOf(table, at(10)).isLeaving);
    // A late answer proves only that the peer lived when it was asked.
    EXPECT_EQ(table.handleReport({ peer, 1, false }, at(500)), PeerChange::None);
    EXPECT_EQ(table.handleReport({ peer, 1, false }, at(300)), PeerChange::None);
    EXPECT_FALSE(table.isAlive(peer, at(1500)));
}

// Guards against a restart that goes unnoticed, and against late words of the earlier process.
TEST(PeerTableTest, ANewProcessReplacesTheEarlierOne)
{
    PeerTable table = tableWith({ { peer, seq, {}, false } });
    table.handleReport({ peer, 5, false }, at(0));
    EXPECT_EQ(table.handleReport({ peer, 5, true }, at(100)), PeerChange::Leaving);
    // Reports of one process may overtake each other.
    EXPECT_EQ(table.handleReport({ peer, 5, false }, at(90)), PeerChange::None);
    EXPECT_TRUE(stateOf(table, at(110)).isLeaving);
    EXPECT_EQ(table.handleReport({ peer, 6, false }, at(200)), PeerChange::Restarted);
    EXPECT_FALSE(stateOf(table, at(210)).isLeaving);
    EXPECT_EQ(stateOf(table, at(210)).stateChangedAt, at(200));
    EXPECT_EQ(table.handleReport({ peer, 5, true }, at(210)), PeerChange::Outdated);
    EXPECT_FALSE(stateOf(table, at(220)).isLeaving);
    // Once the newer process is silent, the earlier one may be the one that is left.
    EXPECT_EQ(table.handleReport({ peer, 5, false }, at(1300)), PeerChange::Restarted);
    EXPECT_TRUE(table.isAlive(peer, at(1310)));
}

// Guards against pings that grow with the fleet, come too seldom, or come in a burst after this VM was paused.
TEST(PeerTableTest, PingsAreBoundedAndSpread)
{
    std::vector<PeerHint> hints;
    for (int vm = 1; vm <= 40; ++vm)
        hints.push_back({ VmId("vm" + std::to_string(vm)), vm <= 8 ? seq : fnq, {}, false });
    PeerTable table({ .maximumPeers = 10 }, VmId("vm0"), seq);
    table.setPeers(hints, { VmId("vm40"), VmId("vm0") }, at(0));
    std::map<VmId, int> pings;
    size_t most = 0;
    for (int time = 0; time < 5000; time += 50) {
        const std::vector<VmId> due = table.duePings(at(time));
        most = std::max(most, due.size());
        for (const VmId& vm : due)
            ++pings[vm];
    }
    EXPECT_EQ(pings.size(), 10U);
    EXPECT_TRUE(pings.contains(VmId("vm40")) && pings.contains(VmId("vm1")) && pings.contains(VmId("vm8")));
    for (const auto& [vm, count] : pings)
        EXPECT_NEAR(count, 20, 3) << vm;
    EXPECT_LE(most, 6U);
    EXPECT_LE(table.duePings(at(60000)).size(), 10U);
    EXPECT_EQ(table.duePings(at(60050)).size(), 0U);
}

// Guards against a VM that disappears because the list forgot it, and against a table that keeps every VM that ever pinged.
TEST(PeerTableTest, AnUnlistedPeerStaysAsLongAsItAnswers)
{
    PeerTable table = tableWith({ { peer, seq, {}, false } });
    table.handleReport({ peer, 1, false }, at(0));
    table.handleReport({ VmId("stranger"), 1, false }, at(0));
    table.setPeers({}, {}, at(500));
    EXPECT_EQ(table.snapshot(at(500)).size(), 2U);
    table.duePings(at(1000));
    EXPECT_EQ(table.snapshot(at(1000)).size(), 0U);
}

// Guards against two VMs that both ping although each ping tells both of them, and against one that falls silent for the other.
TEST(PeerTableTest, OneOfTwoVmsPings)
{
    const Region region("seq");
    PeerTable first({}, VmId("a"), region);
    PeerTable second({}, VmId("b"), region);
    first.setPeers({ { VmId("b"), region, {}, false } }, {}, TimePoint());
    second.setPeers({ { VmId("a"), region, {}, false } }, {}, TimePoint());
    int pings = 0;
    constexpr Duration tick = std::chrono::milliseconds(50);
    constexpr Duration runLength = std::chrono::seconds(60);
    for (TimePoint time = TimePoint() + tick; time < TimePoint() + runLength; time += tick) {
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
    // 240 intervals of 250 ms, and a few pings until one of the two has the turn.
    EXPECT_LE(pings, 245);
    EXPECT_GE(pings, 180);
}

}
