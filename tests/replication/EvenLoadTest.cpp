#include "foxtailtrail/replication/LoadEstimate.h"
#include "foxtailtrail/replication/LoadRecord.h"
#include "foxtailtrail/replication/ReadServerSelector.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <queue>
#include <random>
#include <set>

namespace foxtail {

namespace {

    constexpr size_t vmCount = 75;
    constexpr size_t serverCount = 3;
    constexpr uint32_t slots = 6;
    constexpr double readsPerSecond = 140;
    // In an even load, the busiest server has at most a quarter more than the mean.
    constexpr double maxBusiestOverMean = 1.25;
    // The servers' mean times of a read. Together they can run 500 reads a second.
    constexpr std::array<double, serverCount> serviceMs { 30, 36, 45 };

    TimePoint at(double ms) { return TimePoint(Duration(static_cast<Duration::rep>(ms * 1000))); }

    enum class Policy : uint8_t { OwnStatements, ReportedLoad };

    // The behaviour of the first server at a time.
    struct Trouble {
        double slowdown = 1;
        bool failsAtOnce = false;
        double beginMs = 1e9;
        double endMs = 1e9;
        bool holds(size_t server, double nowMs) const { return server == 0 && nowMs >= this->beginMs && nowMs < this->endMs; }
    };

    struct Outcome {
        std::array<size_t, serverCount> served {};
        double worstWaitMs = 0;
        double meanWaitMs = 0;
        size_t failures = 0;
        size_t reads = 0;
        size_t messages = 0;
        // Reads sent to the first server, by second.
        std::vector<size_t> firstServerBySecond;
        std::vector<size_t> sentBySecond;
        void add(const Outcome& day, double weight)
        {
            for (size_t server = 0; server < serverCount; ++server)
                this->served[server] += day.served[server];
            this->worstWaitMs = std::max(this->worstWaitMs, day.worstWaitMs);
            this->meanWaitMs += weight * day.meanWaitMs;
            this->failures += day.failures;
            this->reads += day.reads;
            this->messages += day.messages;
            this->firstServerBySecond.resize(day.firstServerBySecond.size());
            this->sentBySecond.resize(day.sentBySecond.size());
            for (size_t second = 0; second < day.sentBySecond.size(); ++second) {
                this->firstServerBySecond[second] += day.firstServerBySecond[second];
                this->sentBySecond[second] += day.sentBySecond[second];
            }
        }
        double busiestOverMean() const
        {
            // Relative to the capacities of the servers.
            double sum = 0;
            double busiest = 0;
            for (size_t server = 0; server < serverCount; ++server) {
                const double load = static_cast<double>(this->served[server]) * serviceMs[server];
                sum += load;
                busiest = std::max(busiest, load);
            }
            return busiest / (sum / serverCount);
        }
        double firstServerShare(size_t second) const
        {
            return static_cast<double>(this->firstServerBySecond[second]) / static_cast<double>(this->sentBySecond[second]);
        }
    };

    // 75 VMs that send reads to three servers. What a VM knows of a server's load is what came with its last answer from there.
    class Fleet {
    public:
        Fleet(Policy policy, Trouble trouble, unsigned seed)
            : policy(policy)
            , trouble(trouble)
            , random(seed)
        {
        }

        Outcome run(double endMs)
        {
            this->outcome.firstServerBySecond.resize(static_cast<size_t>(endMs / 1000) + 1);
            this->outcome.sentBySecond = this->outcome.firstServerBySecond;
            double arrivalMs = 0;
            std::exponential_distribution<double> gap(readsPerSecond / 1000);
            while (arrivalMs < endMs) {
                if (!this->ends.empty() && this->ends.top().atMs <= arrivalMs) {
                    const End end = this->ends.top();
                    this->ends.pop();
                    this->finish(end);
                    continue;
                }
                this->send(arrivalMs);
                arrivalMs += gap(this->random);
            }
            for (; !this->ends.empty();) {
                const End end = this->ends.top();
                this->ends.pop();
                this->finish(end);
            }
            this->outcome.meanWaitMs /= static_cast<double>(this->outcome.reads);
            return this->outcome;
        }

