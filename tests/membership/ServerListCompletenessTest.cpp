#include "foxtailtrail/membership/ServerListCompleteness.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    TimePoint at(int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

    // Guards against a VM that takes its list for complete because enough time has passed since it first read it, although it has received
    // none of the entries that came back since.
    TEST(ServerListCompletenessTest, IsNotCompleteWithoutContentOfLaterTime)
    {
        ServerListCompleteness list;
        list.recordContent(at(980), at(1000));
        EXPECT_EQ(list.neededContentTime(), at(3500));
        EXPECT_EQ(list.completeFrom(), TimePoint::max());
        // A response to a call that was sent before the return period had passed may lack entries.
        list.recordContent(at(3499), at(5000));
        EXPECT_FALSE(list.areLapsedEntriesBack());
        EXPECT_EQ(list.completeFrom(), TimePoint::max());
        list.recordContent(at(3500), at(3600));
        EXPECT_TRUE(list.areLapsedEntriesBack());
        EXPECT_EQ(list.completeFrom(), at(3500));
        EXPECT_FALSE(list.neededContentTime());
    }

    // Guards against a VM that counts the time during which the store was away again.
    TEST(ServerListCompletenessTest, StartsAgainAfterFailure)
    {
        ServerListCompleteness list;
        list.recordContent(at(1000), at(1000));
        list.recordFailure();
        EXPECT_FALSE(list.neededContentTime());
        list.recordContent(at(3600), at(3700));
        EXPECT_FALSE(list.areLapsedEntriesBack());
        EXPECT_EQ(list.completeFrom(), TimePoint::max());
        list.recordContent(at(6200), at(6300));
        EXPECT_TRUE(list.areLapsedEntriesBack());
        // A VM that has known all servers still knows them after an outage, but entries that lapsed meanwhile may not be back.
        list.recordFailure();
        EXPECT_FALSE(list.areLapsedEntriesBack());
        list.recordContent(at(9000), at(9000));
        EXPECT_FALSE(list.areLapsedEntriesBack());
        EXPECT_EQ(list.completeFrom(), at(6200));
    }

    // Guards against changes from another VM that count like the store's own, although that VM has only just reached the store again.
    TEST(ServerListCompletenessTest, TakesContentOfAnotherVmForAsCompleteAsThatVmSays)
    {
        ServerListCompleteness list;
        list.recordContent(at(1000), at(1000));
        list.recordPassedOn(false, at(4000));
        EXPECT_FALSE(list.areLapsedEntriesBack());
        EXPECT_EQ(list.completeFrom(), TimePoint::max());
        list.recordPassedOn(true, at(5000));
        EXPECT_TRUE(list.areLapsedEntriesBack());
        EXPECT_EQ(list.completeFrom(), at(5000));
    }

}

}
