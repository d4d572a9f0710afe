#include "foxtailtrail/limits/QuotaAllocatorChoice.h"
#include "foxtailtrail/limits/LocalQuota.h"
#include "foxtailtrail/limits/QuotaAllocator.h"
#include "foxtailtrail/limits/QuotaRequestLog.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <set>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const QuotaBounds bounds { std::chrono::seconds(5), 0.1, 20 };
    const VmId self("self");

    TimePoint at(int64_t milliseconds) { return TimePoint { std::chrono::milliseconds(milliseconds) }; }

    // A large fleet in virtual time, in milliseconds, whose VMs choose their allocators from the list, request tokens from them and send
    // heartbeats as in PeerExchange. One VM in 16 is large.
    class ChoiceFleet {
    public:
        ChoiceFleet(uint32_t seed, size_t vmCount, OrganisationLimit organisationLimit, double load, double lossProbability)
            : random(seed)
            , limit(std::move(organisationLimit))
            , arrivalsPerMillisecond(load * limit.ratePerSecond / 1000)
            , lossProbability(lossProbability)
        {
            for (size_t index = 0; index < vmCount; ++index)
                this->list.push_back({ VmId("vm" + std::to_string(index)), index % 16 == 5 ? 0.5 : 0.12 });
            for (size_t index = 0; index < vmCount; ++index) {
                this->vms.push_back(std::make_unique<Vm>(this->list[index].vm));
                this->indexById[this->list[index].vm] = index;
                this->vms.back()->heartbeatAt = 1000 + static_cast<int64_t>(this->random() % 500);
                this->vms.back()->choice.setCandidates(this->list, at(1000));
            }
        }

        void runUntil(int64_t end)
        {
            for (; this->now < end; ++this->now)
                this->step();
        }

        // Restarts the VM. Its process responds after the first delay and can allocate after the second one.
        void restart(size_t index, int64_t delay, int64_t readyDelay = 0)
        {
            const VmId id = this->vms[index]->id;
            this->vms[index] = std::make_unique<Vm>(id);
            this->vms[index]->runsFrom = this->now + delay;
            this->vms[index]->readyFrom = this->now + std::max(delay, readyDelay);
            this->vms[index]->heartbeatAt = this->now + delay;
            this->vms[index]->choice.setCandidates(this->list, at(this->now));
        }
        void stopForGood(size_t index) { this->vms[index]->runsFrom = INT64_MAX; }
        // Gives the VM a list without the entry.
        void hideFromList(size_t index, const VmId& hidden)
        {
            std::vector<AllocatorCandidate> shorter = this->list;
            std::erase_if(shorter, [&](const AllocatorCandidate& each) { return each.vm == hidden; });
            this->vms[index]->choice.setCandidates(shorter, at(this->now));
        }
        void restoreList(size_t index) { this->vms[index]->choice.setCandidates(this->list, at(this->now)); }
        void setPartition(size_t firstOfOtherSide) { this->firstOfOtherSide = firstOfOtherSide; }

        size_t indexOf(const VmId& vm) const { return this->indexById.at(vm); }
        bool isLarge(size_t index) const { return this->list[index].processorShare > 0.12; }
        size_t vmCount() const { return this->vms.size(); }
        VmId allocatorOf(size_t index) const { return this->vms[index]->choice.allocatorAt(at(this->now), true).value(); }
        // Returns the allocators that the running VMs use.
        std::set<VmId> allocatorsInUse() const
        {
            std::set<VmId> inUse;
            for (size_t index = 0; index < this->vms.size(); ++index) {
                if (this->now >= this->vms[index]->runsFrom)
                    inUse.insert(this->allocatorOf(index));
            }
            return inUse;
        }

        double shareUsingSameAllocator() const
        {
            std::map<VmId, size_t> users;
            size_t most = 0;
            for (size_t index = 0; index < this->vms.size(); ++index)
                most = std::max(most, ++users[this->allocatorOf(index)]);
            return static_cast<double>(most) / static_cast<double>(this->vms.size());
        }

        void resetCounts() { this->operationCount = this->refusedCount = this->messageCount = 0; }
        double refusedShare() const { return static_cast<double>(this->refusedCount) / static_cast<double>(this->operationCount); }
        size_t maxAdmittedInWindow() const
        {
            size_t maxCount = 0;
            size_t first = 0;
            for (size_t last = 0; last < this->admitted.size(); ++last) {
                while (this->admitted[last] - this->admitted[first] >= 5000)
                    ++first;
                maxCount = std::max(maxCount, last - first + 1);
            }
            return maxCount;
        }

        size_t operationCount = 0;
        size_t refusedCount = 0;
        size_t messageCount = 0;

    private:
        // As in SessionProxy and PeerExchange.
        static constexpr int64_t sweepInterval = 50;
        static constexpr int64_t grantTimeout = 200;
        static constexpr int64_t heartbeatInterval = 500;
        static constexpr size_t heartbeatsPerRound = 3;

        struct Reply {
            int64_t deliverAt = 0;
            uint64_t requestNumber = 0;
            std::vector<QuotaGrant> grants;
            std::optional<VmId> hint;
            TimePoint hintHeardAt {};
        };
        struct Vm {
            explicit Vm(const VmId& id)
                : id(id)
                , choice(id)
            {
            }
            VmId id;
            LocalQuota quota { bounds };
            QuotaAllocator allocator { bounds };
            QuotaAllocatorChoice choice;
            QuotaRequestLog requestLog;
            std::map<VmId, TimePoint> heardAt;
            int64_t runsFrom = 0;
            int64_t readyFrom = 0;
            int64_t heartbeatAt = 0;
            int64_t allocatedAt = INT64_MIN / 2;
            size_t nextPeer = 0;
            std::deque<Reply> inbox;
            std::deque<int64_t> waitingUntil;
        };

        double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
        bool isDelivered(size_t from, size_t to)
        {
            ++this->messageCount;
            return this->now >= this->vms[to]->runsFrom && (from < this->firstOfOtherSide) == (to < this->firstOfOtherSide)
                && this->uniform() >= this->lossProbability;
        }

        void hear(Vm& vm, const VmId& other, TimePoint heardAt)
        {
            TimePoint& last = vm.heardAt[other];
            last = std::max(last, heardAt);
            vm.choice.recordHeard(other, heardAt);
        }
        std::pair<VmId, TimePoint> hintOf(Vm& vm)
        {
            const VmId allocator = vm.choice.allocatorAt(at(this->now), true).value();
            return { allocator, allocator == vm.id ? at(this->now) : vm.heardAt[allocator] };
        }

        void sendHeartbeat(size_t from, size_t to)
        {
            if (from == to || !this->isDelivered(from, to))
                return;
            if (this->now < this->vms[from]->readyFrom) {
                this->vms[to]->choice.recordNotReady(this->vms[from]->id, at(this->now));
                return;
            }
            this->hear(*this->vms[to], this->vms[from]->id, at(this->now));
            const auto [hint, heardAt] = this->hintOf(*this->vms[from]);
            this->hear(*this->vms[to], hint, heardAt);
        }

        void requestHeartbeat(size_t from, size_t to)
        {
            if (this->isDelivered(from, to))
                this->sendHeartbeat(to, from);
        }

        void requestGrants(size_t index)
        {
            Vm& vm = *this->vms[index];
            const TimePoint time = at(this->now);
            if (vm.requestLog.isReplyAwaited(time))
                return;
            const bool isRepetition = vm.requestLog.isRepetitionDue(time);
            if (const auto unresponsive = vm.requestLog.takeUnresponsiveAllocator(time))
                vm.choice.recordUnresponsive(*unresponsive, time);
            if (!isRepetition && !vm.quota.isRequestDue(this->vms.size(), time))
                return;
            const std::optional<VmId> allocator = vm.choice.allocatorAt(time, this->now >= vm.readyFrom);
            if (!allocator)
                return;
            const std::vector<QuotaRequest> requests = vm.quota.collectRequests(time);
            vm.quota.recordRequestSent(time);
            Vm& lender = *this->vms[this->indexById[*allocator]];
            if (lender.id == vm.id)
                lender.allocatedAt = this->now;
            if (lender.id == vm.id) {
                vm.quota.applyGrants(vm.allocator.grant(vm.id, requests, { this->limit }, this->vms.size(), time), time, time);
                this->serveWaiting(vm);
                return;
            }
            const uint64_t number = vm.requestLog.recordSent(*allocator, time);
            if (!this->isDelivered(index, this->indexById[*allocator]))
                return;
            if (this->now < lender.readyFrom) {
                vm.choice.recordNotReady(*allocator, time);
                if (vm.requestLog.recordDeclined(*allocator)) {
                    this->serveWaiting(vm);
                    this->requestGrants(index);
                }
                return;
            }
            lender.allocatedAt = this->now;
            const auto grants = lender.allocator.grant(vm.id, requests, { this->limit }, this->vms.size(), time);
            const auto [hint, heardAt] = this->hintOf(lender);
            if (this->isDelivered(this->indexById[*allocator], index))
                vm.inbox.push_back({ this->now + 1 + static_cast<int64_t>(this->random() % 30), number, grants, hint, heardAt });
        }

        void admit(Vm& vm, int64_t arrivedAt, int64_t giveUpAt, bool hasWaited)
        {
            const QuotaOperation operation { 0, at(giveUpAt), at(arrivedAt) };
            const QuotaDecision decision = vm.quota.admit(this->limit, this->vms.size(), at(this->now), hasWaited, operation);
            if (decision == QuotaDecision::Admitted)
                this->admitted.push_back(this->now);
            else if (decision == QuotaDecision::Wait && this->now < giveUpAt)
                vm.waitingUntil.push_back(giveUpAt);
            else {
                if (decision == QuotaDecision::Wait)
                    vm.quota.stopWaiting(this->limit.organisation, at(arrivedAt), operation);
                ++this->refusedCount;
            }
        }
        void serveWaiting(Vm& vm)
        {
            for (const int64_t giveUpAt : std::exchange(vm.waitingUntil, {}))
                this->admit(vm, giveUpAt - grantTimeout, giveUpAt, true);
        }

        void receive(Vm& vm)
        {
            while (!vm.inbox.empty() && vm.inbox.front().deliverAt <= this->now) {
                const Reply reply = vm.inbox.front();
                vm.inbox.pop_front();
                const auto request = vm.requestLog.recordReply(reply.requestNumber);
                if (!request)
                    continue;
                vm.choice.recordGrant(request->allocator);
                this->hear(vm, request->allocator, at(this->now));
                if (reply.hint)
                    this->hear(vm, *reply.hint, reply.hintHeardAt);
                vm.quota.applyGrants(reply.grants, request->sentAt, at(this->now));
                this->serveWaiting(vm);
            }
        }

        void step()
        {
            // Callers reach running VMs only.
            this->expectedArrivals += this->arrivalsPerMillisecond;
            for (; this->expectedArrivals >= 1 || this->uniform() < this->expectedArrivals; --this->expectedArrivals) {
                const size_t index = this->random() % this->vms.size();
                if (this->now < this->vms[index]->runsFrom)
                    continue;
                ++this->operationCount;
                this->admit(*this->vms[index], this->now, this->now + grantTimeout, false);
            }
            for (size_t index = 0; index < this->vms.size(); ++index) {
                Vm& vm = *this->vms[index];
                if (this->now < vm.runsFrom)
                    continue;
                this->receive(vm);
                if (this->now % sweepInterval == 0)
                    this->serveWaiting(vm);
                if (this->now >= vm.heartbeatAt) {
                    vm.heartbeatAt += heartbeatInterval;
                    for (size_t count = 0; count < heartbeatsPerRound; ++count)
                        this->sendHeartbeat(index, (index + vm.nextPeer++) % this->vms.size());
                    if (vm.allocatedAt + heartbeatInterval >= this->now) {
                        for (const VmId& other : vm.choice.precedingCandidates())
                            this->requestHeartbeat(index, this->indexById[other]);
                    }
                }
                this->requestGrants(index);
            }
        }

        std::mt19937 random;
        OrganisationLimit limit;
        double arrivalsPerMillisecond;
        double expectedArrivals = 0;
        double lossProbability;
        int64_t now = 1000;
        size_t firstOfOtherSide = SIZE_MAX;
        std::vector<AllocatorCandidate> list;
        std::vector<std::unique_ptr<Vm>> vms;
        std::map<VmId, size_t> indexById;
        std::vector<int64_t> admitted;
    };

    OrganisationLimit organisationWithRate(double rate) { return { OrganisationId("o"), rate, rate }; }
    double permittedOperations(const OrganisationLimit& limit) { return (limit.ratePerSecond * 5 + limit.burst) * 1.1 + 20; }

    // Guards against VMs that each take themselves for the allocator after a restart of all of them, so that operations below the rate are
    // refused for 2 s.
    TEST(QuotaAllocatorChoiceTest, RestartOfLargeFleetRefusesFewOperations)
    {
        for (const size_t vmCount : { 300U, 1000U }) {
            const OrganisationLimit limit = organisationWithRate(120);
            ChoiceFleet fleet(1, vmCount, limit, 0.625, 0.01);
            fleet.runUntil(4000);
            for (size_t index = 0; index < vmCount; ++index)
                fleet.restart(index, static_cast<int64_t>(index * 7 % 300));
            fleet.runUntil(4400);
            fleet.resetCounts();
            fleet.runUntil(9000);
            EXPECT_LT(fleet.refusedShare(), 0.02) << vmCount << " VMs: " << fleet.refusedCount << " of " << fleet.operationCount;
            EXPECT_EQ(fleet.allocatorsInUse().size(), 1U) << vmCount;
            EXPECT_LE(static_cast<double>(fleet.maxAdmittedInWindow()), permittedOperations(limit));
            // Requests, grants and heartbeats per VM and second.
            EXPECT_LT(static_cast<double>(fleet.messageCount) / 4.6 / static_cast<double>(vmCount), 30) << vmCount;
        }
    }

    // Guards against operations that wait in vain because the first allocators of the order run but cannot allocate yet, after a restart in
    // which some VMs get their configuration late.
    TEST(QuotaAllocatorChoiceTest, RestartWithAllocatorsThatAreReadyLateRefusesFewOperations)
    {
        size_t operationCount = 0;
        size_t refusedCount = 0;
        for (uint32_t seed = 1; seed <= 8; ++seed) {
            const OrganisationLimit limit = organisationWithRate(120);
            ChoiceFleet fleet(seed, 300, limit, 0.625, 0.01);
            fleet.runUntil(4000);
            for (size_t index = 0; index < fleet.vmCount(); ++index)
                fleet.restart(index, 100, index % 3 == 0 && !fleet.isLarge(index) ? 150 : 950);
            const VmId first = fleet.allocatorOf(0);
            ASSERT_TRUE(fleet.isLarge(fleet.indexOf(first)));
            fleet.runUntil(4300);
            fleet.resetCounts();
            fleet.runUntil(4950);
            EXPECT_LT(fleet.refusedShare(), 0.1) << fleet.refusedCount << " of " << fleet.operationCount << " before all are ready";
            fleet.resetCounts();
            fleet.runUntil(7000);
            operationCount += fleet.operationCount;
            refusedCount += fleet.refusedCount;
            EXPECT_EQ(fleet.allocatorsInUse(), std::set<VmId> { first });
            EXPECT_LE(static_cast<double>(fleet.maxAdmittedInWindow()), permittedOperations(limit));
        }
        RecordProperty("refusedOnReturn", std::to_string(refusedCount) + " of " + std::to_string(operationCount));
    }

    // Guards against an allocator that is lost or returns and leaves the VMs with different ones for long.
    TEST(QuotaAllocatorChoiceTest, VmsLeaveLostAllocatorAndReturnTogether)
    {
        const OrganisationLimit limit = organisationWithRate(120);
        ChoiceFleet fleet(2, 300, limit, 0.625, 0.01);
        fleet.runUntil(4000);
        const VmId first = fleet.allocatorOf(0);
        const size_t firstIndex = fleet.indexOf(first);
        fleet.restart(firstIndex, 4000);
        fleet.runUntil(5000);
        ASSERT_EQ(fleet.allocatorsInUse().size(), 1U);
        EXPECT_NE(fleet.allocatorOf(0), first);
        fleet.resetCounts();
        fleet.runUntil(8000);
        EXPECT_LT(fleet.refusedShare(), 0.01) << fleet.refusedCount << " of " << fleet.operationCount << " while it is lost";
        fleet.resetCounts();
        fleet.runUntil(12'000);
        EXPECT_EQ(fleet.allocatorsInUse(), std::set<VmId> { first });
        EXPECT_LT(fleet.refusedShare(), 0.02) << fleet.refusedCount << " of " << fleet.operationCount << " when it returns";
        EXPECT_LE(static_cast<double>(fleet.maxAdmittedInWindow()), permittedOperations(limit));
    }

    // Guards against VMs without an allocator after the loss of many of the first candidates at once.
    TEST(QuotaAllocatorChoiceTest, LossOfHalfOfLargeFleetLeavesOneAllocator)
    {
        for (const size_t vmCount : { 300U, 1000U }) {
            for (uint32_t seed = 0; seed < 3; ++seed) {
                // The allocator fills its buckets by the VMs that lend it their shares, so half of the rate remains.
                const OrganisationLimit limit = organisationWithRate(120);
                ChoiceFleet fleet(seed, vmCount, limit, 0.6, 0.01);
                fleet.runUntil(4000);
                std::mt19937 random(seed);
                for (size_t index = 0; index < vmCount; ++index) {
                    if (random() % 2 == 0)
                        fleet.stopForGood(index);
                }
                fleet.runUntil(7000);
                EXPECT_EQ(fleet.allocatorsInUse().size(), 1U) << vmCount << " VMs, seed " << seed;
                fleet.resetCounts();
                fleet.runUntil(10'000);
                EXPECT_LT(fleet.refusedShare(), 0.02)
                    << vmCount << " VMs, seed " << seed << ": " << fleet.refusedCount << " of " << fleet.operationCount;
            }
        }
    }

    // Guards against operations over the bound while VMs have different lists or are partitioned, with several times the rate requested.
    TEST(QuotaAllocatorChoiceTest, DifferentListsAndPartitionsKeepTheBound)
    {
        for (uint32_t seed = 0; seed < 6; ++seed) {
            const OrganisationLimit limit = organisationWithRate(20 + 40 * seed);
            ChoiceFleet fleet(seed, 300, limit, 4, 0.05);
            fleet.runUntil(4000);
            const VmId first = fleet.allocatorOf(0);
            for (size_t index = 0; index < fleet.vmCount(); ++index) {
                if (index % 3 == seed % 3 && fleet.indexOf(first) != index)
                    fleet.hideFromList(index, first);
            }
            fleet.runUntil(6000);
            for (size_t index = 0; index < fleet.vmCount(); ++index)
                fleet.restoreList(index);
            fleet.runUntil(10'000);
            fleet.setPartition(40 + seed * 40);
            fleet.runUntil(14'000);
            fleet.setPartition(SIZE_MAX);
            fleet.runUntil(22'000);
            // A VM whose messages were lost three times in a row uses another allocator for a moment.
            EXPECT_GT(fleet.shareUsingSameAllocator(), 0.98) << "seed " << seed;
            EXPECT_LE(static_cast<double>(fleet.maxAdmittedInWindow()), permittedOperations(limit)) << "seed " << seed;
        }
    }

    // Guards against a VM that does not answer its own requests, or is used as an allocator although it may not allocate.
    TEST(QuotaAllocatorChoiceTest, UsesItselfOnlyWhileItMayAllocate)
    {
        QuotaAllocatorChoice choice(self);
        EXPECT_EQ(choice.allocatorAt(at(1000), true), self);
        EXPECT_EQ(choice.allocatorAt(at(1000), false), std::nullopt);
        choice.setCandidates({ { self, 0.5 }, { VmId("other"), 0.1 } }, at(1000));
        EXPECT_EQ(choice.allocatorAt(at(1000), true), self);
        EXPECT_EQ(choice.allocatorAt(at(1000), false), VmId("other"));
    }

    // Guards against a VM that requests from an allocator it cannot reach each time that another VM has heard from it.
    TEST(QuotaAllocatorChoiceTest, TriesUnreachableAllocatorLessAndLessOften)
    {
        QuotaAllocatorChoice choice(self);
        choice.setCandidates({ { VmId("large"), 0.5 }, { self, 0.1 }, { VmId("other"), 0.1 } }, at(1000));
        size_t failures = 0;
        for (int64_t now = 1000; now < 61'000; now += 100) {
            choice.recordHeard(VmId("large"), at(now));
            if (choice.allocatorAt(at(now), false) != VmId("large"))
                continue;
            choice.recordUnresponsive(VmId("large"), at(now));
            ++failures;
        }
        EXPECT_LE(failures, 9U);
        choice.recordGrant(VmId("large"));
        EXPECT_EQ(choice.allocatorAt(at(61'000), false), VmId("large"));
    }

    // Guards against quota that is requested from a VM that has just joined the fleet and allocates none yet, or that stops.
    TEST(QuotaAllocatorChoiceTest, SkipsJoiningAndStoppingVms)
    {
        QuotaAllocatorChoice choice(self);
        choice.setCandidates({ { self, 0.1 }, { VmId("large"), 0.5 } }, at(1000));
        choice.setCandidates({ { self, 0.1 }, { VmId("large"), 0.5 }, { VmId("larger"), 0.6 } }, at(2000));
        choice.recordHeard(VmId("larger"), at(3900));
        EXPECT_EQ(choice.allocatorAt(at(4100), false), VmId("large"));
        choice.recordHeard(VmId("larger"), at(4200));
        EXPECT_EQ(choice.allocatorAt(at(4300), false), VmId("larger"));
        choice.recordStop(VmId("larger"), at(5000));
        EXPECT_EQ(choice.allocatorAt(at(5100), false), VmId("large"));
        choice.recordNotReady(VmId("large"), at(5200));
        EXPECT_EQ(choice.allocatorAt(at(5300), false), std::nullopt);
        choice.recordHeard(VmId("large"), at(5400));
        EXPECT_EQ(choice.allocatorAt(at(5400), false), VmId("large"));
    }

}

}
