#include "foxtailtrail/failover/SuccessorSelection.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    const BackendServerId primary("p");

    // A replica that has stopped receiving.
    ProbedStatus paused(const std::string& id, uint64_t receivedPosition)
    {
        ProbedStatus status;
        status.server = BackendServerId(id);
        status.outcome = ProbeOutcome::Answered;
        status.term = Term { 2 };
        status.receivedLogPoint = { Term { 2 }, Position { receivedPosition } };
        return status;
    }

    ProbedStatus unanswered(const std::string& id, ProbeOutcome outcome)
    {
        ProbedStatus status;
        status.server = BackendServerId(id);
        status.outcome = outcome;
        return status;
    }

    ProbedStatus leading(const std::string& id, uint64_t receivedPosition)
    {
        ProbedStatus status = paused(id, receivedPosition);
        status.isPrimary = true;
        return status;
    }

    ProbedStatus draining(ProbedStatus status)
    {
        status.isDraining = true;
        return status;
    }

    // Returns the server that is selected when p was the last primary, or an empty text.
    std::string selectFrom(const std::vector<ProbedStatus>& statuses, bool canCountDownServersAsLost = false,
        const std::vector<BackendServerId>& possiblePrimaries = { primary }, std::optional<LogPoint> acknowledged = std::nullopt)
    {
        SuccessorEvidence evidence { statuses, possiblePrimaries };
        evidence.requiredLogPoint = acknowledged;
        evidence.canCountDownServersAsLost = canCountDownServersAsLost;
        const auto selected = selectSuccessor(evidence);
        return selected ? selected->server.value : "";
    }

    const ProbedStatus silentPrimary = unanswered("p", ProbeOutcome::Silent);
    const ProbedStatus refusingPrimary = unanswered("p", ProbeOutcome::Refused);

    // Guards against the loss of acknowledged commits that only one replica holds.
    TEST(SuccessorSelectionTest, SelectsReplicaWithLongestLog)
    {
        EXPECT_EQ(selectFrom({ silentPrimary, paused("a", 7), paused("b", 9) }), "b");
        EXPECT_EQ(selectFrom({ leading("p", 12), paused("a", 7), paused("b", 9) }), "b");
    }

    // Guards against a promotion while a replica that may hold more commits could not be reached (40 commits lost in
    // kongres trouble-3).
    TEST(SuccessorSelectionTest, SelectsNoServerUntilMissingReplicaCountsAsLost)
    {
        for (const ProbeOutcome outcome : { ProbeOutcome::Silent, ProbeOutcome::Refused, ProbeOutcome::Full }) {
            ProbedStatus missing = unanswered("b", outcome);
            missing.isRemoved = missing.hasLeft = true;
            const std::vector<ProbedStatus> statuses { refusingPrimary, paused("a", 7), missing };
            EXPECT_EQ(selectFrom(statuses), "") << static_cast<int>(outcome);
            const bool canBeLost = outcome != ProbeOutcome::Full;
            EXPECT_EQ(selectFrom(statuses, true), canBeLost ? "a" : "") << static_cast<int>(outcome);
            // The missing replica holds a known acknowledged commit that the candidate lacks.
            EXPECT_EQ(selectFrom(statuses, true, { primary }, LogPoint { Term { 2 }, Position { 8 } }), "");
        }
        // A server that does not respond to this VM but is listed may serve others.
        EXPECT_EQ(selectFrom({ refusingPrimary, paused("a", 7), unanswered("b", ProbeOutcome::Silent) }, true), "");
        // Nor is it lost when its entry has lapsed, as it does behind a partition.
        ProbedStatus lapsed = unanswered("b", ProbeOutcome::Silent);
        lapsed.isRemoved = true;
        EXPECT_EQ(selectFrom({ refusingPrimary, paused("a", 7), lapsed }, true), "");
        // The old primary lives, and its commits with it.
        EXPECT_EQ(selectFrom({ leading("p", 9), paused("a", 7), unanswered("b", ProbeOutcome::Refused) }, true), "");
        EXPECT_EQ(selectFrom({ draining(paused("p", 9)), paused("a", 7), unanswered("b", ProbeOutcome::Refused) }, true), "p");
    }

    // Guards against a group that stays without a primary while its servers are replaced one after the other: each one that leaves was
    // waited for as if it were behind a partition, although the last primary refuses connections, which no partition does.
    TEST(SuccessorSelectionTest, WaitsForServerThatLeavesOnlyWhilePartitionMayHideIt)
    {
        ProbedStatus leaving = draining(unanswered("b", ProbeOutcome::Silent));
        leaving.isRemoved = true;
        EXPECT_EQ(selectFrom({ refusingPrimary, paused("a", 7), leaving }, true), "a");
        EXPECT_EQ(selectFrom({ paused("a", 7), leaving }, true), "a");
        EXPECT_EQ(selectFrom({ silentPrimary, paused("a", 7), leaving }, true), "");
        // A successor that crashed before its order may have been the last primary too.
        EXPECT_EQ(selectFrom({ draining(paused("p", 7)), paused("a", 7), unanswered("new", ProbeOutcome::Refused), leaving }, true,
                      { BackendServerId("new"), primary }),
            "a");
    }

    // Guards against a promotion that waits for a missing server although the demoted primary shows that it holds no further commit.
    TEST(SuccessorSelectionTest, SelectsServerThatHoldsTheWholeLogOfTheDemotedPrimary)
    {
        const ProbedStatus missing = unanswered("b", ProbeOutcome::Silent);
        EXPECT_EQ(selectFrom({ draining(paused("p", 9)), paused("a", 9), missing }), "a");
        EXPECT_EQ(selectFrom({ draining(leading("p", 9)), paused("a", 9), missing }), "");
    }

    // Guards against the loss of a commit of which a leaving replica holds the only copy.
    TEST(SuccessorSelectionTest, SelectsNoServerThatLacksCommitsOfLeavingReplica)
    {
        EXPECT_NE(selectFrom({ refusingPrimary, paused("a", 7), draining(paused("b", 9)) }, true), "a");
        EXPECT_EQ(selectFrom({ refusingPrimary, paused("a", 9), draining(paused("b", 9)) }), "a");
    }

    // Guards against the loss of acknowledged commits that only a server that joined after the pause holds. Two such commits were lost with
    // seed 880488725301 of day both-replicas-behind on wattle.
    TEST(SuccessorSelectionTest, CountsServersThatJoinedAfterPause)
    {
        const ProbedStatus chosen = paused("a", 210);
        EXPECT_EQ(selectFrom({ draining(paused("p", 212)), chosen, paused("b", 212) }), "b");
        EXPECT_EQ(selectFrom({ silentPrimary, chosen, paused("b", 209) }), "a");
        // A server that does not answer may hold a commit, unless the old primary has stopped and holds no more than the successor.
        const ProbedStatus silent = unanswered("b", ProbeOutcome::Silent);
        EXPECT_EQ(selectFrom({ chosen, silent }), "");
        EXPECT_EQ(selectFrom({ draining(paused("p", 212)), chosen, silent }), "p");
        EXPECT_EQ(selectFrom({ draining(paused("p", 210)), chosen, silent }), "a");
        EXPECT_EQ(selectFrom({ draining(leading("p", 210)), chosen, silent }), "");
        // Commits that only a leaving server holds would be lost with it.
        EXPECT_NE(selectFrom({ draining(paused("p", 212)), chosen, draining(paused("b", 212)) }), "a");
    }

    // Guards against a primary that is promoted again although its commits reach no replica.
    TEST(SuccessorSelectionTest, SelectsNoPrimaryWhoseCommitsReachNoReplica)
    {
        SuccessorEvidence evidence { { paused("p", 12), paused("a", 7), paused("b", 9) }, { primary } };
        EXPECT_EQ(selectSuccessor(evidence)->server, primary);
        evidence.stalledPrimary = primary;
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("b"));
        // Its log shows nothing about a replica that does not answer.
        evidence.statuses.push_back(unanswered("c", ProbeOutcome::Silent));
        EXPECT_FALSE(selectSuccessor(evidence));
    }

    // Guards against the loss of commits that only the recorded successor of an unfinished promotion holds. It was taken for the old
    // primary although it never led, so that its log did not count.
    TEST(SuccessorSelectionTest, CountsLogOfSuccessorThatNeverLed)
    {
        const std::vector<BackendServerId> unfinished { BackendServerId("new"), primary };
        EXPECT_EQ(selectFrom({ silentPrimary, paused("a", 7), paused("new", 9) }, false, unfinished), "new");
        // It may hold commits that no other server has, so it is waited for like any other one.
        const ProbedStatus silent = unanswered("new", ProbeOutcome::Silent);
        EXPECT_EQ(selectFrom({ draining(paused("p", 12)), paused("a", 7), silent }, true, unfinished), "p");
        EXPECT_EQ(selectFrom({ silentPrimary, paused("a", 7), silent }, true, unfinished), "");
        // The old primary holds no commit that the others lack, and if the successor led, the others hold what it acknowledged.
        EXPECT_EQ(selectFrom({ draining(paused("p", 7)), paused("a", 7), silent }, false, unfinished), "a");
        // Without a record, any server may have led.
        EXPECT_EQ(selectFrom({ paused("a", 7), paused("b", 9), silent }, true, {}), "b");
        EXPECT_EQ(selectFrom({ paused("a", 7), silentPrimary, silent }, true, {}), "");
    }

    // Guards against a VM that has just started, finds one replica in the list and no record of a primary, and takes that replica for the
    // last primary itself (review case 10, seed 7).
    TEST(SuccessorSelectionTest, SelectsNoServerOfUnknownGroupWithoutRecordOfPrimary)
    {
        SuccessorEvidence evidence { { paused("a", 7) }, {} };
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("a"));
        evidence.isGroupKnown = false;
        EXPECT_FALSE(selectSuccessor(evidence));
        // The last primary is known and shows what was acknowledged.
        evidence.possiblePrimaries = { BackendServerId("a") };
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("a"));
        // Every VM has reported what it acknowledged.
        evidence.possiblePrimaries.clear();
        evidence.isEveryCommitKnown = true;
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("a"));
    }

    // Guards against a group that waits for servers that have left until those that hold the commits leave too (236 commits lost in review
    // case 1, seed 4), and against a successor that lacks a commit of the fleet.
    TEST(SuccessorSelectionTest, WaitsForNoServerOnceEveryCommitIsKnown)
    {
        ProbedStatus leftPrimary = draining(silentPrimary);
        ProbedStatus leftReplica = draining(unanswered("b", ProbeOutcome::Silent));
        leftPrimary.isRemoved = leftReplica.isRemoved = true;
        SuccessorEvidence evidence { { leftPrimary, leftReplica, draining(paused("c", 9)), paused("new", 0) }, { primary } };
        evidence.requiredLogPoint = LogPoint { Term { 2 }, Position { 9 } };
        EXPECT_FALSE(selectSuccessor(evidence));
        evidence.isEveryCommitKnown = true;
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("c"));
        evidence.requiredLogPoint = LogPoint { Term { 2 }, Position { 10 } };
        EXPECT_FALSE(selectSuccessor(evidence));
        // The last primary has stopped and shows a commit that nobody has acknowledged. It is kept all the same.
        evidence.requiredLogPoint = LogPoint { Term { 2 }, Position { 9 } };
        evidence.statuses.front() = draining(paused("p", 10));
        EXPECT_EQ(selectSuccessor(evidence)->server, primary);
    }

    // Guards against a second promotion beside one whose order may still take effect at a server that does not answer this VM.
    TEST(SuccessorSelectionTest, SelectsNoOtherServerWhileRecordedSuccessorIsSilent)
    {
        SuccessorEvidence evidence { { silentPrimary, paused("a", 7), unanswered("new", ProbeOutcome::Silent) },
            { BackendServerId("new"), primary } };
        evidence.statuses.front() = draining(paused("p", 7));
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("a"));
        evidence.recordedSuccessor = BackendServerId("new");
        EXPECT_FALSE(selectSuccessor(evidence));
        // The platform has refused the order because the server is not running.
        evidence.excluded.insert(BackendServerId("new"));
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("a"));
        evidence.excluded.clear();
        evidence.statuses.back().outcome = ProbeOutcome::Refused;
        EXPECT_EQ(selectSuccessor(evidence)->server, BackendServerId("a"));
    }

    // Guards against the loss of commits that a chosen successor held, which crashed before its promotion: its log still counts, and the
    // demoted primary is alive and holds them too.
    TEST(SuccessorSelectionTest, SelectsDemotedPrimaryWhenSuccessorIsDown)
    {
        const std::vector<BackendServerId> unfinished { BackendServerId("b"), primary };
        const ProbedStatus crashed = unanswered("b", ProbeOutcome::Refused);
        EXPECT_EQ(selectFrom({ draining(paused("p", 12)), paused("a", 7), crashed }, true, unfinished), "p");
        EXPECT_EQ(selectFrom({ draining(paused("p", 7)), paused("a", 7), crashed }, true, unfinished), "a");
        // While it still leads, it may acknowledge commits.
        EXPECT_EQ(selectFrom({ draining(leading("p", 12)), paused("a", 7), crashed }, true, unfinished), "");
    }

    // Guards against a group without a primary because a leaving replica holds the only copy of a commit.
    TEST(SuccessorSelectionTest, SelectsLeavingReplicaThatAloneHoldsCommits)
    {
        EXPECT_EQ(selectFrom({ refusingPrimary, paused("a", 7), draining(paused("b", 9)) }), "b");
    }

    // Guards against the loss of commits that only a replica holds whose entry is late, so that nobody pauses it or asks for its log: the
    // demoted primary shows that there are commits which no listed replica has.
    TEST(SuccessorSelectionTest, SelectsDemotedPrimaryWhenNoListedReplicaHoldsItsLastCommits)
    {
        EXPECT_EQ(selectFrom({ draining(paused("p", 12)), paused("a", 7), paused("b", 9) }), "p");
        EXPECT_EQ(selectFrom({ draining(paused("p", 9)), paused("a", 7), paused("b", 9) }), "b");
    }

    ProbedStatus receiving(const std::string& id, uint64_t term, uint64_t receivedPosition)
    {
        ProbedStatus status = paused(id, receivedPosition);
        status.term = Term { term };
        return status;
    }

    // Guards against a primary that is demoted although no replica can take over at once.
    TEST(SuccessorSelectionTest, HandsOverOnlyToReplicaThatReceivesAndHasCaughtUp)
    {
        const ProbedStatus current = leading("p", 9);
        ProbedStatus stopped = receiving("b", 2, 9);
        stopped.pausedForTerm = Term { 3 };
        const auto find = [&](const ProbedStatus& replica, const std::set<BackendServerId>& excluded = {}) {
            return !findCaughtUpReplicas({ current, replica }, current, excluded).empty();
        };
        EXPECT_TRUE(find(receiving("b", 2, 9)));
        EXPECT_TRUE(find(receiving("b", 2, 10)));
        EXPECT_FALSE(find(receiving("b", 2, 8)));
        EXPECT_FALSE(find(receiving("b", 1, 9)));
        EXPECT_FALSE(find(stopped));
        EXPECT_FALSE(find(draining(receiving("b", 2, 9))));
        EXPECT_FALSE(find(receiving("b", 2, 9), { BackendServerId("b") }));
        EXPECT_FALSE(find(unanswered("b", ProbeOutcome::Silent)));
    }

    ProbedStatus evacuated(ProbedStatus status)
    {
        status.isEvacuated = true;
        return status;
    }

    // Guards against a hand-over into another evacuated data centre, and against a commit that is lost because only servers there hold it.
    TEST(SuccessorSelectionTest, SelectsServerOfEvacuatedDataCentreOnlyIfNoOtherCanLead)
    {
        EXPECT_EQ(selectFrom({ silentPrimary, evacuated(paused("a", 9)), paused("b", 9) }), "b");
        EXPECT_EQ(selectFrom({ silentPrimary, evacuated(paused("a", 9)), paused("b", 7) }), "a");
        const ProbedStatus primaryStatus = leading("p", 9);
        EXPECT_EQ(findCaughtUpReplicas({ primaryStatus, evacuated(paused("a", 9)), paused("b", 9) }, primaryStatus, {}),
            std::vector { BackendServerId("b") });
    }

    // Guards against turns of the promotion lock that cannot succeed: a primary of an evacuated data centre is replaced only while a server
    // elsewhere answers.
    TEST(SuccessorSelectionTest, EvacuatedPrimaryIsToHandOverOnlyToAServerElsewhere)
    {
        const auto causeFrom
            = [](const std::vector<ProbedStatus>& statuses) { return evaluateFailoverCause(statuses, primary, true, false, true); };
        EXPECT_EQ(causeFrom({ evacuated(leading("p", 9)), paused("a", 9) }), FailoverCause::PrimaryLeaving);
        EXPECT_EQ(causeFrom({ evacuated(leading("p", 9)), evacuated(paused("a", 9)) }), FailoverCause::None);
        EXPECT_EQ(causeFrom({ evacuated(leading("p", 9)), draining(paused("a", 9)) }), FailoverCause::None);
        EXPECT_EQ(causeFrom({ evacuated(leading("p", 9)), unanswered("a", ProbeOutcome::Silent) }), FailoverCause::None);
        EXPECT_EQ(causeFrom({ leading("p", 9), evacuated(paused("a", 9)) }), FailoverCause::None);
    }

}

}
