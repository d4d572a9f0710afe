#include "foxtailtrail/failover/FleetEvidence.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint now { std::chrono::hours(1) };
    const VmId self("v1");
    const VmId other("v2");

    LogPoint point(uint64_t position) { return { Term { 2 }, Position { position } }; }

    // A VM that started a minute ago, has sampled a position a second ago and holds commits back.
    GroupReport reportOf(const VmId& vm, uint64_t acknowledged)
    {
        GroupReport report;
        report.vm = vm;
        report.receivedAt = now;
        report.remembersFrom = now - std::chrono::minutes(1);
        report.sampledAt = now - seconds(1);
        report.sampledLogPoint = point(acknowledged + 1);
        report.acknowledged = point(acknowledged);
        report.holdsBackCommits = true;
        return report;
    }

    FleetEvidence evidenceOf(const GroupReport& first, const GroupReport& second)
    {
        FleetEvidence evidence;
        evidence.expectReportsOf({ self, other });
        evidence.record(first);
        evidence.record(second);
        return evidence;
    }

    TEST(FleetEvidenceTest, KnowsEveryCommitOnceAllVmsHoldCommitsBack)
    {
        const FleetEvidence evidence = evidenceOf(reportOf(self, 7), reportOf(other, 9));
        EXPECT_TRUE(evidence.isEveryCommitKnown(now));
        EXPECT_EQ(evidence.highestAcknowledged(), point(9));
        EXPECT_EQ(evidence.highestPossible(std::nullopt), point(10));
    }

    // Guards against a group without a primary: commits that only a former primary held, and that its successor rolled back, would be
    // required of every candidate.
    TEST(FleetEvidenceTest, RequiresNoCommitThatALaterPrimaryHasRolledBack)
    {
        const FleetEvidence evidence = evidenceOf(reportOf(self, 7), reportOf(other, 9));
        const LogPoint takenOver { point(10).term, Position { 9 } };
        EXPECT_EQ(evidence.highestPossible(takenOver), takenOver);
        // What a VM knows to be acknowledged is required all the same, and so is a sample of a later term.
        EXPECT_EQ(evidence.highestPossible(point(3)), point(9));
        EXPECT_EQ(evidence.highestPossible(LogPoint { Term { 0 }, Position { 3 } }), point(10));
    }

    // Guards against a replacement that finds no successor at its order: the VMs drop their samples when they learn of the decision.
    TEST(FleetEvidenceTest, KeepsWhatAVmHasReportedBefore)
    {
        FleetEvidence evidence = evidenceOf(reportOf(self, 7), reportOf(other, 9));
        GroupReport later = reportOf(other, 8);
        later.sampledAt.reset();
        later.sampledLogPoint.reset();
        evidence.record(later);
        later.vm = self;
        evidence.record(later);
        EXPECT_TRUE(evidence.isEveryCommitKnown(now));
        EXPECT_EQ(evidence.highestPossible(std::nullopt), point(10));
        // A VM that was started again has lost what it acknowledged after the sample.
        later.remembersFrom = now;
        evidence.record(later);
        EXPECT_FALSE(evidence.isEveryCommitKnown(now));
    }

    // Guards against a promotion beside a VM that does not answer, or that goes on to use the primary.
    TEST(FleetEvidenceTest, DoesNotKnowCommitsOfVmThatIsSilentOrUsesThePrimary)
    {
        FleetEvidence alone;
        EXPECT_FALSE(alone.isEveryCommitKnown(now));
        alone.expectReportsOf({ self, other });
        alone.record(reportOf(self, 7));
        EXPECT_FALSE(alone.isEveryCommitKnown(now));
        EXPECT_FALSE(alone.hasAnswer(self));
        GroupReport usingPrimary = reportOf(other, 7);
        usingPrimary.holdsBackCommits = false;
        EXPECT_FALSE(evidenceOf(reportOf(self, 7), usingPrimary).isEveryCommitKnown(now));
        EXPECT_TRUE(evidenceOf(reportOf(self, 7), usingPrimary).hasAnswer(self));
    }

    // Guards against a promotion on a promise that has ended.
    TEST(FleetEvidenceTest, DoesNotCountReportThatIsOlderThanThePromise)
    {
        const FleetEvidence evidence = evidenceOf(reportOf(self, 7), reportOf(other, 7));
        EXPECT_TRUE(evidence.isEveryCommitKnown(now + FleetEvidence::reportLifetime));
        EXPECT_FALSE(evidence.isEveryCommitKnown(now + FleetEvidence::reportLifetime + milliseconds(1)));
        EXPECT_LT(FleetEvidence::reportLifetime, FleetEvidence::holdBackPeriod);
    }

    // Guards against the loss of commits that a VM had acknowledged before it was restarted (review case 10).
    TEST(FleetEvidenceTest, DoesNotKnowCommitsOfFormerProcessOfVm)
    {
        GroupReport restarted = reportOf(other, 7);
        restarted.remembersFrom = now - milliseconds(999);
        EXPECT_FALSE(evidenceOf(reportOf(self, 7), restarted).isEveryCommitKnown(now));
        restarted.remembersFrom = now - seconds(1);
        EXPECT_TRUE(evidenceOf(reportOf(self, 7), restarted).isEveryCommitKnown(now));
    }

    TEST(FleetEvidenceTest, KnowsNothingWithoutSample)
    {
        GroupReport first = reportOf(self, 7);
        GroupReport second = reportOf(other, 7);
        first.sampledAt.reset();
        second.sampledAt.reset();
        EXPECT_FALSE(evidenceOf(first, second).isEveryCommitKnown(now));
    }

    // Guards against the replacement of a primary that serves other VMs.
    TEST(FleetEvidenceTest, ShowsCommitSentAfterGivenTime)
    {
        GroupReport served = reportOf(other, 7);
        served.commitSentAt = now - milliseconds(10);
        const FleetEvidence evidence = evidenceOf(reportOf(self, 7), served);
        EXPECT_TRUE(evidence.hasCommitAfter(now - milliseconds(11)));
        EXPECT_FALSE(evidence.hasCommitAfter(now - milliseconds(10)));
    }

}

}
