#include "foxtailtrail/failover/PrimaryAbsence.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    TimePoint at(int64_t ms) { return TimePoint(milliseconds(ms)); }

    TEST(PrimaryAbsenceTest, StatementsWaitForRenewalOfLease)
    {
        PrimaryAbsence absence;
        absence.recordMissing(at(1000));
        EXPECT_EQ(absence.waitUntil(at(1000), at(1640), false), at(1640));
        // A statement that could wait 0.64 s from the loss on learns after the time of a renewal that it cannot be served.
        EXPECT_EQ(absence.waitUntil(at(1290), at(1640), false), at(1640));
        EXPECT_EQ(absence.waitUntil(at(1300), at(1640), false), at(1300));
        absence.recordUsable(at(1020));
        EXPECT_FALSE(absence.since());
        // A renewal is no evidence of how long a promotion takes.
        absence.recordMissing(at(2000));
        EXPECT_EQ(absence.waitUntil(at(2250), at(2890), false), at(2890));
    }

    TEST(PrimaryAbsenceTest, StatementWithoutHopeIsRefusedAtOnce)
    {
        PrimaryAbsence absence;
        absence.recordMissing(at(1000));
        absence.recordUsable(at(2400));
        absence.recordMissing(at(5000));
        // The shortest promotion took 1.4 s. Before, each of these waited 640 ms.
        for (int64_t now = 5300; now + 640 < 6400; now += 20)
            EXPECT_EQ(absence.waitUntil(at(now), at(now + 640), false), at(now));
        // These can be served in time.
        EXPECT_EQ(absence.waitUntil(at(5800), at(6440), false), at(6440));
        EXPECT_EQ(absence.waitUntil(at(5300), at(6500), false), at(6500));
        // A shorter promotion makes statements wait again.
        absence.recordUsable(at(5900));
        absence.recordMissing(at(9000));
        EXPECT_EQ(absence.waitUntil(at(9300), at(9940), false), at(9940));
    }

    TEST(PrimaryAbsenceTest, AbsenceOnVmThatWasCutOffIsNoEvidence)
    {
        PrimaryAbsence absence;
        absence.recordMissing(at(1000));
        absence.recordUsable(at(9000));
        absence.recordMissing(at(10000));
        EXPECT_EQ(absence.waitUntil(at(10300), at(10940), false), at(10940));
    }

    TEST(PrimaryAbsenceTest, LongAbsenceAndIsolationShortenWait)
    {
        PrimaryAbsence absence;
        absence.recordMissing(at(1000));
        EXPECT_EQ(absence.waitUntil(at(2700), at(3340), false), at(2780));
        EXPECT_EQ(absence.waitUntil(at(1100), at(1740), true), at(1180));
    }

}

}
