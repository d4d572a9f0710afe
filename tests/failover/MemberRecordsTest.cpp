#include "foxtailtrail/failover/MemberRecords.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    TimePoint at(int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

    MemberRecords::Rank rankOf(size_t rank)
    {
        return [rank] { return rank; };
    }

    GroupMembers groupOf(const std::vector<std::string>& members)
    {
        GroupMembers group { ServiceName("s"), BackendServerId("a"), Term { 3 }, {} };
        for (const std::string& member : members)
            group.members.emplace_back(member);
        return group;
    }

    // Guards against a group without a record: a VM that starts while its servers are not listed would not know them.
    TEST(MemberRecordsTest, RecordsGroupThatHasNoRecord)
    {
        MemberRecords records;
        const std::optional<PrimaryRecord> first = records.dueRecord(groupOf({ "a", "b" }), std::nullopt, rankOf(0), at(0));
        ASSERT_TRUE(first);
        EXPECT_EQ(*first,
            (PrimaryRecord {
                ServiceName("s"), Term { 3 }, BackendServerId("a"), true, {}, { BackendServerId("a"), BackendServerId("b") } }));
        EXPECT_FALSE(records.dueRecord(groupOf({ "a", "b" }), *first, rankOf(0), at(500)));
    }

    // Guards against a server that joins and is not recorded, and against a write for each check while the store does not respond.
    TEST(MemberRecordsTest, RecordsServerThatJoins)
    {
        MemberRecords records;
        const PrimaryRecord stored = *records.dueRecord(groupOf({ "a", "b" }), std::nullopt, rankOf(0), at(0));
        EXPECT_FALSE(records.dueRecord(groupOf({ "a", "b" }), stored, rankOf(0), at(500)));
        const std::optional<PrimaryRecord> changed = records.dueRecord(groupOf({ "a", "b", "c" }), stored, rankOf(0), at(1000));
        ASSERT_TRUE(changed);
        EXPECT_EQ(changed->members.size(), 3U);
        EXPECT_EQ(changed->term, stored.term);
        EXPECT_LT(stored.memberRevision, changed->memberRevision);
        EXPECT_FALSE(records.dueRecord(groupOf({ "a", "b", "c" }), stored, rankOf(0), at(1500)));
        EXPECT_TRUE(records.dueRecord(groupOf({ "a", "b", "c" }), stored, rankOf(0), at(2000)));
    }

    // Guards against all VMs of the fleet that write the same record, and against none that does because the first one does not know the
    // group.
    TEST(MemberRecordsTest, WritesInTheOrderOfTheVms)
    {
        MemberRecords records;
        EXPECT_FALSE(records.dueRecord(groupOf({ "a", "b" }), std::nullopt, rankOf(2), at(0)));
        EXPECT_FALSE(records.dueRecord(groupOf({ "a", "b" }), std::nullopt, rankOf(2), at(1999)));
        EXPECT_TRUE(records.dueRecord(groupOf({ "a", "b" }), std::nullopt, rankOf(2), at(2000)));
    }

    // Guards against a record that ends a promotion which another VM has decided.
    TEST(MemberRecordsTest, WritesNothingWhileThePrimaryIsReplaced)
    {
        MemberRecords records;
        PrimaryRecord decision { ServiceName("s"), Term { 4 }, BackendServerId("b"), false };
        EXPECT_FALSE(records.dueRecord(groupOf({ "a", "b" }), decision, rankOf(0), at(0)));
        decision.isSettled = true;
        EXPECT_FALSE(records.dueRecord(groupOf({ "a", "b" }), decision, rankOf(0), at(5000)));
    }

}

}
