#include "foxtailtrail/failover/PrimaryReplacement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>

namespace foxtail {

namespace {

    const ServiceName service("s");
    const VmId thisVm("v1");
    const VmId otherVm("v2");

    struct FakeServer {
        bool isReachable = true;
        bool isRunning = true;
        bool leads = false;
        uint64_t position = 0;
        Term pausedFor {};
        bool isDraining = false;
        bool isEvacuated = false;
    };

    // A group of servers and one VM that holds the promotion lock.
    class FakeGroup : public ReplacementContext {
    public:
        const ServerDirectory& directory() const override { return this->servers; }
        Term lastPrimaryTerm() const override { return Term { 2 }; }
        TimePoint primaryLedAt() const override { return this->ledAt; }
        std::optional<LogPoint> requiredLogPoint(TimePoint) const override
        {
            return std::max(this->required, this->evidence.highestAcknowledged());
        }
        const FleetEvidence& fleetEvidence() const override { return this->evidence; }
        bool isGroupKnown() const override { return this->isKnown; }
        TimePoint missingServersLostAt() const override { return this->lostAt; }

        void add(const std::string& id, const FakeServer& server)
        {
            this->states[id] = server;
            ServerEntry entry;
            entry.id = BackendServerId(id);
            entry.service = service;
            entry.isDraining = server.isDraining;
            this->servers.put(entry);
        }

        // Removes the entry of a server and deletes it from the directory.
        void lapse(const std::string& id)
        {
            this->servers.remove(BackendServerId(id), this->now);
            this->pass(std::chrono::milliseconds(2500));
        }

        void pass(Duration time)
        {
            this->now += time;
            this->servers.expire(this->now);
        }

        // Replaces the primary during one turn of the lock.
        ReplacementResult replacePrimary(FailoverCause cause = FailoverCause::PrimaryLost)
        {
            HeldPromotionLock lock;
            lock.usableUntil = this->now + promotionLockUsableLifetime;
            PrimaryReplacement replacement({ service, lock, cause }, *this);
            std::vector<ReplicationOrder> questions;
            for (const ServerEntry* member : this->servers.possibleMembers(service, this->ledAt))
                questions.push_back({ member->id, ReplicationCommand::Status });
            ReplacementStep step = replacement.start(this->send(questions, Term {}), this->now);
            while (step.kind != ReplacementStep::Kind::Finish) {
                if (replacement.needsLock() && lock.usableUntil <= this->now)
                    step = replacement.lockLost(this->now);
                else
                    step = this->carryOut(step, replacement);
            }
            return replacement.result();
        }

        bool isPaused(const std::string& id) const { return this->states.at(id).pausedFor != Term {}; }

        // Sets what another VM reports whenever it is asked. It knows the primary from long ago.
        void setReport(GroupReport report)
        {
            report.vm = otherVm;
            report.remembersFrom = this->now - std::chrono::minutes(1);
            this->reportOfOther = report;
        }

        // The other VM has sent a commit that was acknowledged just now.
        void setCommitAtOtherVm(uint64_t position)
        {
            GroupReport report;
            report.acknowledged = LogPoint { Term { 2 }, Position { position } };
            this->setReport(report);
            this->isOtherVmServed = true;
        }

        std::map<std::string, FakeServer> states;
        ServerDirectory servers;
        FleetEvidence evidence;
        bool isKnown = true;
        TimePoint lostAt = TimePoint::max();
        // What the other VM of the fleet reports; empty while it does not answer.
        std::optional<GroupReport> reportOfOther;
        // Whether commits of the other VM go on to be acknowledged.
        bool isOtherVmServed = false;
        TimePoint now { std::chrono::hours(1) };
        TimePoint ledAt { this->now };
        std::optional<LogPoint> required;
        // The required position once the decision has been recorded.
        std::optional<LogPoint> requiredAfterDecision;
        // How long the store takes to record a decision.
        Duration recordTime { 0 };
        // Whether the other VM no longer answers once the decision has been recorded.
        bool isOtherVmLostAfterDecision = false;
        // The servers that the platform was told to promote, in order.
        std::vector<std::string> ordered;
        PromotionOrderOutcome orderOutcome = PromotionOrderOutcome::Accepted;
        // Whether the next server to be ordered crashes before its order.
        bool crashesBeforeOrder = false;
        // The term that a server which leads reports.
        Term ledTerm { 2 };
        // How many accepted orders have no effect at first.
        int ineffectiveOrders = 0;

