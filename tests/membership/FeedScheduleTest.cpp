#include "foxtailtrail/membership/FeedSchedule.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration responseTime = milliseconds(20);

    struct Silence {
        TimePoint begin;
        TimePoint end;
        // Calls that run during the silence never receive a response.
        bool takes(TimePoint sentAt, TimePoint respondsAt) const { return sentAt < this->end && this->begin <= respondsAt; }
    };

    FeedSchedule scheduleOf(Duration bound, uint64_t seed) { return FeedSchedule::create(bound, seed).value(); }

    // Follows a store that is silent once. Returns when a change that the store confirms at the given time is known to the VM. The VM
    // begins a call at the start of time, after an earlier change.
    TimePoint knownAt(FeedSchedule schedule, bool isReader, const Silence& silence, TimePoint confirmedAt)
    {
        TimePoint now {};
        while (true) {
            const FeedCall call = schedule.nextStoreCall(now, isReader);
            const TimePoint changedAt = std::clamp(confirmedAt, now, now + call.hold);
            const TimePoint respondsAt = changedAt + responseTime;
            if (respondsAt < call.giveUpAt && !silence.takes(now, respondsAt)) {
                schedule.recordResponse();
                now = respondsAt;
                if (confirmedAt <= changedAt)
                    return now;
                continue;
            }
            now = call.giveUpAt + schedule.recordFailure();
        }
    }

    class FeedScheduleTest : public testing::TestWithParam<Duration> { };

    INSTANTIATE_TEST_SUITE_P(Bounds, FeedScheduleTest,
        testing::Values(FeedSchedule::minBound, milliseconds(3000), milliseconds(5000), milliseconds(6000), milliseconds(7000)),
        [](const auto& info) { return std::to_string(toMilliseconds(info.param)) + "ms"; });

    // Guards against a change that is known too late because a held call was lost, or because the calls during a silence are given up late.
    TEST_P(FeedScheduleTest, KnowsChangeInTimeWhenStoreWasSilent)
    {
        for (uint64_t seed = 1; seed <= 2; ++seed) {
            for (const Duration length : { milliseconds(1), milliseconds(300), milliseconds(1700), milliseconds(5250) }) {
                for (Duration begin { 0 }; begin < milliseconds(8000); begin += milliseconds(110)) {
                    const Silence silence { TimePoint(begin), TimePoint(begin + length) };
                    for (Duration confirmed = begin; confirmed < begin + length + milliseconds(4000); confirmed += milliseconds(130)) {
                        const TimePoint confirmedAt(confirmed);
                        // A VM may be collecting a batch when the change is confirmed.
                        const TimePoint deadline = std::max(confirmedAt, silence.end) + GetParam() - FeedSchedule::changeBatchDelay;
                        for (const bool isReader : { false, true })
                            ASSERT_LE(knownAt(scheduleOf(GetParam(), seed), isReader, silence, confirmedAt), deadline)
                                << toMilliseconds(begin) << " " << toMilliseconds(length) << " " << toMilliseconds(confirmed);
                    }
                }
            }
        }
    }

    // Guards against a VM that waits for a reader without a response for longer than changes may be unknown.
    TEST_P(FeedScheduleTest, AsksStoreInTimeWhenReaderDoesNotRespond)
    {
        const FeedSchedule schedule = scheduleOf(GetParam(), 1);
        const TimePoint begin {};
        FeedSchedule afterReader = schedule;
        const FeedCall reader = schedule.nextReaderCall(begin);
        afterReader.requestImmediateResponse();
        const FeedCall store = afterReader.nextStoreCall(reader.giveUpAt, false);
        EXPECT_EQ(store.hold, Duration(0));
        EXPECT_LE(store.giveUpAt + FeedSchedule::changeBatchDelay, begin + GetParam());
    }

    // Guards against the cost of calls that end earlier than they have to.
    TEST(FeedScheduleTest, HoldsCallsForMostOfTheBound)
    {
        EXPECT_GE(scheduleOf(milliseconds(3000), 1).nextStoreCall({}, false).hold, milliseconds(1000));
        EXPECT_GE(scheduleOf(milliseconds(7000), 1).nextStoreCall({}, true).hold, milliseconds(3000));
        EXPECT_GE(scheduleOf(milliseconds(7000), 1).nextReaderCall({}).hold, milliseconds(2500));
    }

    // Guards against VMs that all wait in the same state when the store fails after a change, which makes all of them ask at one time.
    TEST(FeedScheduleTest, EndsCallsOfDifferentVmsAtDifferentTimes)
    {
        std::vector<Duration> holds;
        for (uint64_t seed = 1; seed <= 9; ++seed)
            holds.push_back(scheduleOf(milliseconds(3000), seed).nextStoreCall({}, false).hold);
        std::sort(holds.begin(), holds.end());
        EXPECT_EQ(std::adjacent_find(holds.begin(), holds.end()), holds.end());
        EXPECT_GE(holds.back() - holds.front(), milliseconds(100));
    }

    // Guards against a store that is slow for a while and never serves a call, because each one is given up before its response.
    TEST(FeedScheduleTest, WaitsLongerForSlowStore)
    {
        FeedSchedule schedule = scheduleOf(milliseconds(3000), 1);
        Duration waited { 0 };
        for (int call = 0; call < 3; ++call) {
            schedule.recordFailure();
            const FeedCall next = schedule.nextStoreCall({}, false);
            EXPECT_EQ(next.hold, Duration(0));
            waited = next.giveUpAt - TimePoint {};
        }
        EXPECT_EQ(waited, milliseconds(1200));
        EXPECT_TRUE(schedule.isUnavailable());
        schedule.recordResponse();
        EXPECT_FALSE(schedule.isUnavailable());
        EXPECT_GT(schedule.nextStoreCall({}, false).hold, Duration(0));
    }

    // Guards against a bound that leaves no time for a held call, with which a VM would call without a pause.
    TEST(FeedScheduleTest, RejectsBoundThatIsTooShort)
    {
        EXPECT_FALSE(FeedSchedule::create(FeedSchedule::minBound - milliseconds(1), 1));
        EXPECT_GT(scheduleOf(FeedSchedule::minBound, 1).nextStoreCall({}, true).hold, Duration(0));
    }

}

}
