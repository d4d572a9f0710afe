#include "foxtailtrail/scheduling/StatementQueue.h"

#include "foxtailtrail/scheduling/ConcurrencyWindow.h"
#include "foxtailtrail/scheduling/OpeningPolicy.h"
#include "foxtailtrail/scheduling/ServerThroughput.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <list>
#include <queue>
#include <random>
#include <set>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    TimePoint at(int64_t ms) { return TimePoint(milliseconds(ms)); }

    // The policy before: strict priority and arrival, refusal when the time to wait has passed, and a window that grows while the server
    // does not refuse work.
    class PriorityAndArrival {
    public:
        void push(const QueuedStatement& statement, TimePoint)
        {
            const auto place = std::find_if(this->waiting.begin(), this->waiting.end(),
                [&](const QueuedStatement& each) { return each.priority > statement.priority; });
            this->waiting.insert(place, statement);
        }
        std::optional<uint64_t> start(size_t running, TimePoint)
        {
            if (this->waiting.empty() || running >= this->window.size())
                return std::nullopt;
            // Within the highest priority, the organisation with the fewest statements at the server is first.
            auto selected = this->waiting.begin();
            for (auto each = this->waiting.begin(); each != this->waiting.end() && each->priority == selected->priority; ++each) {
                if (this->inUse[each->organisation] < this->inUse[selected->organisation])
                    selected = each;
            }
            const uint64_t ticket = selected->ticket;
            ++this->inUse[selected->organisation];
            this->waiting.erase(selected);
            return ticket;
        }
        std::vector<uint64_t> refuse(size_t, TimePoint, TimePoint now)
        {
            std::vector<uint64_t> refused;
            for (const QueuedStatement& statement : this->waiting) {
                if (statement.giveUpAt <= now)
                    refused.push_back(statement.ticket);
            }
            this->waiting.remove_if([&](const QueuedStatement& statement) { return statement.giveUpAt <= now; });
            return refused;
        }
        void recordReply(const std::string& organisation, TimePoint, TimePoint)
        {
            --this->inUse[organisation];
            this->window.recordReply();
        }

    private:
        std::list<QueuedStatement> waiting;
        std::map<std::string, size_t> inUse;
        ConcurrencyWindow window;
    };

    constexpr size_t slots = 4;

    class PlannedOrder {
    public:
        void push(const QueuedStatement& statement, TimePoint) { this->queue.push(statement); }
        std::optional<uint64_t> start(size_t running, TimePoint now)
        {
            if (this->queue.empty() || running >= this->window.size())
                return std::nullopt;
            const PlannedStart first = this->queue.startOrder(now, this->paceAt(running, now, now)).front();
            this->queue.recordStart(first, now);
            return first.ticket;
        }
        std::vector<uint64_t> refuse(size_t running, TimePoint oldestSentAt, TimePoint now)
        {
            std::vector<uint64_t> refused = this->queue.hopeless(now, this->paceAt(running, oldestSentAt, now));
            for (const uint64_t ticket : refused)
                this->queue.remove(ticket);
            return refused;
        }
        void recordReply(const std::string&, TimePoint sentAt, TimePoint now)
        {
            this->throughput.recordReply(sentAt, now);
            this->window.recordReply();
            this->window.setCeiling(this->throughput.statementsToKeepBusy(slots));
        }

    private:
        ServerPace paceAt(size_t running, TimePoint oldestSentAt, TimePoint now) const
        {
            return this->throughput.pace(this->window.size(), running >= this->window.size(), oldestSentAt, now);
        }
        StatementQueue queue;
        ServerThroughput throughput;
        ConcurrencyWindow window;
    };

    struct Kind {
        uint32_t priority = 0;
        int64_t objectiveMs = 0;
        int64_t limitMs = 0;
        double workMs = 0;
        double perSecond = 0;
    };

    struct KindResult {
        size_t asked = 0;
        size_t onTime = 0;
        size_t served = 0;
        size_t refused = 0;
        std::vector<int64_t> refusalWaits;
        double onTimeShare() const { return static_cast<double>(this->onTime) / static_cast<double>(this->asked); }
        double servedShare() const { return static_cast<double>(this->served) / static_cast<double>(this->asked); }
        int64_t medianRefusalWait()
        {
            std::sort(this->refusalWaits.begin(), this->refusalWaits.end());
            return this->refusalWaits.empty() ? 0 : this->refusalWaits[this->refusalWaits.size() / 2];
        }
    };

    struct PlayResult {
        std::vector<KindResult> kinds;
        std::vector<KindResult> organisations;
        size_t served() const
        {
            size_t sum = 0;
            for (const KindResult& kind : this->kinds)
                sum += kind.served;
            return sum;
        }
        size_t onTime() const
        {
            size_t sum = 0;
            for (const KindResult& kind : this->kinds)
                sum += kind.onTime;
            return sum;
        }
    };

    // Plays one server behind one VM, or behind several that know nothing of each other, in steps of 0.1 ms. The server runs statements in
    // the order of arrival in its slots and queues the others; the slowness multiplies their work from the second second on. The first
    // organisation sends the given share of the load.
    template <typename Policy> class Play {
    public:
        Play(std::vector<Kind> load, double slowness, double largestShare, size_t vmCount = 1)
            : kinds(std::move(load))
            , vms(vmCount)
            , slowness(slowness)
            , largestShare(largestShare)
        {
            this->result.kinds.resize(this->kinds.size());
            this->result.organisations.resize(organisationCount);
        }

        PlayResult run()
        {
            for (int64_t step = 0; step < durationSteps; ++step)
                this->advance(TimePoint(std::chrono::microseconds(100) * step));
            return this->result;
        }

    private:
        static constexpr size_t organisationCount = 20;
        static constexpr int64_t durationSteps = 100000;
        // The last second serves what was asked before.
        static constexpr int64_t askingEndsMs = 9000;
        static constexpr int64_t sweepIntervalMs = 10;
        static constexpr Duration travel = std::chrono::microseconds(1400);
        struct Vm {
            Policy policy;
            std::set<uint64_t> running;
        };
        struct Asked {
            size_t vm = 0;
            size_t kind = 0;
            size_t organisation = 0;
            TimePoint askedAt {};
            TimePoint sentAt {};
            Duration work { 0 };
        };
        using Event = std::pair<TimePoint, uint64_t>;
        using Events = std::priority_queue<Event, std::vector<Event>, std::greater<>>;

        void advance(TimePoint now)
        {
            for (size_t kind = 0; kind < this->kinds.size() && now < at(askingEndsMs); ++kind) {
                if (std::bernoulli_distribution(this->kinds[kind].perSecond / 10000)(this->random))
                    this->ask(kind, now);
            }
            while (!this->atServer.empty() && this->atServer.top().first <= now) {
                this->serverQueue.push_back(this->atServer.top().second);
                this->atServer.pop();
            }
            while (!this->inSlots.empty() && this->inSlots.top().first <= now) {
                this->replies.emplace(now + travel, this->inSlots.top().second);
                this->inSlots.pop();
            }
            while (!this->serverQueue.empty() && this->inSlots.size() < slots) {
                this->inSlots.emplace(now + this->asked.at(this->serverQueue.front()).work, this->serverQueue.front());
                this->serverQueue.pop_front();
            }
            while (!this->replies.empty() && this->replies.top().first <= now) {
                this->finish(this->replies.top().second, now);
                this->replies.pop();
            }
            const bool isSweepDue = toMilliseconds(now.time_since_epoch()) >= this->nextSweepMs;
            if (isSweepDue)
                this->nextSweepMs += sweepIntervalMs;
            for (Vm& vm : this->vms) {
                if (isSweepDue) {
                    for (const uint64_t ticket : vm.policy.refuse(vm.running.size(), this->oldestSentAt(vm, now), now))
                        this->refuse(ticket, now);
                }
                while (const std::optional<uint64_t> ticket = vm.policy.start(vm.running.size(), now)) {
                    vm.running.insert(*ticket);
                    this->asked.at(*ticket).sentAt = now;
                    this->atServer.emplace(now + travel, *ticket);
                }
            }
        }

        TimePoint oldestSentAt(const Vm& vm, TimePoint now) const
        {
            TimePoint oldest = now;
            for (const uint64_t ticket : vm.running)
                oldest = std::min(oldest, this->asked.at(ticket).sentAt);
            return oldest;
        }

        void ask(size_t kind, TimePoint now)
        {
            const bool isLargest = std::bernoulli_distribution(this->largestShare)(this->random);
            const size_t organisation = isLargest ? 0 : std::uniform_int_distribution<size_t>(1, organisationCount - 1)(this->random);
            const double factor = now >= at(2000) ? this->slowness : 1;
            const double work = std::lognormal_distribution<double>(-0.245, 0.7)(this->random) * this->kinds[kind].workMs * factor;
            const uint64_t ticket = ++this->lastTicket;
            const size_t vm = std::uniform_int_distribution<size_t>(0, this->vms.size() - 1)(this->random);
            this->asked[ticket] = { vm, kind, organisation, now, {}, Duration(static_cast<Duration::rep>(work * 1000)) };
            this->vms[vm].policy.push(
                { ticket, "organisation" + std::to_string(organisation), this->kinds[kind].priority, now,
                    now + milliseconds(this->kinds[kind].objectiveMs), now + milliseconds(this->kinds[kind].limitMs) },
                now);
            ++this->result.kinds[kind].asked;
            ++this->result.organisations[organisation].asked;
        }

        void finish(uint64_t ticket, TimePoint now)
        {
            const Asked statement = this->asked.at(ticket);
            this->vms[statement.vm].running.erase(ticket);
            this->asked.erase(ticket);
            this->vms[statement.vm].policy.recordReply("organisation" + std::to_string(statement.organisation), statement.sentAt, now);
            const bool isOnTime = now <= statement.askedAt + milliseconds(this->kinds[statement.kind].objectiveMs);
            for (KindResult* counted : { &this->result.kinds[statement.kind], &this->result.organisations[statement.organisation] }) {
                ++counted->served;
                counted->onTime += isOnTime ? 1 : 0;
            }
        }

        void refuse(uint64_t ticket, TimePoint now)
        {
            KindResult& kind = this->result.kinds[this->asked.at(ticket).kind];
            ++kind.refused;
            kind.refusalWaits.push_back(toMilliseconds(now - this->asked.at(ticket).askedAt));
            this->asked.erase(ticket);
        }

        std::vector<Kind> kinds;
        double slowness;
        double largestShare;
        std::vector<Vm> vms;
        std::minstd_rand random { 7 };
        std::map<uint64_t, Asked> asked;
        Events atServer;
        Events inSlots;
        Events replies;
        std::list<uint64_t> serverQueue;
        uint64_t lastTicket = 0;
        int64_t nextSweepMs = 0;
        PlayResult result;
    };

    // Three kinds of statements with the objectives and work of a customer.
    std::vector<Kind> load(double booking, double browse, double report)
    {
        return { { 0, 250, 640, 3, booking }, { 1, 500, 960, 15, browse }, { 2, 1000, 640, 9, report } };
    }

    void print(const char* name, PlayResult& result)
    {
        for (KindResult& kind : result.kinds)
            printf("%s: asked %zu, on time %.3f, served %.3f, median wait of the refused %lld ms\n", name, kind.asked, kind.onTimeShare(),
                kind.servedShare(), static_cast<long long>(kind.medianRefusalWait()));
        double worst = 1;
        for (size_t organisation = 1; organisation < result.organisations.size(); ++organisation)
            worst = std::min(worst, result.organisations[organisation].servedShare());
        printf("%s: served %zu, on time %zu, largest organisation %.3f, worst of the others %.3f\n", name, result.served(), result.onTime(),
            result.organisations[0].servedShare(), worst);
    }

    TEST(StatementQueueTest, SlowServerKeepsUrgentStatementsOnTime)
    {
        PlayResult before = Play<PriorityAndArrival>(load(60, 60, 120), 5, 0.2).run();
        PlayResult after = Play<PlannedOrder>(load(60, 60, 120), 5, 0.2).run();
        print("before", before);
        print("after", after);
        EXPECT_LT(before.kinds[0].onTimeShare(), 0.5);
        EXPECT_GT(after.kinds[0].onTimeShare(), 0.95);
        EXPECT_GE(after.served() * 100, before.served() * 97);
        EXPECT_GE(after.onTime() * 100, before.onTime() * 150);
    }

    TEST(StatementQueueTest, SaturationStarvesNoKindAndLosesNoThroughput)
    {
        PlayResult before = Play<PriorityAndArrival>(load(300, 350, 150), 1, 0.2).run();
        PlayResult after = Play<PlannedOrder>(load(300, 350, 150), 1, 0.2).run();
        print("before", before);
        print("after", after);
        EXPECT_LT(before.kinds[2].servedShare(), 0.02);
        EXPECT_GT(after.kinds[2].servedShare(), 0.08);
        EXPECT_GT(after.kinds[0].onTimeShare(), 0.95);
        EXPECT_GE(after.served() * 100, before.served() * 97);
        EXPECT_GE(after.onTime() * 100, before.onTime() * 120);
        // Statements without hope are refused earlier.
        for (size_t kind = 1; kind < after.kinds.size(); ++kind)
            EXPECT_LT(after.kinds[kind].medianRefusalWait() * 2, before.kinds[kind].medianRefusalWait());
    }

    TEST(StatementQueueTest, LargeOrganisationDoesNotDisplaceOthers)
    {
        PlayResult before = Play<PriorityAndArrival>(load(0, 0, 900), 1, 0.7).run();
        PlayResult after = Play<PlannedOrder>(load(0, 0, 900), 1, 0.7).run();
        print("before", before);
        print("after", after);
        for (size_t organisation = 1; organisation < after.organisations.size(); ++organisation)
            EXPECT_GT(after.organisations[organisation].servedShare(), 0.9);
        EXPECT_GT(after.organisations[0].servedShare(), 0.2);
    }

    // A small site: nine VMs share the slots of a server without a relay.
    TEST(StatementQueueTest, VmsThatShareServerLoseNoThroughput)
    {
        PlayResult before = Play<PriorityAndArrival>(load(250, 150, 150), 1, 0.2, 9).run();
        PlayResult after = Play<PlannedOrder>(load(250, 150, 150), 1, 0.2, 9).run();
        print("before", before);
        print("after", after);
        EXPECT_GE(after.served() * 100, before.served() * 97);
        EXPECT_GE(after.onTime() * 100, before.onTime() * 120);
        EXPECT_GT(after.kinds[0].onTimeShare(), 0.9);
        PlayResult beforeSaturated = Play<PriorityAndArrival>(load(300, 300, 200), 1, 0.2, 9).run();
        PlayResult afterSaturated = Play<PlannedOrder>(load(300, 300, 200), 1, 0.2, 9).run();
        print("before, saturated", beforeSaturated);
        print("after, saturated", afterSaturated);
        EXPECT_GE(afterSaturated.served() * 100, beforeSaturated.served() * 97);
        EXPECT_GE(afterSaturated.onTime(), beforeSaturated.onTime());
    }

    TEST(StatementQueueTest, NothingIsRefusedThatTheServerCanServe)
    {
        PlayResult after = Play<PlannedOrder>(load(150, 80, 200), 1, 0.5).run();
        print("after", after);
        for (const KindResult& kind : after.kinds) {
            EXPECT_EQ(kind.refused, 0U);
            EXPECT_GT(kind.onTimeShare(), 0.99);
        }
    }

    TEST(StatementQueueTest, LateStatementGivesWayToOneThatCanBeOnTime)
    {
        StatementQueue queue;
        const ServerPace pace { milliseconds(10), milliseconds(5), Duration(0) };
        queue.push({ 1, "a", 0, at(0), at(250), at(900) });
        queue.push({ 2, "b", 2, at(0), at(1000), at(900) });
        EXPECT_EQ(queue.startOrder(at(100), pace).front().ticket, 1U);
        EXPECT_EQ(queue.startOrder(at(300), pace).front().ticket, 2U);
        EXPECT_TRUE(queue.startOrder(at(300), pace).back().isPutOff);
        // It starts although statements that can be on time go on arriving.
        uint64_t ticket = 3;
        size_t starts = 0;
        for (bool hasStarted = false; !hasStarted; ++starts) {
            queue.push({ ticket++, "b", 2, at(300), at(1000), at(900) });
            const PlannedStart first = queue.startOrder(at(300), pace).front();
            queue.recordStart(first, at(300));
            hasStarted = first.ticket == 1;
        }
        EXPECT_LE(starts, 10U);
    }

    TEST(StatementQueueTest, ControlStatementsGoFirst)
    {
        StatementQueue queue;
        queue.push({ 1, "a", 0, at(0), at(250), at(640) });
        QueuedStatement control { 2, "b", 0, at(1), TimePoint::max(), at(1000) };
        control.isControl = true;
        queue.push(control);
        EXPECT_EQ(queue.startOrder(at(1), { milliseconds(10), milliseconds(5), Duration(0) }).front().ticket, 2U);
    }

    TEST(StatementQueueTest, SilentServerMakesShortWaitsHopeless)
    {
        ServerThroughput throughput;
        throughput.recordReply(at(990), at(1000));
        StatementQueue queue;
        queue.push({ 1, "a", 0, at(1100), at(1300), at(1300) });
        EXPECT_FALSE(queue.isHopeless(1, at(1100), throughput.pace(5, false, at(1000), at(1100))));
        EXPECT_FALSE(queue.isHopeless(1, at(1100), throughput.pace(5, true, at(1000), at(1100))));
        EXPECT_FALSE(queue.isHopeless(1, at(1250), throughput.pace(5, true, at(1240), at(1250))));
        EXPECT_TRUE(queue.isHopeless(1, at(1250), throughput.pace(5, true, at(1000), at(1250))));
    }

    TEST(StatementQueueTest, RefusedStatementsReturnAtDifferentTimes)
    {
        StatementQueue queue;
        const ServerPace pace { milliseconds(10), milliseconds(5), Duration(0) };
        for (uint64_t ticket = 1; ticket <= 100; ++ticket)
            queue.push({ ticket, "a", 0, at(0), at(250), at(640) });
        TimePoint last = at(500);
        for (int refusal = 0; refusal < 10; ++refusal) {
            const TimePoint next = queue.nextReturnAt(at(0), pace);
            EXPECT_GE(next, last + pace.startInterval);
            last = next;
        }
        EXPECT_LE(last, at(560));
    }

    TEST(ServerThroughputTest, StatementsFollowSlotsAndTravel)
    {
        ServerThroughput throughput;
        EXPECT_EQ(throughput.statementsToKeepBusy(4), 6U);
        // Replies after 2 ms of travel and 8 ms of work on average.
        for (int64_t reply = 0; reply < 400; ++reply)
            throughput.recordReply(at(reply * 5), at(reply * 5 + (reply % 4 == 0 ? 3 : 12)));
        EXPECT_GE(throughput.statementsToKeepBusy(4), 5U);
        EXPECT_LE(throughput.statementsToKeepBusy(4), 8U);
    }

    TEST(ConcurrencyWindowTest, CeilingBoundsWindowAndBusyStillShrinksIt)
    {
        ConcurrencyWindow window;
        window.setCeiling(5);
        for (int replies = 0; replies < 200; ++replies)
            window.recordReply();
        EXPECT_EQ(window.size(), 5U);
        window.recordBusy(at(1000), 0.5);
        window.setCeiling(6);
        EXPECT_EQ(window.size(), 2U);
        for (int replies = 0; replies < 40; ++replies)
            window.recordReply();
        EXPECT_EQ(window.size(), 6U);
    }

    TEST(OpeningPolicyTest, OpensOnlyWhenReuseTakesLonger)
    {
        OpeningPolicy policy;
        EXPECT_TRUE(policy.shouldOpen(0, 0, Duration(0), true));
        EXPECT_FALSE(policy.shouldOpen(1, 0, Duration(0), false));
        EXPECT_TRUE(policy.shouldOpen(1, 1, Duration(0), false));
        // A replacement costs another organisation a connection.
        EXPECT_FALSE(policy.shouldOpen(1, 1, Duration(0), true));
        EXPECT_TRUE(policy.shouldOpen(1, 0, milliseconds(30), true));
        for (int use = 0; use < 100; ++use)
            policy.recordUse(milliseconds(60));
        EXPECT_TRUE(policy.shouldOpen(1, 0, Duration(0), true));
    }

}

}