    private:
        std::vector<ProbedStatus> send(const std::vector<ReplicationOrder>& orders, Term term)
        {
            std::vector<ProbedStatus> statuses;
            for (const ReplicationOrder& order : orders) {
                FakeServer& server = this->states[order.server.value];
                ProbedStatus status;
                status.server = order.server;
                status.isDraining = server.isDraining;
                status.isEvacuated = server.isEvacuated;
                status.isRemoved = this->servers.isRemoved(order.server);
                status.hasLeft = this->servers.hasLeft(order.server, this->ledAt);
                status.requestedAt = status.answeredAt = this->now;
                if (server.isReachable && server.isRunning) {
                    if (order.command == ReplicationCommand::Pause && !server.leads)
                        server.pausedFor = term;
                    if (order.command == ReplicationCommand::Resume)
                        server.pausedFor = Term {};
                    if (order.command == ReplicationCommand::Demote)
                        server.leads = false;
                    status.outcome = ProbeOutcome::Answered;
                    status.isPrimary = server.leads;
                    status.term = server.leads ? this->ledTerm : Term { 2 };
                    status.pausedForTerm = server.pausedFor;
                    status.receivedLogPoint = { Term { 2 }, Position { server.position } };
                } else if (server.isReachable) {
                    status.outcome = ProbeOutcome::Refused;
                }
                statuses.push_back(status);
            }
            this->now += std::chrono::milliseconds(10);
            return statuses;
        }

        void ask(bool holdsBackCommits)
        {
            this->evidence.expectReportsOf({ thisVm, otherVm });
            GroupReport own;
            own.vm = thisVm;
            own.receivedAt = this->now;
            own.remembersFrom = this->now - std::chrono::minutes(1);
            own.holdsBackCommits = holdsBackCommits;
            this->evidence.record(own);
            if (!this->reportOfOther)
                return;
            GroupReport report = *this->reportOfOther;
            report.receivedAt = this->now;
            report.holdsBackCommits = holdsBackCommits && !this->isOtherVmServed;
            if (this->isOtherVmServed)
                report.commitSentAt = this->now;
            this->evidence.record(report);
        }

        PromotionOrderOutcome promote(const std::string& id)
        {
            this->ordered.push_back(id);
            if (std::exchange(this->crashesBeforeOrder, false))
                this->states[id].isRunning = false;
            if (!this->states[id].isRunning)
                return PromotionOrderOutcome::NotRunning;
            if (this->orderOutcome == PromotionOrderOutcome::Accepted && --this->ineffectiveOrders < 0)
                this->states[id].leads = true;
            return this->orderOutcome;
        }

        ReplacementStep carryOut(const ReplacementStep& step, PrimaryReplacement& replacement)
        {
            switch (step.kind) {
            case ReplacementStep::Kind::SendOrders:
                if (step.asksFleet)
                    this->ask(step.holdsBackCommits);
                return replacement.ordersSent(this->send(step.orders, step.term), this->now);
            case ReplacementStep::Kind::ReadDirectory:
                return replacement.directoryRead(true, this->now);
            case ReplacementStep::Kind::RecordDecision:
                this->servers.recordPrimary(*step.record);
                this->required = std::max(this->required, this->requiredAfterDecision);
                this->now += this->recordTime;
                // The other VM drops its samples of the replaced primary.
                if (this->reportOfOther)
                    this->reportOfOther->sampledAt.reset();
                if (this->isOtherVmLostAfterDecision)
                    this->reportOfOther.reset();
                return replacement.decisionRecorded(true, this->now);
            case ReplacementStep::Kind::OrderPromotion:
                return replacement.promotionOrdered(this->promote(step.record->server.value), this->now);
            case ReplacementStep::Kind::Wait:
                this->now = std::max(this->now, step.waitUntil);
                if (step.asksFleet)
                    this->ask(step.holdsBackCommits);
                return replacement.waited(this->now);
            case ReplacementStep::Kind::SettlePrimary:
                this->servers.recordPrimary(*step.record);
                return replacement.primarySettled(this->now);
            case ReplacementStep::Kind::ReleaseLock:
                return replacement.lockReleased(this->now);
            case ReplacementStep::Kind::Finish:
                break;
            }
            return {};
        }
    };

