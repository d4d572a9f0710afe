#include "foxtailtrail/failover/FailoverPlan.h"
#include "foxtailtrail/failover/PromotionLock.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    ProbedStatus status(const std::string& id, ProbeOutcome outcome, bool isLeading, uint64_t receivedPosition)
    {
        ProbedStatus probed;
        probed.server = BackendServerId(id);
        probed.outcome = outcome;
        probed.isPrimary = isLeading;
        probed.term = Term { 1 };
        probed.receivedLogPoint = { Term { 1 }, Position { receivedPosition } };
        return probed;
    }

    const std::optional<BackendServerId> primaryId = BackendServerId("p");

    FailoverCause evaluate(
        const ProbedStatus& primaryStatus, const ProbedStatus& replica, bool isPrimarySettled = true, bool areCommitsStalled = false)
    {
        return evaluateFailoverCause({ primaryStatus, replica }, primaryId, isPrimarySettled, areCommitsStalled, true);
    }

    ProbedStatus withLog(const char* id, uint64_t position, ProbeOutcome outcome = ProbeOutcome::Answered)
    {
        ProbedStatus status;
        status.server = BackendServerId(id);
        status.outcome = outcome;
        status.term = Term { 2 };
        status.receivedLogPoint = { Term { 2 }, Position { position } };
        return status;
    }

    // Guards against a former primary that missed its demotion and goes on as a primary because no later command reaches it (soak seed
    // 9411).
    TEST(FailoverPlanTest, FindsPrimariesThatANewerOneHasReplaced)
    {
        ProbedStatus current = withLog("b0", 9);
        current.isPrimary = true;
        ProbedStatus former = withLog("b1", 7);
        former.isPrimary = true;
        former.term = Term { 1 };
        const ProbedStatus replica = withLog("b2", 9);
        EXPECT_EQ(supersededPrimaries({ former, current, replica }), std::vector { former.server });
        EXPECT_TRUE(supersededPrimaries({ current, replica }).empty());
        // Without an answer of a newer primary, the server may be the only one that leads.
        EXPECT_TRUE(supersededPrimaries({ former, replica }).empty());
        current.outcome = ProbeOutcome::Silent;
        EXPECT_TRUE(supersededPrimaries({ former, current, replica }).empty());
        current.outcome = ProbeOutcome::Answered;
        former.outcome = ProbeOutcome::Silent;
        EXPECT_TRUE(supersededPrimaries({ former, current, replica }).empty());
    }

    // Guards against a former primary that missed its demotion and is taken for the current one while its successor does not answer.
    TEST(FailoverPlanTest, FindsCurrentPrimaryOnlyInNewestTerm)
    {
        ProbedStatus former = withLog("b1", 7);
        former.isPrimary = true;
        former.term = Term { 1 };
        ProbedStatus current = withLog("b0", 9);
        current.isPrimary = true;
        const ProbedStatus replica = withLog("b2", 9);
        const std::vector<BackendServerId> last { current.server };
        EXPECT_EQ(findCurrentPrimary({ former, current, replica }, last, Term { 2 })->server, current.server);
        EXPECT_EQ(findCurrentPrimary({ former, replica }, {}, Term {}), nullptr);
        EXPECT_EQ(findCurrentPrimary({ former }, last, Term { 2 }), nullptr);
        EXPECT_EQ(findCurrentPrimary({ former }, last, Term {}), nullptr);
        EXPECT_EQ(findCurrentPrimary({ replica }, last, Term { 2 }), nullptr);
        // A promotion that this VM had not heard of.
        EXPECT_EQ(findCurrentPrimary({ current, replica }, { former.server }, Term { 1 })->server, current.server);
        // Nothing is known about the group yet.
        EXPECT_EQ(findCurrentPrimary({ former }, {}, Term {})->server, former.server);
    }

    // Guards against a failover without a cause: checks each state of the primary with a replica that answers.
    TEST(FailoverPlanTest, ReplacesPrimaryOnlyForACause)
    {
        const ProbedStatus replica = status("r", ProbeOutcome::Answered, false, 5);
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Answered, true, 5), replica), FailoverCause::None);
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Silent, false, 0), replica), FailoverCause::PrimaryLost);
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Refused, false, 0), replica), FailoverCause::PrimaryLost);
        // A server at its connection limit resets new connections and is not lost (first run of wattle quiet-1).
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Full, false, 0), replica), FailoverCause::None);
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Answered, false, 5), replica), FailoverCause::PrimaryLost);
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Answered, false, 5), replica, false), FailoverCause::Unfinished);
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Answered, true, 5), replica, true, true), FailoverCause::CommitsStalled);
        ProbedStatus leaving = status("p", ProbeOutcome::Answered, true, 5);
        leaving.isDraining = true;
        EXPECT_EQ(evaluate(leaving, replica), FailoverCause::PrimaryLeaving);
        EXPECT_EQ(evaluateFailoverCause({ replica }, std::nullopt, true, false, true), FailoverCause::NoPrimary);
    }

    // Guards against a VM that starts while the store is away and replaces a primary that leads, because its entry has not come back yet:
    // it pauses the replicas that the primary needs (review case 7).
    TEST(FailoverPlanTest, ReplacesNoPrimaryWhoseEntryMayComeBack)
    {
        const ProbedStatus replica = status("r", ProbeOutcome::Answered, false, 5);
        EXPECT_EQ(evaluateFailoverCause({ replica }, std::nullopt, true, false, false), FailoverCause::None);
    }

    // Guards against a VM that replaces a working primary because its own links are broken.
    TEST(FailoverPlanTest, KeepsPrimaryWhenNoServerAnswers)
    {
        const ProbedStatus silent = status("r", ProbeOutcome::Silent, false, 0);
        EXPECT_EQ(evaluate(status("p", ProbeOutcome::Silent, false, 0), silent), FailoverCause::None);
    }

    // Guards against a promotion whose pause command had no effect: all servers had been too busy to report their term, so
    // the term of the command was not above theirs (day both-replicas-behind on wattle).
    TEST(FailoverPlanTest, VerifiesThatPauseCommandTookEffect)
    {
        Term term { 1 };
        std::vector<ProbedStatus> replicas { status("a", ProbeOutcome::Answered, false, 7), status("b", ProbeOutcome::Silent, false, 0) };
        EXPECT_FALSE(verifyPause(replicas, term));
        EXPECT_EQ(term, Term { 2 });
        EXPECT_EQ(replicas[0].outcome, ProbeOutcome::Full);
        replicas = { status("a", ProbeOutcome::Answered, false, 7), status("b", ProbeOutcome::Silent, false, 0) };
        replicas[0].pausedForTerm = Term { 2 };
        EXPECT_TRUE(verifyPause(replicas, term));
        EXPECT_EQ(term, Term { 2 });
        // A primary cannot be paused.
        replicas[0].isPrimary = true;
        EXPECT_FALSE(verifyPause(replicas, term));
    }

    ProbedStatus primaryStatus(const std::string& id, uint64_t term)
    {
        ProbedStatus probed = status(id, ProbeOutcome::Answered, true, 5);
        probed.term = Term { term };
        return probed;
    }

    KnownPrimary known(const std::string& id, bool isPrimarySettled, uint64_t recordTerm, uint64_t reportedTerm)
    {
        return { BackendServerId(id), isPrimarySettled, Term { recordTerm }, Term { reportedTerm } };
    }

    // Guards against a VM that returns to an old primary, or that never discovers a new one.
    TEST(FailoverPlanTest, DiscoversPrimaryOnlyWithProof)
    {
        const ProbedStatus silent = status("n", ProbeOutcome::Silent, false, 0);
        EXPECT_EQ(discoverPrimary({ primaryStatus("o", 1) }, std::nullopt)->server, BackendServerId("o"));
        // The known primary leads.
        EXPECT_EQ(discoverPrimary({ primaryStatus("o", 1) }, known("o", true, 1, 1)), nullptr);
        // The successor leads now, which settles its own record.
        EXPECT_EQ(discoverPrimary({ primaryStatus("o", 1), primaryStatus("n", 2) }, known("n", false, 2, 0))->server, BackendServerId("n"));
        // The old primary answers while its successor is silent, or is being promoted.
        EXPECT_EQ(discoverPrimary({ primaryStatus("o", 1), silent }, known("n", true, 2, 2)), nullptr);
        EXPECT_EQ(discoverPrimary({ primaryStatus("o", 1), silent }, known("n", true, 2, 0)), nullptr);
        EXPECT_EQ(
            discoverPrimary({ primaryStatus("o", 1), status("n", ProbeOutcome::Answered, false, 5) }, known("n", false, 2, 0)), nullptr);
        // A VM that was cut off discovers the successor.
        EXPECT_EQ(discoverPrimary({ primaryStatus("o", 1), primaryStatus("n", 2) }, known("o", true, 1, 1))->server, BackendServerId("n"));
        EXPECT_EQ(discoverPrimary({ silent, primaryStatus("m", 3) }, known("n", true, 2, 2))->server, BackendServerId("m"));
        // After a promotion that changed nothing, the record has a higher term than the one in which its server leads. Such a
        // record does not hide a new primary (soak seed 1).
        EXPECT_EQ(discoverPrimary({ status("o", ProbeOutcome::Answered, false, 5), primaryStatus("n", 2) }, known("o", true, 3, 1))->server,
            BackendServerId("n"));
    }

    // Guards against two holders of one fencing token.
    TEST(PromotionLockTest, IsAcquiredOnlyAfterPreviousLockEnded)
    {
        const std::optional<PromotionLockRecord> first = acquirePromotionLock(std::nullopt, VmId("a"), 1000, StoreEra {}, TimePoint {});
        ASSERT_TRUE(first);
        EXPECT_EQ(first->fencingToken, 1U);
        EXPECT_FALSE(acquirePromotionLock(first, VmId("b"), 1000 + 3999, StoreEra {}, TimePoint {}));
        // An earlier process of the same VM may have a command in flight.
        EXPECT_FALSE(acquirePromotionLock(first, VmId("a"), 1000 + 3999, StoreEra {}, TimePoint {}));
        const std::optional<PromotionLockRecord> second = acquirePromotionLock(first, VmId("b"), 1000 + 4000, StoreEra {}, TimePoint {});
        ASSERT_TRUE(second);
        EXPECT_EQ(second->fencingToken, 2U);
        EXPECT_EQ(acquirePromotionLock(
                      HeldPromotionLock { *second, {}, {} }.releasedAt(TimePoint {}, false), VmId("a"), 6000, StoreEra {}, TimePoint {})
                      ->fencingToken,
            3U);
    }

    // Guards against a resume command that ends the pause of the next holder's promotion, because it had no reply and the lock was
    // released.
    TEST(PromotionLockTest, StaysHeldUntilUnansweredResumeCannotBeExecuted)
    {
        const std::optional<PromotionLockRecord> record = acquirePromotionLock(std::nullopt, VmId("a"), 1000, StoreEra {}, TimePoint {});
        ASSERT_TRUE(record);
        const TimePoint sentAt {};
        const HeldPromotionLock lock { *record, {}, sentAt + promotionLockUsableLifetime };
        const auto isFreeAt = [&](const PromotionLockRecord& released, int64_t storeNowMs) {
            return acquirePromotionLock(released, VmId("b"), storeNowMs, StoreEra {}, TimePoint {}).has_value();
        };
        const TimePoint resumedAt = sentAt + std::chrono::milliseconds(700);
        EXPECT_TRUE(isFreeAt(lock.releasedAt(resumedAt, false), 1000 + 700));
        EXPECT_FALSE(isFreeAt(lock.releasedAt(resumedAt, true), 1000 + 700 + toMilliseconds(commandDeliveryTime)));
        EXPECT_TRUE(isFreeAt(lock.releasedAt(resumedAt, true), 1000 + 701 + toMilliseconds(commandDeliveryTime)));
        // The lifetime of the lock covers the delivery of a command that was sent while it was allowed.
        EXPECT_TRUE(isFreeAt(lock.releasedAt(sentAt + std::chrono::hours(1), true), record->endsAtMs));
    }

    // Guards against two holders after the store was restored from a copy that lacks the lock, and against a token that is used again.
    TEST(PromotionLockTest, IsAcquiredInNewEraOnlyAfterLocksOfEarlierErasEnded)
    {
        const StoreEra era { 2, TimePoint(milliseconds(10'000)) };
        EXPECT_FALSE(acquirePromotionLock(std::nullopt, VmId("b"), 500, era, TimePoint(milliseconds(13'999))));
        const std::optional<PromotionLockRecord> first
            = acquirePromotionLock(std::nullopt, VmId("b"), 500, era, TimePoint(milliseconds(14'000)));
        ASSERT_TRUE(first);
        const std::optional<PromotionLockRecord> lost
            = acquirePromotionLock(std::nullopt, VmId("a"), 500, StoreEra { 1 }, TimePoint(milliseconds(9'000)));
        ASSERT_TRUE(lost);
        EXPECT_GT(first->fencingToken, lost->fencingToken + 1'000'000);
        // A record of this era shows when the lock ends, also to a VM that has just started.
        const StoreEra justSeen { 2, TimePoint(milliseconds(20'000)) };
        EXPECT_TRUE(acquirePromotionLock(first, VmId("c"), 500 + 4000, justSeen, TimePoint(milliseconds(20'000))));
        const HeldPromotionLock held { *lost, { 1, 7 }, TimePoint(milliseconds(11'500)) };
        EXPECT_TRUE(held.isUsableAt(TimePoint(milliseconds(11'000)), StoreEra { 1 }));
        EXPECT_FALSE(held.isUsableAt(TimePoint(milliseconds(11'000)), era));
    }

    // Simulates VMs that acquire the promotion lock in a store. The store may lose replies, apply updates late and be restored from an
    // older copy, and a VM may freeze at any time. A VM sends commands only while its lock is usable. Commands arrive up to 1.2 s late.
    struct PromotionLockSimulation {
        explicit PromotionLockSimulation(uint32_t seed, std::vector<int64_t> restoredAt = {})
            : random(seed)
            , restoredAt(std::move(restoredAt))
        {
        }

        struct DelayedUpdate {
            int64_t applyAt = 0;
            StoreVersion expectedVersion;
            PromotionLockRecord record;
        };
        struct Vm {
            std::optional<HeldPromotionLock> lock;
            int64_t frozenUntil = 0;
            StoreEra era;
        };
        struct StoredLock {
            std::optional<PromotionLockRecord> record;
            uint64_t version = 0;
        };
        struct Store {
            // The rows of the lock by era.
            std::map<uint64_t, StoredLock> locks;
            uint64_t version = 0;
        };

        // Applies an update if its condition still holds.
        bool apply(const StoreVersion& expectedVersion, const PromotionLockRecord& record)
        {
            StoredLock& lock = this->store.locks[expectedVersion.era];
            if (lock.version != expectedVersion.number)
                return false;
            lock = { record, ++this->store.version };
            return true;
        }

        // Continues from a copy that is up to nine seconds old.
        void restoreIfDue(int64_t now)
        {
            this->copies.push_back(this->store);
            if (std::find(this->restoredAt.begin(), this->restoredAt.end(), now) == this->restoredAt.end())
                return;
            this->copies.resize(this->copies.size() - std::min<size_t>(this->copies.size() - 1, this->random() % 180));
            this->store = this->copies.back();
            ++this->era;
        }

        void step(int64_t now)
        {
            if (!this->restoredAt.empty())
                this->restoreIfDue(now);
            for (auto update = this->delayedUpdates.begin(); update != this->delayedUpdates.end();) {
                if (update->applyAt > now) {
                    ++update;
                    continue;
                }
                this->apply(update->expectedVersion, update->record);
                update = this->delayedUpdates.erase(update);
            }
            for (size_t index = 0; index < this->vms.size(); ++index)
                this->act(index, now);
        }

        void act(size_t index, int64_t now)
        {
            Vm& vm = this->vms[index];
            if (now < vm.frozenUntil)
                return;
            if (this->random() % 200 == 0)
                vm.frozenUntil = now + static_cast<int64_t>(this->random() % 6000);
            const TimePoint time { milliseconds(now) };
            if (vm.lock && vm.lock->isUsableAt(time, vm.era) && this->random() % 4 == 0) {
                // A command takes up to 1.2 s to arrive.
                this->commands.emplace(now + static_cast<int64_t>(this->random() % 1200), std::pair(vm.lock->record.fencingToken, index));
                return;
            }
            if (this->random() % 20 != 0)
                return;
            if (vm.era.number != this->era)
                vm.era = { this->era, time };
            const StoredLock& stored = this->store.locks[this->era];
            const std::optional<PromotionLockRecord> acquired
                = acquirePromotionLock(stored.record, VmId(std::to_string(index)), now, vm.era, time);
            if (!acquired)
                return;
            const StoreVersion expected { this->era, stored.version };
            const uint32_t outcomeRoll = this->random() % 10;
            if (outcomeRoll == 0) {
                this->delayedUpdates.push_back({ now + static_cast<int64_t>(this->random() % 6000), expected, *acquired });
            } else if (this->apply(expected, *acquired) && outcomeRoll > 1) {
                // The usable lifetime counts from the request, so a reply that takes up to a second does not extend it.
                vm.lock = HeldPromotionLock { *acquired, { this->era, this->store.version }, time + promotionLockUsableLifetime };
            }
        }

        std::mt19937 random;
        std::vector<int64_t> restoredAt;
        std::vector<Store> copies;
        Store store;
        uint64_t era = 0;
        std::vector<DelayedUpdate> delayedUpdates;
        std::vector<Vm> vms { 3 };
        std::multimap<int64_t, std::pair<uint64_t, size_t>> commands;
    };

    // Guards against a VM that was suspended while it held the lock and ends a pause that the next holder relies on.
    TEST(PromotionLockTest, ResumesReplicasOnlyWithinTheLifetime)
    {
        const TimePoint acquiredAt(std::chrono::seconds(100));
        const HeldPromotionLock lock { {}, StoreVersion { 0, 1 }, acquiredAt + promotionLockUsableLifetime };
        EXPECT_TRUE(lock.mayResumeAt(acquiredAt + promotionLockUsableLifetime));
        EXPECT_FALSE(lock.mayResumeAt(acquiredAt + promotionLockLifetime - std::chrono::milliseconds(500)));
        EXPECT_FALSE(lock.mayResumeAt(acquiredAt + promotionLockLifetime));
    }

    // Guards against commands with a lower fencing token than an earlier one, and against two holders of one fencing token.
    void expectRisingTokensWithOneHolder(PromotionLockSimulation simulation, uint32_t seed)
    {
        for (int64_t now = 0; now < 20'000; now += 50)
            simulation.step(now);
        uint64_t highestToken = 0;
        std::map<uint64_t, size_t> holders;
        for (const auto& [arrival, command] : simulation.commands) {
            ASSERT_GE(command.first, highestToken) << "seed " << seed;
            highestToken = command.first;
            ASSERT_EQ(holders.emplace(command.first, command.second).first->second, command.second) << "seed " << seed;
        }
    }

    TEST(PromotionLockTest, ArrivingFencingTokensNeverDecreaseAndHaveOneHolder)
    {
        for (uint32_t seed = 0; seed < 10'000; ++seed)
            expectRisingTokensWithOneHolder(PromotionLockSimulation(seed), seed);
    }

    // Guards against the same when the store is restored from an older copy, also twice within a few seconds.
    TEST(PromotionLockTest, ArrivingFencingTokensNeverDecreaseAcrossRestoredStores)
    {
        for (uint32_t seed = 0; seed < 2'000; ++seed)
            expectRisingTokensWithOneHolder(PromotionLockSimulation(seed, { 5000 + 50 * (seed % 40), 9000 + 50 * (seed % 60) }), seed);
    }

}

}
