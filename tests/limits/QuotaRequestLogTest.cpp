#include "foxtailtrail/limits/QuotaRequestLog.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const TimePoint start { std::chrono::seconds(10) };
    const VmId allocator("vm1");

    // Guards against a quota allocator that is given up after one lost message or slow reply, as it was for 2 s.
    TEST(QuotaRequestLogTest, GivesUpAllocatorOnlyAfterSeveralUnansweredRequests)
    {
        QuotaRequestLog log;
        TimePoint now = start;
        for (int request = 0; request < 3; ++request) {
            EXPECT_FALSE(log.takeUnresponsiveAllocator(now));
            EXPECT_FALSE(log.isReplyAwaited(now));
            log.recordSent(allocator, now);
            EXPECT_TRUE(log.isReplyAwaited(now + milliseconds(50)));
            now += milliseconds(120);
            EXPECT_TRUE(log.isRepetitionDue(now));
        }
        EXPECT_EQ(log.takeUnresponsiveAllocator(now), allocator);
        EXPECT_FALSE(log.takeUnresponsiveAllocator(now));
        EXPECT_FALSE(log.isRepetitionDue(now));
    }

    // Guards against grants that are thrown away because a repeated request overtook a slow reply, and against one that is applied twice.
    TEST(QuotaRequestLogTest, AcceptsLateRepliesInOrderOnly)
    {
        QuotaRequestLog log;
        const uint64_t first = log.recordSent(allocator, start);
        const uint64_t second = log.recordSent(allocator, start + milliseconds(60));
        const uint64_t third = log.recordSent(allocator, start + milliseconds(180));
        ASSERT_TRUE(log.recordReply(first));
        EXPECT_FALSE(log.recordReply(first));
        const auto answered = log.recordReply(third);
        ASSERT_TRUE(answered);
        EXPECT_EQ(answered->sentAt, start + milliseconds(180));
        EXPECT_FALSE(log.recordReply(second)) << "the newer grant replaces this one";
        EXPECT_FALSE(log.isReplyAwaited(start + milliseconds(181)));
    }

    // Guards against a wait for the reply of an allocator that has answered that it cannot allocate, and against requests without a pause
    // while all VMs start.
    TEST(QuotaRequestLogTest, RepeatsDeclinedRequestAtOnceButNotWithoutEnd)
    {
        QuotaRequestLog log;
        log.recordSent(allocator, start);
        EXPECT_FALSE(log.recordDeclined(VmId("vm2"))) << "the request was sent to another VM";
        EXPECT_TRUE(log.recordDeclined(allocator));
        EXPECT_FALSE(log.recordDeclined(allocator)) << "the request has been declined already";
        EXPECT_TRUE(log.isRepetitionDue(start));
        EXPECT_FALSE(log.takeUnresponsiveAllocator(start));
        size_t requests = 0;
        for (; requests < 1000; ++requests) {
            const VmId next("vm" + std::to_string(requests));
            log.recordSent(next, start);
            if (!log.recordDeclined(next))
                break;
        }
        EXPECT_LT(requests, 30U);
        EXPECT_TRUE(log.isReplyAwaited(start));
        EXPECT_TRUE(log.isRepetitionDue(start + milliseconds(60)));
    }

    // Guards against replies of one allocator that are counted for another.
    TEST(QuotaRequestLogTest, ForgetsRequestsToEarlierAllocator)
    {
        QuotaRequestLog log;
        const uint64_t first = log.recordSent(allocator, start);
        log.recordSent(VmId("vm2"), start + milliseconds(60));
        EXPECT_FALSE(log.recordReply(first));
        EXPECT_FALSE(log.takeUnresponsiveAllocator(start + milliseconds(500)));
    }

}

}