    private:
        struct Read {
            size_t vm = 0;
            size_t server = 0;
            double sentMs = 0;
        };
        struct End {
            double atMs = 0;
            double startedMs = 0;
            Read read;
            bool operator>(const End& other) const { return this->atMs > other.atMs; }
        };
        struct Server {
            std::deque<Read> queue;
            uint32_t running = 0;
            ServiceTimeAverage serviceTime;
            // What the VM that holds the connections of this server knows of the others.
            std::array<LoadRecord, serverCount> loads;
        };
        struct Vm {
            ReadServerSelector selector;
            std::array<std::multiset<TimePoint>, serverCount> outstanding;
            std::array<LoadRecord, serverCount> loads;
        };

        // Passes on the recent reports of the other servers.
        static void passReports(
            const std::array<LoadRecord, serverCount>& from, std::array<LoadRecord, serverCount>& to, size_t except, TimePoint now)
        {
            for (size_t server = 0; server < serverCount; ++server) {
                const std::optional<ServerLoad> load = from[server].find(now);
                if (server != except && load && now < load->takenAt + std::chrono::seconds(1))
                    to[server].recordPassedReport(*load, now - load->takenAt, now);
            }
        }

        static BackendServerId id(size_t server) { return BackendServerId("s" + std::to_string(server)); }

        void send(double nowMs)
        {
            Read read { this->random() % vmCount, 0, nowMs };
            Vm& vm = this->vms[read.vm];
            std::vector<ReadCandidate> candidates;
            for (size_t server = 0; server < serverCount; ++server) {
                ReadCandidate candidate { id(server), Distance::SameDataCentre, true, static_cast<uint32_t>(vm.outstanding[server].size()),
                    slots };
                candidate.load = vm.loads[server].find(at(nowMs));
                if (!vm.outstanding[server].empty())
                    candidate.oldestUnansweredAt = *vm.outstanding[server].begin();
                candidate.sentSince = vm.loads[server].sentSince();
                candidates.push_back(candidate);
            }
            const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
            const BackendServerId chosen = this->policy == Policy::OwnStatements
                ? vm.selector.choose(candidates, {}, at(nowMs)).value()
                : vm.selector.chooseByLoad(candidates, {}, at(nowMs), draw).value().server;
            read.server = static_cast<size_t>(chosen.value.back() - '0');
            vm.outstanding[read.server].insert(at(nowMs));
            vm.loads[read.server].recordSent(at(nowMs));
            passReports(vm.loads, this->servers[read.server].loads, read.server, at(nowMs));
            ++this->outcome.reads;
            ++this->outcome.messages;
            ++this->outcome.sentBySecond[static_cast<size_t>(nowMs / 1000)];
            this->outcome.firstServerBySecond[static_cast<size_t>(nowMs / 1000)] += read.server == 0 ? 1 : 0;
            Server& server = this->servers[read.server];
            if (server.running < slots)
                this->begin(read, nowMs);
            else
                server.queue.push_back(read);
        }

        void begin(const Read& read, double nowMs)
        {
            ++this->servers[read.server].running;
            const double waitMs = nowMs - read.sentMs;
            this->outcome.worstWaitMs = std::max(this->outcome.worstWaitMs, waitMs);
            this->outcome.meanWaitMs += waitMs;
            const bool isTroubled = this->trouble.holds(read.server, nowMs);
            double durationMs = std::exponential_distribution<double>(1 / serviceMs[read.server])(this->random);
            if (isTroubled)
                durationMs = this->trouble.failsAtOnce ? 0.5 : durationMs * this->trouble.slowdown;
            this->ends.push({ nowMs + durationMs, nowMs, read });
        }

        void finish(const End& end)
        {
            Server& server = this->servers[end.read.server];
            Vm& vm = this->vms[end.read.vm];
            const bool hasFailed = this->trouble.failsAtOnce && this->trouble.holds(end.read.server, end.startedMs);
            server.serviceTime.recordEnd(
                Duration(static_cast<Duration::rep>((end.atMs - end.startedMs) * 1000)), server.running, slots, hasFailed, at(end.atMs));
            --server.running;
            vm.outstanding[end.read.server].erase(vm.outstanding[end.read.server].find(at(end.read.sentMs)));
            ++this->outcome.messages;
            ++this->outcome.served[end.read.server];
            if (hasFailed) {
                ++this->outcome.failures;
                vm.selector.deprioritize(id(end.read.server), at(end.atMs));
            } else {
                vm.selector.recordReply(id(end.read.server), at(end.atMs) - at(end.read.sentMs), at(end.atMs));
            }
            vm.loads[end.read.server].recordReport(
                { server.running, static_cast<uint32_t>(server.queue.size()), slots, server.serviceTime.mean() }, at(end.read.sentMs),
                at(end.atMs));
            passReports(server.loads, vm.loads, end.read.server, at(end.atMs));
            if (!server.queue.empty()) {
                const Read next = server.queue.front();
                server.queue.pop_front();
                this->begin(next, end.atMs);
            }
        }