    // A group whose primary p has been recorded, with replicas a and b.
    FakeGroup groupOfThree(uint64_t primaryPosition, uint64_t replicaPosition)
    {
        FakeGroup group;
        group.add("p", { .leads = true, .position = primaryPosition });
        group.add("a", { .position = replicaPosition });
        group.add("b", { .position = replicaPosition });
        group.servers.recordPrimary({ service, Term { 2 }, BackendServerId("p"), true });
        return group;
    }

    // Guards against the loss of commits that a primary acknowledges behind a partition, which keeps it from the store, so that its entry
    // lapses: the replica that received them leaves, and the others count as complete (review case 1).
    TEST(PrimaryReplacementTest, PromotesNoReplicaWhileLapsedPrimaryMayReturn)
    {
        FakeGroup group = groupOfThree(204, 130);
        group.add("leaving", { .position = 203, .isDraining = true });
        group.states["p"].isReachable = false;
        group.lapse("p");
        group.states["leaving"].isReachable = false;
        group.lapse("leaving");
        for (int turn = 0; turn < 2; ++turn) {
            EXPECT_EQ(group.replacePrimary(FailoverCause::NoPrimary), ReplacementResult::NoSuccessor);
            EXPECT_TRUE(group.ordered.empty()) << group.ordered.front();
        }
        group.states["p"].isReachable = true;
        group.states["a"].position = group.states["b"].position = 204;
        EXPECT_EQ(group.replacePrimary(FailoverCause::NoPrimary), ReplacementResult::Replaced);
        EXPECT_NE(group.ordered, std::vector<std::string> { "p" });
    }

