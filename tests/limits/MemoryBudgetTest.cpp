#include "foxtailtrail/limits/MemoryBudget.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    constexpr size_t mebibyte = size_t { 1 } << 20;
    constexpr TimePoint start { std::chrono::hours(1) };

    MemoryBudget smallBudget() { return MemoryBudget::create(64 * mebibyte, 250).value(); }

    // A connection that has sent bytes of an ordinary message just now.
    MemoryHolder activeHolder(size_t bytes)
    {
        MemoryHolder holder;
        holder.bytes = bytes;
        holder.hasStarted = true;
        holder.acceptedAt = start;
        holder.messageBegunAt = start;
        holder.lastProgressAt = start;
        return holder;
    }

    TEST(MemoryBudgetTest, HoldsAtLeastOneMessage)
    {
        EXPECT_EQ(MemoryBudget::create(48 * mebibyte, 250).value().largePlaces(), 1U);
        EXPECT_FALSE(MemoryBudget::create(47 * mebibyte, 250));
        EXPECT_FALSE(MemoryBudget::create(64 * mebibyte, 100));
    }

    TEST(MemoryBudgetTest, GivesPlacesForLargeMessagesWhileTheyAreFree)
    {
        MemoryBudget budget = smallBudget();
        ASSERT_EQ(budget.largePlaces(), 1U);
        EXPECT_TRUE(budget.takeLargePlace());
        EXPECT_FALSE(budget.takeLargePlace());
        budget.returnLargePlace();
        EXPECT_TRUE(budget.takeLargePlace());
    }

    TEST(MemoryBudgetTest, ClosesStalledHolderOfPlaceOnlyWhenOthersWait)
    {
        MemoryBudget budget = smallBudget();
        ASSERT_TRUE(budget.takeLargePlace());
        MemoryHolder stalled = activeHolder(mebibyte);
        stalled.holdsLargePlace = true;
        const TimePoint later = start + std::chrono::seconds(3);
        EXPECT_TRUE(budget.evictions({ stalled }, later).empty());
        MemoryHolder waiting = activeHolder(MemoryBudget::smallMessageBytes);
        waiting.isWaiting = true;
        const auto evicted = budget.evictions({ waiting, stalled }, later);
        ASSERT_EQ(evicted.size(), 1U);
        EXPECT_EQ(evicted[0].holder, 1U);
        EXPECT_EQ(evicted[0].reason, MemoryRefusal::Shortage);
        // A message that arrives steadily keeps its place.
        stalled.lastProgressAt = later;
        EXPECT_TRUE(budget.evictions({ waiting, stalled }, later).empty());
    }

    // Also guards against closing callers that make progress while others hold the memory.
    TEST(MemoryBudgetTest, ClosesLargestWithoutProgressWhenBuffersAreFull)
    {
        MemoryBudget budget = smallBudget();
        budget.change(CallerMemory::Unsent, 0, 8 * mebibyte);
        EXPECT_FALSE(budget.hasBufferRoom());
        const TimePoint later = start + std::chrono::seconds(3);
        MemoryHolder active = activeHolder(4 * mebibyte);
        active.lastProgressAt = later;
        const auto evicted = budget.evictions({ activeHolder(mebibyte), active, activeHolder(3 * mebibyte) }, later);
        ASSERT_EQ(evicted.size(), 1U);
        EXPECT_EQ(evicted[0].holder, 2U);
        // Far over the limit, progress does not help.
        budget.change(CallerMemory::Unsent, 8 * mebibyte, 20 * mebibyte);
        EXPECT_EQ(budget.evictions({ active }, later).size(), 1U);
    }

    TEST(MemoryBudgetTest, LimitsTimeForStartMessageAndAnswer)
    {
        const MemoryBudget budget = smallBudget();
        MemoryHolder silent = activeHolder(0);
        silent.hasStarted = false;
        silent.messageBegunAt = TimePoint {};
        MemoryHolder slow = activeHolder(100);
        slow.lastProgressAt = start + std::chrono::seconds(59);
        MemoryHolder unread = activeHolder(100);
        unread.messageBegunAt = TimePoint {};
        unread.hasUnsentBytes = true;
        MemoryHolder idle = activeHolder(0);
        idle.messageBegunAt = TimePoint {};
        EXPECT_TRUE(budget.evictions({ silent, slow, unread, idle }, start + std::chrono::seconds(29)).empty());
        const auto evicted = budget.evictions({ silent, slow, unread, idle }, start + std::chrono::seconds(60));
        ASSERT_EQ(evicted.size(), 3U);
        EXPECT_EQ(evicted[0].reason, MemoryRefusal::NoStart);
        EXPECT_EQ(evicted[1].reason, MemoryRefusal::SlowMessage);
        EXPECT_EQ(evicted[2].reason, MemoryRefusal::UnreadAnswer);
    }

    TEST(MemoryBudgetTest, KeepsRoomForSmallSessions)
    {
        MemoryBudget budget = smallBudget();
        EXPECT_TRUE(budget.maySessionGrow(0, mebibyte));
        EXPECT_FALSE(budget.maySessionGrow(0, 3 * mebibyte));
        budget.change(CallerMemory::Sessions, 0, 6 * mebibyte);
        EXPECT_FALSE(budget.maySessionGrow(0, mebibyte));
        EXPECT_TRUE(budget.maySessionGrow(0, 1024));
        EXPECT_TRUE(budget.maySessionGrow(2 * mebibyte, mebibyte));
    }

}

}