        Policy policy;
        Trouble trouble;
        std::minstd_rand random;
        std::array<Server, serverCount> servers;
        std::array<Vm, vmCount> vms;
        std::priority_queue<End, std::vector<End>, std::greater<>> ends;
        Outcome outcome;
    };

    void print(const char* load, const char* policy, const Outcome& outcome)
    {
        std::cout << load << ", " << policy << ": busiest over mean " << outcome.busiestOverMean() << ", mean wait " << outcome.meanWaitMs
                  << " ms, worst wait " << outcome.worstWaitMs << " ms, failures " << outcome.failures << ", messages " << outcome.messages
                  << ", share of the first server by second:";
        for (size_t second = 0; second + 1 < outcome.sentBySecond.size(); ++second)
            std::cout << ' ' << outcome.firstServerShare(second);
        std::cout << '\n';
    }

    // Returns the sums of several days that differ in their random numbers, with the worst of their waits.
    Outcome runDays(Policy policy, const Trouble& trouble)
    {
        constexpr unsigned dayCount = 5;
        Outcome sum;
        for (unsigned day = 1; day <= dayCount; ++day)
            sum.add(Fleet(policy, trouble, day).run(20'000), 1.0 / dayCount);
        return sum;
    }

    std::pair<Outcome, Outcome> compare(const char* load, const Trouble& trouble)
    {
        const Outcome old = runDays(Policy::OwnStatements, trouble);
        const Outcome even = runDays(Policy::ReportedLoad, trouble);
        print(load, "own statements", old);
        print(load, "reported load", even);
        return { old, even };
    }

    // Guards against many VMs that choose the same server because the nearest one looks idle to each of them.
    TEST(EvenLoadTest, SpreadsReadsOfManyVmsByTheSpeedOfTheServers)
    {
        const auto [old, even] = compare("three servers of different speed", {});
        EXPECT_GT(old.busiestOverMean(), maxBusiestOverMean);
        EXPECT_LE(even.busiestOverMean(), maxBusiestOverMean);
        EXPECT_LE(even.meanWaitMs, old.meanWaitMs / 2);
        // Each read is one request and one answer, and nothing else is sent.
        EXPECT_EQ(even.messages, 2 * even.reads);
    }

    // Guards against a server that is overrun before each VM has seen for itself that it is slow, and against one that stays idle after
    // that.
    TEST(EvenLoadTest, TakesReadsFromSlowServerAndReturnsThem)
    {
        const auto [old, even] = compare("a server that turns slow", { 8, false, 5000, 12000 });
        EXPECT_LE(even.worstWaitMs, old.worstWaitMs);
        EXPECT_LE(even.meanWaitMs, old.meanWaitMs / 2);
        // The server that turned slow at 5 s runs an eighth of what it ran.
        EXPECT_LE(even.firstServerShare(6), even.firstServerShare(4) / 4);
        EXPECT_GE(even.firstServerShare(18), even.firstServerShare(4) / 2);
        EXPECT_LT(old.firstServerShare(18), old.firstServerShare(4) / 2);
    }

    // Guards against a server that looks idle because it fails at once.
    TEST(EvenLoadTest, ServerThatFailsAtOnceDoesNotAttractReads)
    {
        const auto [old, even] = compare("a server that fails at once", { 1, true, 5000, 12000 });
        EXPECT_LE(even.failures, old.failures / 2);
        EXPECT_LE(even.meanWaitMs, old.meanWaitMs);
        EXPECT_LE(even.firstServerShare(6), even.firstServerShare(4) / 4);
        EXPECT_GE(even.firstServerShare(18), even.firstServerShare(4) / 2);
    }

    ReadCandidate candidate(const char* id, Distance distance, uint32_t running, Duration age, TimePoint now)
    {
        ReadCandidate made { BackendServerId(id), distance, true, 0, 6 };
        made.load = ServerLoad { running, 0, 6, std::chrono::milliseconds(30), now - age };
        return made;
    }

    // Guards against even load that is bought by long distances: a server in another region is used only when it saves more than the
    // distance costs, whatever the age of the reports.
    TEST(LoadEstimateTest, UsesOtherRegionOnlyForAClearGain)
    {
        const TimePoint now = at(10'000);
        const auto farShare = [&](uint32_t running, Duration age) {
            const std::vector<ReadCandidate> candidates { candidate("near", Distance::SameRegion, running, age, now),
                candidate("far", Distance::OtherRegion, 0, age, now) };
            return LoadEstimate::create({ &candidates[0], &candidates[1] }, now).estimates()[1].share;
        };
        EXPECT_EQ(farShare(6, Duration(0)), 0);
        EXPECT_EQ(farShare(6, std::chrono::seconds(1)), 0);
        // 14 statements wait, for 75 ms; the distances differ by 50 ms.
        EXPECT_GT(farShare(20, Duration(0)), 0.5);
        // The same report says little after a second.
        EXPECT_EQ(farShare(20, std::chrono::seconds(2)), 0);
    }

    // Guards against a choice that trusts an old report like a new one.
    TEST(LoadEstimateTest, DividesByCapacityWhenReportsAreOld)
    {
        const TimePoint now = at(10'000);
        const auto shareOfIdle = [&](Duration age) {
            const std::vector<ReadCandidate> candidates { candidate("busy", Distance::SameDataCentre, 8, age, now),
                candidate("idle", Distance::SameDataCentre, 0, age, now) };
            return LoadEstimate::create({ &candidates[0], &candidates[1] }, now).estimates()[1].share;
        };
        EXPECT_DOUBLE_EQ(shareOfIdle(Duration(0)), 1);
        EXPECT_NEAR(shareOfIdle(std::chrono::seconds(4)), 0.5, 0.02);
    }

    // Guards against a VM that waits for a report while its own statements show that a server hangs.
    TEST(LoadEstimateTest, UnansweredStatementCountsAsWait)
    {
        const TimePoint now = at(10'000);
        std::vector<ReadCandidate> candidates { candidate("silent", Distance::SameDataCentre, 0, std::chrono::milliseconds(300), now),
            candidate("other", Distance::SameDataCentre, 3, std::chrono::milliseconds(300), now) };
        candidates[0].oldestUnansweredAt = now - std::chrono::milliseconds(300);
        EXPECT_EQ(LoadEstimate::create({ &candidates[0], &candidates[1] }, now).estimates()[0].share, 0);
    }

    // Guards against a report that arrives late over a third VM and replaces a newer one, and against reports that outlive their relay.
    TEST(LoadRecordTest, KeepsNewestReportUntilItExpires)
    {
        LoadRecord record;
        EXPECT_FALSE(record.find(at(0)));
        record.recordSent(at(900));
        record.recordReport({ 3, 1, 6, std::chrono::milliseconds(30) }, at(900), at(1000));
        record.recordSent(at(1000));
        // The report may have been taken up to 20 ms before it arrived.
        EXPECT_EQ(record.find(at(1000))->takenAt, at(980));
        EXPECT_EQ(record.sentSince(), 1U);
        record.recordPassedReport({ 6, 9, 6, std::chrono::milliseconds(90) }, std::chrono::milliseconds(200), at(1100));
        EXPECT_EQ(record.find(at(1100))->running, 3U);
        record.recordPassedReport({ 6, 9, 6, std::chrono::milliseconds(90) }, std::chrono::milliseconds(10), at(1100));
        EXPECT_EQ(record.find(at(1100))->running, 6U);
        EXPECT_EQ(record.sentSince(), 0U);
        EXPECT_FALSE(record.find(at(6100)));
    }

    // Guards against a change of behaviour where loads are not reported.
    TEST(LoadEstimateTest, ChoosesAsBeforeWithoutReports)
    {
        ReadServerSelector selector;
        const std::vector<ReadCandidate> candidates { { BackendServerId("far"), Distance::OtherRegion, true, 0, 3 },
            { BackendServerId("near"), Distance::SameDataCentre, true, 0, 3 } };
        for (const double draw : { 0.0, 0.5, 0.99 }) {
            const auto choice = selector.chooseByLoad(candidates, {}, at(0), draw);
            ASSERT_TRUE(choice);
            EXPECT_EQ(choice->server, *selector.choose(candidates, {}, at(0)));
            EXPECT_EQ(choice->reason, ReadChoiceReason::Unreported);
        }
    }

}

}