    // Guards against a wait for a server that had left before the primary was lost.
    TEST(PrimaryReplacementTest, DoesNotWaitForServerThatLeftWhileThePrimaryLed)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.add("leaving", { .isReachable = false, .position = 9, .isDraining = true });
        group.lapse("leaving");
        group.ledAt = group.now;
        group.states["p"].isReachable = false;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::Replaced);
    }

    // Guards against a group that stays without a primary because one that is gone for good may know more.
    TEST(PrimaryReplacementTest, PromotesReplicaOnceLapsedPrimaryCountsAsLost)
    {
        FakeGroup group = groupOfThree(204, 130);
        group.ledAt -= std::chrono::seconds(1);
        group.states["p"].isReachable = group.states["b"].isReachable = false;
        group.required = LogPoint { Term { 2 }, Position { 204 } };
        group.servers.remove(BackendServerId("b"), group.now);
        group.lapse("p");
        EXPECT_NE(group.replacePrimary(FailoverCause::NoPrimary), ReplacementResult::Replaced);
        EXPECT_TRUE(group.ordered.empty());
        group.pass(std::chrono::seconds(9));
        group.required.reset();
        EXPECT_EQ(group.replacePrimary(FailoverCause::NoPrimary), ReplacementResult::Replaced);
        EXPECT_EQ(group.ordered, std::vector<std::string> { "a" });
    }

    // Guards against a promotion without a commit that this VM knows to be acknowledged, while the primary that holds it may return.
    TEST(PrimaryReplacementTest, PromotesNoReplicaThatLacksAcknowledgedCommit)
    {
        FakeGroup group = groupOfThree(9, 7);
        group.states["p"].isRunning = false;
        group.required = LogPoint { Term { 2 }, Position { 8 } };
        EXPECT_NE(group.replacePrimary(), ReplacementResult::Replaced);
        EXPECT_TRUE(group.servers.findPrimaryRecord(service)->isSettled);
        group.states["b"].position = 8;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::Replaced);
        EXPECT_EQ(group.ordered, std::vector<std::string> { "b" });
    }

    // Guards against an order without a commit that another VM reports after the decision.
    TEST(PrimaryReplacementTest, OrdersNoPromotionWithoutCommitReportedAfterDecision)
    {
        FakeGroup group = groupOfThree(9, 7);
        group.states["p"].isRunning = false;
        group.requiredAfterDecision = LogPoint { Term { 2 }, Position { 8 } };
        EXPECT_NE(group.replacePrimary(), ReplacementResult::Replaced);
        EXPECT_TRUE(group.ordered.empty());
    }

    // Guards against the loss of commits that the primary acknowledges to other VMs through a replica, while a cut refuses the connections
    // of this VM to both, so that they seem not to run (review case 8).
    TEST(PrimaryReplacementTest, PromotesNoReplicaWhileAnotherVmIsServedByThePrimary)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.states["p"].isRunning = group.states["b"].isRunning = false;
        group.setCommitAtOtherVm(9);
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::PrimaryServesOthers);
        EXPECT_TRUE(group.ordered.empty());
        EXPECT_FALSE(group.isPaused("a"));
    }

    // Guards against a VM that is alone on its side of a network that refuses connections, so that it can ask nobody.
    TEST(PrimaryReplacementTest, PromotesNoReplicaBesideServersThatAreDownWhileAnotherVmIsSilent)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.states["p"].isRunning = group.states["b"].isRunning = false;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::NoSuccessor);
        EXPECT_TRUE(group.ordered.empty());
        group.lostAt = group.now;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::Replaced);
    }

    // Guards against the loss of commits that a listed replica lacks: a VM that started while entries had lapsed does not see the replica
    // that has received them, and the primary does not answer it (review case 7).
    TEST(PrimaryReplacementTest, PromotesNoReplicaWhileRecordedMemberIsNotListed)
    {
        FakeGroup group;
        group.add("p", { .isReachable = false, .leads = true, .position = 9 });
        group.add("a", { .position = 7 });
        group.servers.recordPrimary(
            { service, Term { 2 }, BackendServerId("p"), true, {}, { BackendServerId("a"), BackendServerId("b"), BackendServerId("p") } });
        group.servers.addRecordedServers(group.now);
        group.states["b"].isReachable = false;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::NoSuccessor);
        EXPECT_TRUE(group.ordered.empty());
        group.add("b", { .position = 9 });
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::Replaced);
        EXPECT_EQ(group.ordered, std::vector<std::string> { "b" });
        EXPECT_EQ(group.servers.findPrimaryRecord(service)->members.size(), 3U);
    }

    // Guards against a VM that started while servers were missing from the list, and takes those that it sees for the whole group (review
    // cases 7 and 10).
    TEST(PrimaryReplacementTest, PromotesNoReplicaAtVmThatNeverKnewTheGroupWithItsPrimary)
    {
        FakeGroup group = groupOfThree(9, 7);
        group.states["p"].isRunning = false;
        group.isKnown = false;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::NoSuccessor);
        EXPECT_TRUE(group.ordered.empty());
        // The primary that returned with its log shows what was acknowledged.
        group.states["p"].isRunning = true;
        group.states["p"].leads = false;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::Replaced);
        EXPECT_EQ(group.ordered, std::vector<std::string> { "p" });
    }

    // Guards against a hand-over that waits at a VM that has just started, although the primary answers.
    TEST(PrimaryReplacementTest, HandsOverAtVmThatNeverKnewTheGroupWithItsPrimary)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.isKnown = false;
        group.states["p"].isDraining = true;
        group.add("p", group.states["p"]);
        EXPECT_EQ(group.replacePrimary(FailoverCause::PrimaryLeaving), ReplacementResult::Replaced);
    }

    // Guards against EVAC at a primary: it hands over to a replica in another data centre, also if one in its own is the first in order,
    // and with a commit that only the replica there holds nothing is lost.
    TEST(PrimaryReplacementTest, HandsOverOutOfEvacuatedDataCentre)
    {
        for (const uint64_t positionElsewhere : { 9, 7 }) {
            FakeGroup group = groupOfThree(9, 9);
            group.states["b"].position = positionElsewhere;
            group.states["p"].isEvacuated = group.states["a"].isEvacuated = true;
            const ReplacementResult result = group.replacePrimary(FailoverCause::PrimaryLeaving);
            EXPECT_EQ(result, positionElsewhere == 9 ? ReplacementResult::Replaced : ReplacementResult::NoSuccessor) << positionElsewhere;
            EXPECT_EQ(group.ordered, positionElsewhere == 9 ? std::vector<std::string> { "b" } : std::vector<std::string> {});
            EXPECT_EQ(group.states["p"].leads, positionElsewhere != 9);
        }
    }

    // Guards against a group that stays without a primary although every VM reports that the replica that answers holds all it knows.
    TEST(PrimaryReplacementTest, PromotesReplicaThatHoldsEveryCommitOfTheFleet)
    {
        for (const uint64_t sampled : { 9, 10 }) {
            FakeGroup group = groupOfThree(9, 9);
            group.states["p"].isRunning = group.states["b"].isRunning = false;
            GroupReport report;
            report.sampledAt = group.now - std::chrono::seconds(1);
            report.sampledLogPoint = LogPoint { Term { 2 }, Position { sampled } };
            report.acknowledged = LogPoint { Term { 2 }, Position { 9 } };
            group.setReport(report);
            EXPECT_EQ(group.replacePrimary(), sampled == 9 ? ReplacementResult::Replaced : ReplacementResult::NoSuccessor) << sampled;
        }
    }

    // Guards against a group that stays without a primary because a VM has sampled commits that only a former primary held, and that its
    // successor rolled back before it left.
    TEST(PrimaryReplacementTest, RequiresNoCommitThatTheLastPrimaryRolledBack)
    {
        for (const bool isStartRecorded : { true, false }) {
            FakeGroup group = groupOfThree(9, 9);
            PrimaryRecord record { service, Term { 3 }, BackendServerId("p"), true };
            if (isStartRecorded)
                record.startPoint = LogPoint { Term { 2 }, Position { 9 } };
            group.servers.recordPrimary(record);
            group.states["p"].isRunning = group.states["b"].isRunning = false;
            GroupReport report;
            report.sampledAt = group.now - std::chrono::seconds(1);
            report.sampledLogPoint = LogPoint { Term { 2 }, Position { 12 } };
            report.acknowledged = LogPoint { Term { 2 }, Position { 9 } };
            group.setReport(report);
            EXPECT_EQ(group.replacePrimary(), isStartRecorded ? ReplacementResult::Replaced : ReplacementResult::NoSuccessor);
        }
    }

    // Guards against a start point in the term of the log itself: a primary that was ordered to lead and led already has rolled nothing
    // back.
    TEST(PrimaryReplacementTest, RecordsStartPointOfNewTermOnly)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.states["p"].isRunning = false;
        group.ledTerm = Term { 3 };
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::Replaced);
        EXPECT_EQ(group.servers.findPrimaryRecord(service)->startPoint, (LogPoint { Term { 2 }, Position { 9 } }));
        FakeGroup unchanged = groupOfThree(9, 9);
        unchanged.states["p"].isRunning = false;
        EXPECT_EQ(unchanged.replacePrimary(), ReplacementResult::Replaced);
        EXPECT_EQ(unchanged.servers.findPrimaryRecord(service)->startPoint, std::nullopt);
    }

    // Guards against an order that is sent after a promise to hold commits back has ended: the VM that made it may have been served by the
    // primary and the replica that do not answer.
    TEST(PrimaryReplacementTest, OrdersNoPromotionOnReportsThatCountNoLonger)
    {
        for (const bool isOtherVmLost : { false, true }) {
            FakeGroup group = groupOfThree(9, 9);
            group.states["p"].isRunning = group.states["b"].isRunning = false;
            GroupReport report;
            report.sampledAt = group.now - std::chrono::seconds(1);
            report.sampledLogPoint = report.acknowledged = LogPoint { Term { 2 }, Position { 9 } };
            group.setReport(report);
            group.recordTime = std::chrono::milliseconds(1100);
            group.isOtherVmLostAfterDecision = isOtherVmLost;
            EXPECT_EQ(group.replacePrimary() == ReplacementResult::Replaced, !isOtherVmLost);
            EXPECT_EQ(group.ordered.empty(), isOtherVmLost);
        }
    }

    // Guards against commits of the old primary that reach another replica while an order may still take effect (review case 5).
    TEST(PrimaryReplacementTest, ResumesOnlySuccessorWhoseOrderMayTakeEffect)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.states["p"].isReachable = false;
        group.orderOutcome = PromotionOrderOutcome::Unknown;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::OrderUnknown);
        ASSERT_FALSE(group.ordered.empty());
        const std::string successor = group.ordered.front();
        const std::string other = successor == "a" ? "b" : "a";
        EXPECT_FALSE(group.isPaused(successor));
        EXPECT_TRUE(group.isPaused(other));
        // The old primary answers again. It hands over to the same server, since the order may still take effect.
        group.states["p"].isReachable = true;
        group.orderOutcome = PromotionOrderOutcome::Accepted;
        group.ordered.clear();
        EXPECT_EQ(group.replacePrimary(FailoverCause::Unfinished), ReplacementResult::Replaced);
        EXPECT_EQ(group.ordered, std::vector { successor });
        EXPECT_FALSE(group.isPaused(other));
    }

    // Guards against a second server that is promoted beside one whose accepted order takes effect later than expected.
    TEST(PrimaryReplacementTest, OrdersSuccessorAgainThatDoesNotLeadInTime)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.states["p"].isRunning = false;
        group.ineffectiveOrders = 1;
        EXPECT_EQ(group.replacePrimary(), ReplacementResult::Replaced);
        ASSERT_EQ(group.ordered.size(), 2U);
        EXPECT_EQ(group.ordered.front(), group.ordered.back());
    }

    // Guards against a hand-over that finds no successor after the first one crashed before its order: it was taken for a possible primary,
    // so a further server that is down had to return (47 commits lost with the servers that left meanwhile, wattle seed 250241860847).
    TEST(PrimaryReplacementTest, PromotesAnotherServerAtOnceWhenOrderIsRefused)
    {
        FakeGroup group = groupOfThree(9, 9);
        group.states["p"].isDraining = true;
        group.add("p", group.states["p"]);
        group.add("lapsed", { .isReachable = false, .position = 9 });
        group.lapse("lapsed");
        group.crashesBeforeOrder = true;
        EXPECT_EQ(group.replacePrimary(FailoverCause::PrimaryLeaving), ReplacementResult::Replaced);
        ASSERT_EQ(group.ordered.size(), 2U);
        EXPECT_NE(group.ordered.front(), group.ordered.back());
    }

    // Guards against a group without a primary because the recorded successor crashed before its order.
    TEST(PrimaryReplacementTest, PromotesAnotherServerWhenSuccessorIsNotRunning)
    {
        FakeGroup group = groupOfThree(9, 9);
        PrimaryRecord decision { service, Term { 3 }, BackendServerId("a"), false };
        decision.predecessor = BackendServerId("p");
        group.servers.recordPrimary(decision);
        group.states["a"].isRunning = false;
        EXPECT_EQ(group.replacePrimary(FailoverCause::PrimaryLost), ReplacementResult::PrimaryKept);
        group.states["p"].isRunning = false;
        group.states["p"].leads = false;
        group.servers.recordPrimary({ service, Term { 9 }, BackendServerId("p"), true });
        group.states["a"].isRunning = true;
        EXPECT_EQ(group.replacePrimary(FailoverCause::PrimaryLost), ReplacementResult::Replaced);
    }

}

}
