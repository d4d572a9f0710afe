#include "foxtailtrail/scheduling/RelayTrials.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    TimePoint at(int64_t ms) { return TimePoint(milliseconds(ms)); }

    const VmId relay("relay");
    constexpr int64_t connectTimeoutMs = 400;

    // The policy of an exclusion that ends by itself: the statement after its end finds out whether the relay answers.
    class TimedExclusion {
    public:
        void recordLoss(int64_t nowMs) { this->excludedUntilMs = nowMs + (1500 << std::min(this->losses++, 4)); }
        bool isExcluded(int64_t nowMs) const { return nowMs < this->excludedUntilMs; }

    private:
        int64_t excludedUntilMs = 0;
        int losses = 0;
    };

    // The outcome of a network partition during which a VM has a statement for its relay every 50 ms.
    struct PartitionResult {
        size_t delayedStatements = 0;
        // Time from the end of the partition until statements use the relay again.
        int64_t returnMs = 0;
    };

    constexpr int64_t statementIntervalMs = 50;

    PartitionResult playTimedExclusion(int64_t partitionMs)
    {
        PartitionResult result;
        TimedExclusion exclusion;
        exclusion.recordLoss(0);
        int64_t connectingUntilMs = 0;
        for (int64_t now = 0;; now += statementIntervalMs) {
            if (exclusion.isExcluded(now))
                continue;
            if (now >= partitionMs) {
                result.returnMs = now - partitionMs;
                return result;
            }
            if (connectingUntilMs == 0)
                connectingUntilMs = now + connectTimeoutMs;
            ++result.delayedStatements;
            if (now + statementIntervalMs >= connectingUntilMs) {
                exclusion.recordLoss(connectingUntilMs);
                connectingUntilMs = 0;
            }
        }
    }

    PartitionResult playTrials(int64_t partitionMs)
    {
        PartitionResult result;
        RelayTrials trials;
        trials.recordLoss(relay, false, at(0));
        int64_t trialFailsAtMs = 0;
        for (int64_t now = 0;; now += statementIntervalMs) {
            if (trialFailsAtMs != 0 && now >= trialFailsAtMs) {
                trials.recordFailure(relay, at(now));
                trialFailsAtMs = 0;
            }
            if (!trials.takeDueTrials(at(now)).empty()) {
                if (now >= partitionMs)
                    trials.recordAnswer(relay);
                else
                    trialFailsAtMs = now + connectTimeoutMs;
            }
            if (trials.isExcluded(relay))
                continue;
            if (now >= partitionMs) {
                result.returnMs = now - partitionMs;
                return result;
            }
            ++result.delayedStatements;
        }
    }

    // Guards against statements that wait for a relay on the other side of a network partition each time that its exclusion ends, and
    // against a relay that is not used for long after the partition.
    TEST(RelayTrialsTest, NoStatementWaitsForUnreachableRelay)
    {
        for (const int64_t partitionMs : { 2'000, 7'000, 20'000, 60'000 }) {
            const PartitionResult trials = playTrials(partitionMs);
            EXPECT_EQ(trials.delayedStatements, 0U) << partitionMs;
            EXPECT_LE(trials.returnMs, 2'500) << partitionMs;
            EXPECT_GE(playTimedExclusion(partitionMs).delayedStatements, 8U) << partitionMs;
        }
    }

    // Guards against statements that are sent to a lost relay before it has answered.
    TEST(RelayTrialsTest, ExcludesRelayUntilTrialIsAnswered)
    {
        RelayTrials trials;
        EXPECT_FALSE(trials.isExcluded(relay));
        trials.recordLoss(relay, false, at(0));
        EXPECT_TRUE(trials.isExcluded(relay));
        EXPECT_TRUE(trials.takeDueTrials(at(499)).empty());
        EXPECT_EQ(trials.takeDueTrials(at(500)), std::vector { relay });
        EXPECT_TRUE(trials.isExcluded(relay));
        trials.recordAnswer(relay);
        EXPECT_FALSE(trials.isExcluded(relay));
        EXPECT_TRUE(trials.takeDueTrials(at(100'000)).empty());
    }

    // Guards against a VM that starts trials while one is running, and against trials that stop after failures.
    TEST(RelayTrialsTest, RepeatsTrialAfterFailureOnly)
    {
        RelayTrials trials;
        trials.recordLoss(relay, false, at(0));
        EXPECT_EQ(trials.takeDueTrials(at(500)).size(), 1U);
        EXPECT_TRUE(trials.takeDueTrials(at(100'000)).empty());
        trials.recordFailure(relay, at(100'000));
        EXPECT_TRUE(trials.takeDueTrials(at(100'999)).empty());
        EXPECT_EQ(trials.takeDueTrials(at(101'000)).size(), 1U);
        for (int64_t ms = 110'000; ms < 200'000; ms += 10'000) {
            trials.recordFailure(relay, at(ms));
            EXPECT_TRUE(trials.takeDueTrials(at(ms + 1'999)).empty());
            EXPECT_EQ(trials.takeDueTrials(at(ms + 2'000)).size(), 1U);
        }
    }

    // Guards against trials at a VM that ends its last transactions.
    TEST(RelayTrialsTest, TriesStoppingRelayAfterItsGracePeriod)
    {
        RelayTrials trials;
        trials.recordLoss(relay, true, at(0));
        EXPECT_TRUE(trials.takeDueTrials(at(5'999)).empty());
        EXPECT_EQ(trials.takeDueTrials(at(6'000)).size(), 1U);
    }

}

}
