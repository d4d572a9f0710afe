#include "foxtailtrail/proxy/GroupTracker.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/GroupUpdateCodec.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/replication/EvacuationTable.h"
#include "platform/LineProtocol.h"
#include "tests/proxy/FakePool.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const ServiceName service("s");
    const BackendServerId oldPrimary("b1");
    const BackendServerId replica("b2");

    LogPoint point(uint64_t term, uint64_t number) { return { Term { term }, Position { number } }; }

    // A context without connections: it sends no messages and counts the requested examinations.
    class FakeGroupContext : public GroupContext {
    public:
        FakeGroupContext()
        {
            for (const BackendServerId& id : { oldPrimary, replica }) {
                ServerEntry entry;
                entry.id = id;
                entry.service = service;
                entry.reportsPrimary = id == oldPrimary;
                this->servers.put(entry);
            }
        }

        const ServerDirectory& directory() const override { return this->servers; }
        std::shared_ptr<LinkPool> pool(const BackendServerId& id) override { return id == replica ? this->replicaPool : nullptr; }
        Distance distanceTo(const ServerEntry&) const override { return Distance::SameDataCentre; }
        const BackendCodec& backendCodec() const override { return this->codec; }
        bool isIsolated() const override { return this->isVmIsolated; }
        bool mayMissServers() const override { return this->canMissServers; }
        bool mayStopSoon(const BackendServerId& id, TimePoint time) const override { return this->servers.isLeavingSince(id, time); }
        void examineGroup(const ServiceName&, std::string_view) override { ++this->examinationCount; }
        Placement placementIn(const DataCentre& dataCentre, const Homes& homes, TimePoint time) const override
        {
            return PlacementRule({ { "north", "upper" }, { "south", "lower" } }).serverIn(dataCentre, homes, this->evacuations, time);
        }
        void moveTo(const BackendServerId& id, const std::string& dataCentre)
        {
            ServerEntry entry = *this->servers.find(id);
            entry.dataCentre = DataCentre(dataCentre);
            this->servers.put(entry);
        }

        bool maySendWhileCold(const ServerEntry& entry, TimePoint) const override { return entry.coldFor == Duration(0); }

        EvacuationTable evacuations { milliseconds(1250) };

        ServerDirectory servers;
        std::shared_ptr<LinkPool> replicaPool;
        platform::LineBackendCodec codec;
        bool isVmIsolated = false;
        bool canMissServers = true;
        size_t examinationCount = 0;
    };

    ProbedStatus answeredStatus(const BackendServerId& id, bool primary, uint64_t term, TimePoint probeSentAt = {})
    {
        ProbedStatus status;
        status.server = id;
        status.outcome = ProbeOutcome::Answered;
        status.isPrimary = primary;
        status.term = Term { term };
        status.requestedAt = probeSentAt;
        return status;
    }

    class GroupTrackerTest : public testing::Test {
    protected:
        void commitAt(TimePoint sentAt, uint64_t number) { this->group->recordReply(oldPrimary, point(1, number), sentAt, true); }
        bool isUsable(TimePoint at) { return this->group->isUsablePrimary(oldPrimary, at); }

        FakeGroupContext context;
        std::shared_ptr<GroupTracker> group = std::make_shared<GroupTracker>(service, this->context);
        TimePoint now = bootNow();
    };

    // Guards against reads and writes at a primary that may have been replaced.
    TEST_F(GroupTrackerTest, UsesPrimaryOnlyWhileLeaseIsProven)
    {
        EXPECT_FALSE(this->isUsable(this->now));
        // The reply to a read does not renew the lease.
        this->group->recordReply(oldPrimary, point(1, 5), this->now, false);
        EXPECT_FALSE(this->isUsable(this->now));
        this->commitAt(this->now, 6);
        EXPECT_TRUE(this->isUsable(this->now + primaryLeaseLifetime));
        EXPECT_FALSE(this->isUsable(this->now + primaryLeaseLifetime + milliseconds(1)));
    }

    // Guards against counting a replica of the new primary as proof that the old primary is still the primary, which caused stale reads
    // (STALE on wattle scale-1).
    TEST_F(GroupTrackerTest, StopsUsingPrimaryWhenReplicaReportsNewerTerm)
    {
        this->commitAt(this->now, 6);
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(100)) });
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(250)) });
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(800)));
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(801)));
        this->group->applyStatusRound({ answeredStatus(replica, false, 2, this->now + milliseconds(300)) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(300)));
        EXPECT_EQ(this->context.examinationCount, 1U);
    }

    // Guards against a promotion without commits that a replica has reported before it left or crashed, or that another VM has seen
    // acknowledged.
    TEST_F(GroupTrackerTest, RequiresLogsThatWereReportedOrAcknowledged)
    {
        EXPECT_FALSE(this->group->requiredLogPoint(this->now));
        this->commitAt(this->now, 6);
        EXPECT_EQ(this->group->requiredLogPoint(this->now), point(1, 6));
        ProbedStatus reported = answeredStatus(replica, false, 1);
        reported.receivedLogPoint = point(1, 8);
        // Commits of the primary alone are not acknowledged.
        ProbedStatus primaryStatus = answeredStatus(oldPrimary, true, 1);
        primaryStatus.receivedLogPoint = point(1, 12);
        this->group->recordReportedLogs({ reported, primaryStatus });
        EXPECT_EQ(this->group->requiredLogPoint(this->now), point(1, 8));
        GroupUpdate update { service, oldPrimary, Term { 1 }, this->now, point(1, 11), this->now, point(1, 10) };
        this->group->applyUpdate(decodeGroupUpdates(encodeGroupUpdates({ update }, this->now), this->now).at(0));
        EXPECT_EQ(this->group->requiredLogPoint(this->now), point(1, 10));
    }

    // Guards against a commit that no VM reports, because its reply arrived after the decision to replace the server had become known.
    TEST_F(GroupTrackerTest, ReportsCommitAcknowledgedAfterDecisionToReplaceItsServer)
    {
        this->commitAt(this->now, 6);
        PrimaryRecord decision { service, Term { 2 }, replica, false };
        decision.predecessor = oldPrimary;
        this->context.servers.recordPrimary(decision);
        this->group->directoryChanged();
        this->commitAt(this->now + milliseconds(1), 7);
        const GroupReport report = this->group->report(this->now + milliseconds(2), true);
        EXPECT_EQ(report.acknowledged, point(1, 7));
        EXPECT_EQ(report.commitSentAt, this->now + milliseconds(1));
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(2)));
    }

    // Guards against a group that has no primary for good, because commits were lost with the servers that held them.
    TEST_F(GroupTrackerTest, RequiresNoLogThatIsLostForGood)
    {
        this->commitAt(this->now, 6);
        EXPECT_TRUE(this->group->requiredLogPoint(this->now + milliseconds(13'999)));
        EXPECT_FALSE(this->group->requiredLogPoint(this->now + milliseconds(14'000)));
        // A primary of a newer term shows that the commits are lost.
        ProbedStatus promoted = answeredStatus(oldPrimary, true, 2, this->now);
        promoted.receivedLogPoint = point(1, 4);
        this->group->confirmPrimary(promoted);
        EXPECT_EQ(this->group->requiredLogPoint(this->now), point(1, 4));
    }

    // Guards against a VM that has just started and counts commits as lost for good because it has never known the primary to lead (review
    // case 10).
    TEST_F(GroupTrackerTest, RequiresReportedLogsFromItsStartOn)
    {
        ProbedStatus reported = answeredStatus(replica, false, 1);
        reported.receivedLogPoint = point(1, 8);
        this->group->recordReportedLogs({ reported });
        EXPECT_EQ(this->group->requiredLogPoint(this->now + milliseconds(13'900)), point(1, 8));
        EXPECT_FALSE(this->group->requiredLogPoint(this->now + milliseconds(14'000)));
    }

    // Guards against a leaving server that counts as gone because the primary seems to have led after its removal, while both are behind a
    // partition (review case 6): the replicas that this VM reaches do not notice that.
    TEST_F(GroupTrackerTest, TakesOnlyRepliesOfThePrimaryForProofThatItLed)
    {
        this->context.canMissServers = false;
        this->commitAt(this->now, 6);
        EXPECT_EQ(this->group->lastLedAt(), this->now);
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(100)) });
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(800)));
        EXPECT_EQ(this->group->lastLedAt(), this->now);
        const GroupUpdate update { service, oldPrimary, Term { 1 }, this->now + milliseconds(300), point(1, 6),
            this->now + milliseconds(200), point(1, 6) };
        this->group->applyUpdate(update);
        EXPECT_EQ(this->group->lastLedAt(), this->now + milliseconds(200));
        this->group->recordReply(oldPrimary, point(1, 6), this->now + milliseconds(400), false);
        EXPECT_EQ(this->group->lastLedAt(), this->now + milliseconds(400));
    }

    // Guards against statements that reach a draining primary so late that it may stop before it answers (DRAIN beside a partition that
    // keeps it from being replaced).
    TEST_F(GroupTrackerTest, StopsUsingLeavingPrimaryThatMayStopSoon)
    {
        ServerEntry draining = *this->context.servers.find(oldPrimary);
        draining.isDraining = true;
        this->context.servers.put(draining);
        this->context.servers.expire(this->now + milliseconds(100));
        this->commitAt(this->now, 6);
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(99)));
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(100)));
    }

    // Guards against a commit that is acknowledged after this VM has reported what it knows to one that replaces the primary.
    TEST_F(GroupTrackerTest, SendsNothingToPrimaryWhileItHoldsCommitsBack)
    {
        const TimePoint later = this->now + primaryLeaseLifetime + milliseconds(1);
        this->commitAt(this->now, 6);
        // While it uses the primary or waits for a reply, it promises nothing.
        EXPECT_FALSE(this->group->report(this->now, true).holdsBackCommits);
        this->group->recordCommitSent();
        EXPECT_FALSE(this->group->report(later, true).holdsBackCommits);
        this->group->recordCommitEnded();
        EXPECT_FALSE(this->group->report(later, false).holdsBackCommits);
        EXPECT_FALSE(this->group->areCommitsHeldBack(later));
        const GroupReport report = this->group->report(later, true);
        EXPECT_TRUE(report.holdsBackCommits);
        EXPECT_EQ(report.acknowledged, point(1, 6));
        EXPECT_EQ(report.commitSentAt, this->now);
        // A proof that the primary leads does not end the promise.
        this->commitAt(later, 7);
        EXPECT_FALSE(this->isUsable(later));
        EXPECT_TRUE(this->group->areCommitsHeldBack(later + FleetEvidence::holdBackPeriod - milliseconds(1)));
        EXPECT_FALSE(this->group->areCommitsHeldBack(later + FleetEvidence::holdBackPeriod));
        // A new primary ends it.
        this->context.servers.recordPrimary({ service, Term { 2 }, replica, true });
        this->group->directoryChanged();
        EXPECT_FALSE(this->group->areCommitsHeldBack(later));
    }

    // Guards against a lease that is never renewed again because a connection to a replica went silent for good during a status query.
    TEST_F(GroupTrackerTest, RenewsLeaseAfterQueryThatHasNoReply)
    {
        const auto pool = std::make_shared<FakePool>(this->context.codec, *this->context.servers.find(replica));
        this->context.replicaPool = pool;
        this->context.canMissServers = false;
        this->group->confirmPrimary(answeredStatus(oldPrimary, true, 1));
        const auto wait = [&] { this->group->whenPrimaryUsable("organisation", this->now + std::chrono::hours(1), [](const auto&) {}); };
        wait();
        ASSERT_EQ(pool->links.size(), 1U);
        this->group->sweep(this->now + milliseconds(900));
        EXPECT_FALSE(pool->links.front()->isAborted);
        this->group->sweep(this->now + milliseconds(1100));
        EXPECT_TRUE(pool->links.front()->isAborted);
        ASSERT_EQ(pool->links.size(), 2U);
        pool->links.back()->receive("ROW replica 1 1.5 0 0 0 1\r\nDONE -\r\nREADY I 1.5\r\n");
        EXPECT_TRUE(this->isUsable(bootNow()));
    }

    // Guards against quota grants that are cut and ignored because they carry the updates of many groups: with 40 groups and 190
    // organisations a grant is longer than the 4,096 bytes that were received.
    TEST(GroupUpdateCodecTest, GrantOfLargeFleetFitsDatagram)
    {
        const TimePoint reference = bootNow();
        std::vector<GroupUpdate> updates;
        for (size_t index = 0; index < 40; ++index)
            updates.push_back({ ServiceName("bookings-db-" + std::to_string(index)), BackendServerId("i-b0030de9" + std::to_string(index)),
                Term { 12 }, reference - milliseconds(345), point(12, 123456789), reference - milliseconds(456) });
        json::array grants;
        for (size_t index = 0; index < 190; ++index)
            grants.push_back(json::array { "organisation" + std::to_string(index), 1.0 / 3 });
        const std::string message
            = json::serialize(json::object { { "list", grants }, { "news", encodeGroupUpdates(updates, reference) } });
        EXPECT_GT(message.size(), 4096U);
        EXPECT_LT(message.size(), PeerExchange::maxDatagramBytes);
        EXPECT_EQ(decodeGroupUpdates(encodeGroupUpdates(updates, reference), reference).size(), updates.size());
    }

    // Guards against a former primary that missed its demotion and keeps the lease of its successor from being renewed, so that every
    // statement is refused (soak seed 9411).
    TEST_F(GroupTrackerTest, RenewsLeaseWhileFormerPrimaryStillLeadsInOlderTerm)
    {
        const BackendServerId formerPrimary("b3");
        const auto applyRoundAt = [&](TimePoint requestedAt, uint64_t formerTerm) {
            this->group->applyStatusRound(
                { answeredStatus(replica, false, 2, requestedAt), answeredStatus(formerPrimary, true, formerTerm, requestedAt) });
        };
        this->context.canMissServers = false;
        this->group->recordReply(oldPrimary, point(2, 6), this->now, true);
        applyRoundAt(this->now + milliseconds(100), 1);
        // The former primary proves nothing about the replication of the new one, so one round is not enough.
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(800)));
        EXPECT_EQ(this->context.examinationCount, 1U);
        applyRoundAt(this->now + milliseconds(250), 1);
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(800)));
        // A server that leads in the term of this primary or a newer one does end the use of the lease.
        applyRoundAt(this->now + milliseconds(400), 3);
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(400)));
    }

    // Guards against a former primary that alone answers and is taken as proof that its successor still leads.
    TEST_F(GroupTrackerTest, DoesNotRenewLeaseFromFormerPrimaryAlone)
    {
        this->context.canMissServers = false;
        this->group->recordReply(oldPrimary, point(2, 6), this->now, true);
        for (const int delay : { 100, 250, 400 })
            this->group->applyStatusRound({ answeredStatus(BackendServerId("b3"), true, 1, this->now + milliseconds(delay)) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(701)));
    }

    // Guards against a former primary that serves reads as a replica of the new primary and is mistaken for the primary of the new
    // term (STALE on kongres-app-grown trouble-1).
    TEST_F(GroupTrackerTest, DoesNotRenewLeaseFromReadReplyWithNewerTerm)
    {
        this->commitAt(this->now, 6);
        this->group->recordReply(oldPrimary, point(2, 190), this->now + milliseconds(100), false);
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(100)));
        this->group->applyStatusRound({ answeredStatus(replica, false, 2, this->now + milliseconds(200)) });
        this->group->applyStatusRound({ answeredStatus(replica, false, 2, this->now + milliseconds(400)) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(400)));
        // A commit that the server acknowledges in the new term proves that it is the primary.
        this->group->recordReply(oldPrimary, point(2, 191), this->now + milliseconds(500), true);
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(500)));
    }

    // Guards against a lease renewed by a replica that has received a Pause command.
    TEST_F(GroupTrackerTest, DoesNotRenewLeaseFromPausedReplica)
    {
        this->commitAt(this->now, 6);
        ProbedStatus paused = answeredStatus(replica, false, 1, this->now + milliseconds(500));
        paused.pausedForTerm = Term { 2 };
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(100)) });
        this->group->applyStatusRound({ paused });
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(600)) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(800)));
    }

    // Guards against a replica whose pause has ended with the promotion but that does not follow the new primary yet: for a moment
    // it reports the same status as a replica of the old primary (STALE on kongres-app-grown trouble-1, seed 12).
    TEST_F(GroupTrackerTest, RenewsLeaseOnlyAfterTwoSeparateReplicaReports)
    {
        this->commitAt(this->now, 6);
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(750)) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(760)));
        // A second reply that follows too closely may fall into the same moment.
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(850)) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(860)));
        this->group->applyStatusRound({ answeredStatus(replica, false, 2, this->now + milliseconds(900)) });
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(950)) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(960)));
    }

    // Guards against making callers wait for a second status round when the first one is sufficient: all replicas have answered and
    // the list is known to be complete.
    TEST_F(GroupTrackerTest, RenewsLeaseAtOnceWhenAllListedReplicasAgree)
    {
        ServerEntry entry = *this->context.servers.find(replica);
        entry.id = BackendServerId("b3");
        this->context.servers.put(entry);
        this->context.canMissServers = false;
        this->commitAt(this->now, 6);
        const TimePoint probeSentAt = this->now + milliseconds(300);
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, probeSentAt), answeredStatus(entry.id, true, 1, probeSentAt) });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(900)));
        ProbedStatus unansweredStatus;
        unansweredStatus.server = entry.id;
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, probeSentAt), unansweredStatus });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(900)));
        this->group->applyStatusRound({ answeredStatus(replica, false, 1, probeSentAt), answeredStatus(entry.id, false, 1, probeSentAt) });
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(900)));
    }

    // Guards against a lease renewed without a reply from any replica, against one renewed although a replica contradicts it, and
    // against a group that is unusable while a dead server is still listed.
    TEST_F(GroupTrackerTest, RenewsLeaseOnlyWhenAllAnsweringReplicasAgree)
    {
        ServerEntry entry = *this->context.servers.find(replica);
        entry.id = BackendServerId("b3");
        this->context.servers.put(entry);
        this->commitAt(this->now, 6);
        ProbedStatus unansweredStatus;
        unansweredStatus.server = entry.id;
        for (int round = 0; round < 5; ++round)
            this->group->applyStatusRound({ unansweredStatus });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(800)));
        for (int round = 0; round < 5; ++round) {
            const TimePoint probeSentAt = this->now + milliseconds(200 * round);
            this->group->applyStatusRound(
                { answeredStatus(replica, false, 1, probeSentAt), answeredStatus(entry.id, true, 1, probeSentAt) });
        }
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(800)));
        // This VM reads the records of promotions.
        this->context.canMissServers = false;
        for (int round = 0; round < 5; ++round)
            this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(200 * round)), unansweredStatus });
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(800)));
    }

    // Guards against a lease that an isolated VM renews by a replica that a new primary has not reached, while the new primary does not
    // answer this VM.
    TEST_F(GroupTrackerTest, DoesNotRenewLeaseOfIsolatedVmWhileAReplicaIsUnanswered)
    {
        this->commitAt(this->now, 6);
        this->context.isVmIsolated = true;
        ProbedStatus unansweredStatus;
        unansweredStatus.server = BackendServerId("b3");
        for (int round = 1; round < 5; ++round)
            this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(200 * round)), unansweredStatus });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(800)));
        // All replicas that are known have answered.
        for (int round = 5; round < 8; ++round)
            this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(200 * round)) });
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(1400)));
    }

    // Guards against the same at a VM that hears other VMs but does not read the records of promotions, which caused a stale read in the
    // search of promotions.
    TEST_F(GroupTrackerTest, DoesNotRenewLeaseOfVmWithoutStoreWhileAReplicaIsUnanswered)
    {
        this->commitAt(this->now, 6);
        this->context.canMissServers = true;
        ProbedStatus unansweredStatus;
        unansweredStatus.server = BackendServerId("b3");
        for (int round = 1; round < 5; ++round)
            this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(200 * round)), unansweredStatus });
        EXPECT_FALSE(this->isUsable(this->now + milliseconds(800)));
        this->context.canMissServers = false;
        for (int round = 5; round < 8; ++round)
            this->group->applyStatusRound({ answeredStatus(replica, false, 1, this->now + milliseconds(200 * round)), unansweredStatus });
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(1400)));
    }

    // Guards against a primary that is never used again after one NotPrimary error (day both-replicas-behind on wattle: a third of
    // the requests was refused).
    TEST_F(GroupTrackerTest, UsesPrimaryAgainAfterExaminationConfirmsIt)
    {
        this->commitAt(this->now, 6);
        this->group->recordNotPrimary(oldPrimary);
        EXPECT_FALSE(this->isUsable(this->now));
        this->group->confirmPrimary(answeredStatus(oldPrimary, true, 1));
        this->commitAt(this->now + milliseconds(10), 7);
        EXPECT_TRUE(this->isUsable(this->now + milliseconds(10)));
    }

    // Guards against statements with a short wait that are rejected before they cause an examination.
    TEST_F(GroupTrackerTest, RequestsExaminationOfMissingPrimaryDespiteShortWaits)
    {
        this->context.isVmIsolated = true;
        const auto ignore = [](const std::optional<BackendServerId>&) {};
        this->group->whenPrimaryUsable("o", this->now + std::chrono::seconds(1), ignore);
        this->group->sweep(this->now + milliseconds(90));
        EXPECT_EQ(this->context.examinationCount, 0U);
        this->group->whenPrimaryUsable("o", this->now + std::chrono::seconds(1), ignore);
        this->group->sweep(this->now + milliseconds(400));
        EXPECT_EQ(this->context.examinationCount, 1U);
    }

    // Guards against requiring a position that was not reported by a primary under its lease.
    TEST_F(GroupTrackerTest, RequiresPositionsOnlyFromLeasedPrimary)
    {
        this->group->recordReply(oldPrimary, point(1, 5), this->now, false);
        EXPECT_EQ(this->group->requiredPositionFor(this->now, std::chrono::seconds(1), std::nullopt), std::nullopt);
        this->commitAt(this->now, 6);
        this->group->recordReply(oldPrimary, point(1, 9), this->now + milliseconds(300), false);
        EXPECT_EQ(this->group->requiredPositionFor(this->now + milliseconds(350), std::chrono::seconds(1), std::nullopt), point(1, 6));
        // The position of the session's own commit is required as well.
        EXPECT_EQ(this->group->requiredPositionFor(
                      this->now + milliseconds(350), std::chrono::seconds(1), AcknowledgedCommit { point(1, 8), this->now }),
            point(1, 8));
    }

    // Guards against a group update that makes a lease renewal look more recent than it is, and against an update about another
    // primary.
    TEST_F(GroupTrackerTest, ExtendsLeaseFromGroupUpdateByItsAge)
    {
        this->commitAt(this->now, 6);
        const TimePoint sentAt = this->now;
        const json::array message
            = encodeGroupUpdates({ *this->group->updateSince(this->now - milliseconds(1)) }, this->now + milliseconds(50));
        auto otherTracker = std::make_shared<GroupTracker>(service, this->context);
        // The receiver's reference time is earlier than the sender's, because its request was sent before the reply.
        const std::vector<GroupUpdate> updates = decodeGroupUpdates(message, sentAt + milliseconds(20));
        ASSERT_EQ(updates.size(), 1U);
        EXPECT_LE(updates[0].leaseRenewedAt, this->now - milliseconds(30));
        otherTracker->applyUpdate(updates[0]);
        EXPECT_TRUE(otherTracker->isUsablePrimary(oldPrimary, this->now));
        EXPECT_FALSE(otherTracker->isUsablePrimary(oldPrimary, this->now + primaryLeaseLifetime));
        GroupUpdate updateOfOtherPrimary = updates[0];
        updateOfOtherPrimary.primaryServer = replica;
        otherTracker->applyUpdate(updateOfOtherPrimary);
        EXPECT_FALSE(otherTracker->isUsablePrimary(replica, this->now));
        EXPECT_TRUE(decodeGroupUpdates(json::array { 1, json::array { "s" } }, this->now).empty());
    }

    // Guards against EVAC: a primary in an evacuated data centre is used until the evacuation is in force, and waited for only while a
    // server elsewhere can replace it.
    TEST_F(GroupTrackerTest, StopsUsingPrimaryOfEvacuatedDataCentre)
    {
        this->context.moveTo(oldPrimary, "north");
        this->context.moveTo(replica, "south");
        this->commitAt(this->now, 6);
        this->context.evacuations.applyChanges({ { DataCentre("north"), { 1, 5 } } }, { 1, 5 }, this->now - milliseconds(1250));
        EXPECT_TRUE(this->isUsable(this->now - milliseconds(1)));
        EXPECT_FALSE(this->isUsable(this->now));
        std::vector<std::optional<BackendServerId>> answers;
        const auto record = [&](const std::optional<BackendServerId>& primary) { answers.push_back(primary); };
        EXPECT_NE(this->group->whenPrimaryUsable("o", this->now + milliseconds(500), record), 0U);
        EXPECT_TRUE(answers.empty());
        // The replica's data centre is evacuated too: waiting is of no use.
        this->context.evacuations.applyChanges({ { DataCentre("south"), { 1, 6 } } }, { 1, 6 }, this->now);
        this->group->sweep(this->now);
        EXPECT_EQ(this->group->whenPrimaryUsable("o", this->now + milliseconds(500), record), 0U);
        EXPECT_EQ(answers, (std::vector<std::optional<BackendServerId>> { std::nullopt, std::nullopt }));
        // Taken back.
        this->context.evacuations.applyChanges({ { DataCentre("north"), { 1, 7 }, true } }, { 1, 7 }, this->now);
        EXPECT_TRUE(this->isUsable(this->now));
    }

    // Guards against reads in an evacuated data centre, from the moment at which the evacuation is known, and outside the homes.
    TEST_F(GroupTrackerTest, OffersOnlyServersThatPlacementAllows)
    {
        this->context.moveTo(replica, "south");
        this->context.replicaPool = std::make_shared<FakePool>(this->context.codec, *this->context.servers.find(replica));
        const auto candidates = [&](const Homes& homes) { return this->group->readCandidates("o", homes, this->now).size(); };
        EXPECT_EQ(candidates(Homes()), 1U);
        EXPECT_EQ(candidates(Homes({ Region("lower") }, {})), 1U);
        EXPECT_EQ(candidates(Homes({}, { Region("upper") })), 0U);
        ServerEntry cold = *this->context.servers.find(replica);
        cold.coldFor = std::chrono::seconds(1);
        this->context.servers.put(cold);
        EXPECT_EQ(candidates(Homes()), 0U);
        cold.coldFor = Duration(0);
        this->context.servers.put(cold);
        this->context.evacuations.applyChanges({ { DataCentre("south"), { 1, 5 } } }, { 1, 5 }, this->now);
        EXPECT_EQ(candidates(Homes()), 0U);
    }

}

}
