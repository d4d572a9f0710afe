#include "FakeVm.h"

#include <gtest/gtest.h>
#include <optional>

namespace foxtail {

namespace {

    enum class Fault : uint8_t {
        Kill,
        // The server loses every link.
        Partition,
        // Nothing that the server sends arrives.
        OneWayPartition,
        // The server reaches the VMs but no other server.
        CutOff,
        // The server and the first VM are on one side, all others on the other.
        Split,
        PausePromoter,
        LoseReply,
        DelayRequest,
        SecondPromoter,
        ReplicaLag,
    };
    constexpr std::array<const char*, 10> faultNames { "Kill", "Partition", "OneWay", "CutOff", "Split", "Pause", "LoseReply",
        "DelayRequest", "SecondPromoter", "Lag" };
    constexpr std::array<const char*, stepCount> stepNames { "PromotionStarted", "FenceSent", "FenceDone", "FenceReplied", "PromoteSent",
        "PromoteDone", "PromoteReplied", "FollowSent", "FollowDone", "PromotionEnded", "WriteSent", "WriteCommitted", "StatusRead",
        "Acknowledged" };

    struct Injection {
        Fault fault;
        Step step;
    };

    constexpr TimePoint firstFaultAt { std::chrono::seconds(1) };
    constexpr Duration faultLength = std::chrono::milliseconds(2500);
    constexpr TimePoint end { std::chrono::seconds(24) };

    // One run: two clients write and read, the primary is killed or not at 1 s, then each injection happens at the first
    // occurrence of its step.
    class Scenario {
    public:
        explicit Scenario(std::vector<Injection> injections,
            const std::shared_ptr<const AcknowledgementStrategy>& strategy = std::make_shared<MajorityAcknowledgement>())
            : injections(std::move(injections))
        {
            const auto onStep = [this](Step step, size_t server) { this->reached(step, server); };
            for (size_t node = firstVm; node < nodeCount; ++node)
                this->vms.push_back(std::make_unique<FakeVm>(this->group, node, strategy, onStep));
            for (auto& vm : this->vms) {
                for (size_t node = firstVm; node < nodeCount; ++node)
                    vm->peers[node] = this->vms[node - firstVm].get();
            }
            this->simulation().scheduleAt(TimePoint(milliseconds(300)), [this] {
                this->writeNext(0);
                this->writeNext(1);
            });
        }

        // Kills the first primary at 1 s and starts it again at 9 s.
        void killPrimary()
        {
            this->simulation().scheduleAt(firstFaultAt, [this] { this->inject(Fault::Kill, 0, std::chrono::seconds(8)); });
        }

        // Drains the first primary at 1 s in the configuration of every VM.
        void drainPrimary()
        {
            this->simulation().scheduleAt(firstFaultAt, [this] {
                for (auto& vm : this->vms)
                    EXPECT_TRUE(vm->monitor.changeScope(vm->scope(0)).has_value());
            });
        }

        void run()
        {
            this->simulation().scheduleAt(end - std::chrono::seconds(2), [this] { this->clientsStop = true; });
            this->simulation().runUntil(end);
            this->checkLogs();
        }

        Simulation& simulation() { return this->group.simulation; }

        // The longest time between two acknowledgements after the first fault.
        Duration longestGap() const
        {
            std::set<TimePoint> times { firstFaultAt, end - std::chrono::seconds(2) };
            for (const auto& [write, time] : this->group.history.acknowledged)
                times.insert(time);
            Duration longest { 0 };
            for (auto next = std::next(times.begin()); next != times.end(); ++next) {
                if (*next > firstFaultAt)
                    longest = std::max(longest, *next - *std::prev(next));
            }
            return longest;
        }

        // How many violations contain the text.
        ptrdiff_t violationsOf(std::string_view text) const
        {
            const auto& all = this->group.history.violations;
            return std::count_if(
                all.begin(), all.end(), [&](const std::string& violation) { return violation.find(text) != std::string::npos; });
        }

        void inject(Fault fault, size_t server, Duration length)
        {
            const auto heal = [&](std::function<void()> action) { this->simulation().scheduleAfter(length, std::move(action)); };
            switch (fault) {
            case Fault::Kill:
                this->group.servers[server].isUp = false;
                heal([this, server] { this->group.servers[server].isUp = true; });
                break;
            case Fault::Partition:
            case Fault::OneWayPartition:
            case Fault::CutOff:
            case Fault::Split:
                this->cut(fault, server, true);
                heal([this, fault, server] { this->cut(fault, server, false); });
                break;
            case Fault::PausePromoter:
                this->group.pausedUntil[firstVm] = this->simulation().now() + length;
                break;
            case Fault::LoseReply:
                this->group.loseNextReply.fill(true);
                break;
            case Fault::DelayRequest:
                this->group.nextRequestDelay.fill(std::chrono::milliseconds(900));
                break;
            case Fault::SecondPromoter:
                this->simulation().scheduleAfter(Duration(0), [this] {
                    this->vms[1]->promote(
                        { PromotionCause::PrimarySilent, this->vms[1]->monitor.view(this->simulation().now()).term, {}, {} });
                });
                break;
            case Fault::ReplicaLag:
                for (FakeServer& replica : this->group.servers)
                    replica.lag = replica.index == server ? Duration(0) : Duration(std::chrono::milliseconds(700));
                heal([this] {
                    for (FakeServer& replica : this->group.servers)
                        replica.lag = Duration(0);
                });
                break;
            }
        }

        FakeGroup group { 42 };
        std::vector<std::unique_ptr<FakeVm>> vms;

        // Whether every injection took place.
        bool isComplete() const { return this->done.size() == this->injections.size(); }

    private:
        void cut(Fault fault, size_t server, bool blocked)
        {
            std::set<size_t> side { server };
            if (fault == Fault::Split)
                side.insert(firstVm);
            std::set<size_t> others;
            for (size_t node = 0; node < (fault == Fault::CutOff ? groupSize : nodeCount); ++node) {
                if (!side.contains(node))
                    others.insert(node);
            }
            this->group.block(side, others, blocked);
            if (fault != Fault::OneWayPartition)
                this->group.block(others, side, blocked);
        }

        void reached(Step step, size_t server)
        {
            if (this->simulation().now() < firstFaultAt)
                return;
            for (size_t index = 0; index < this->injections.size(); ++index) {
                if (this->injections[index].step == step && this->done.insert(index).second) {
                    this->inject(this->injections[index].fault, server, faultLength);
                    return;
                }
            }
        }

        // A session: a write, then a read with its token at the other VM and one without a token.
        void writeNext(size_t client)
        {
            if (this->clientsStop)
                return;
            const uint64_t id = ++this->lastWrite;
            this->vms[client]->write(id, [this, client, id](LogPoint point) {
                this->group.history.acknowledged[id] = this->simulation().now();
                this->expect(!this->group.history.committedWhenReplaced[id], "acknowledged by a replaced primary", id);
                this->vms[client]->onStep(Step::Acknowledged, 0);
                this->readBack(1 - client, id, point);
                this->readBack(1 - client, id, std::nullopt);
                this->simulation().scheduleAfter(milliseconds(30), [this, client] { this->writeNext(client); });
            });
        }

        void readBack(size_t client, uint64_t id, std::optional<LogPoint> token)
        {
            this->group.onVm(firstVm + client, [this, client, id, token] {
                const TimePoint now = this->simulation().now();
                this->vms[client]->read(
                    { token, std::nullopt, now, now + std::chrono::seconds(60), Region("r") }, id, [this, id, token](bool found) {
                        this->expect(found, token ? "not read with its token" : "not read without a token", id);
                        ++this->reads;
                    });
            });
        }

        void expect(bool condition, const std::string& violation, uint64_t write)
        {
            if (!condition)
                this->group.history.violations.push_back("write " + std::to_string(write) + " " + violation);
        }

        void checkLogs()
        {
            for (const auto& [term, primaries] : this->group.history.primaries)
                this->expect(primaries.size() == 1, "several primaries in a term", term.value);
            for (const FakeServer& server : this->group.servers) {
                std::multiset<uint64_t> rows;
                for (const LogEntry& entry : server.log)
                    rows.insert(entry.write);
                for (uint64_t write = 1; write <= this->lastWrite; ++write) {
                    const bool acknowledged = this->group.history.acknowledged.contains(write);
                    this->expect(
                        !acknowledged || rows.count(write) > 0, "acknowledged but lost at server " + std::to_string(server.index), write);
                    this->expect(rows.count(write) < 2, "duplicated at server " + std::to_string(server.index), write);
                }
            }
        }

        std::vector<Injection> injections;
        std::set<size_t> done;
        uint64_t lastWrite = 0;
        bool clientsStop = false;

    public:
        uint64_t reads = 0;
    };

    // The checks that hold in every scenario.
    void expectCorrect(Scenario& scenario, Duration gapLimit)
    {
        scenario.run();
        EXPECT_EQ(scenario.group.history.violations, std::vector<std::string>());
        EXPECT_LT(toMilliseconds(scenario.longestGap()), toMilliseconds(gapLimit));
        EXPECT_GT(scenario.reads, 100U);
    }

    constexpr Duration silentGap = std::chrono::seconds(3);
    constexpr Duration anyGap = std::chrono::seconds(16);

}

// Guards against losing acknowledged writes: the primary dies while its replicas lag behind.
TEST(FaultMatrixTest, LaggingReplicasLoseNoAcknowledgedWrite)
{
    Scenario scenario({});
    scenario.simulation().scheduleAt(TimePoint(milliseconds(800)), [&] { scenario.inject(Fault::ReplicaLag, 0, faultLength); });
    scenario.killPrimary();
    expectCorrect(scenario, silentGap);
}

// Guards against checks that can't fail: the baseline must lose a write in the same scenario.
TEST(FaultMatrixTest, BaselineLosesAcknowledgedWrite)
{
    Scenario scenario({}, std::make_shared<PrimaryOnlyAcknowledgement>());
    scenario.simulation().scheduleAt(TimePoint(milliseconds(800)), [&] { scenario.inject(Fault::ReplicaLag, 0, faultLength); });
    scenario.killPrimary();
    scenario.run();
    EXPECT_NE(scenario.violationsOf("acknowledged but lost"), 0);
}

// Guards against a group without service when replicas still hear a primary that no VM can reach.
TEST(FaultMatrixTest, PeersConfirmPrimaryThatReplicasHear)
{
    Scenario scenario({});
    scenario.simulation().scheduleAt(firstFaultAt, [&] {
        scenario.group.block({ 0 }, { 3, 4, 5 }, true);
        scenario.group.block({ 3, 4, 5 }, { 0 }, true);
    });
    scenario.simulation().scheduleAt(TimePoint(std::chrono::seconds(9)), [&] {
        scenario.group.block({ 0 }, { 3, 4, 5 }, false);
        scenario.group.block({ 3, 4, 5 }, { 0 }, false);
    });
    expectCorrect(scenario, anyGap);
    EXPECT_TRUE(scenario.vms[0]->causes.contains(PromotionCause::PeersConfirm));
    EXPECT_FALSE(scenario.vms[0]->causes.contains(PromotionCause::PrimarySilent));
}

// Guards against writes that wait in vain while the primary answers VMs but reaches no replica.
TEST(FaultMatrixTest, CutOffPrimaryIsReplaced)
{
    Scenario scenario({});
    scenario.simulation().scheduleAt(firstFaultAt, [&] { scenario.inject(Fault::CutOff, 0, std::chrono::seconds(8)); });
    expectCorrect(scenario, silentGap);
}

// Guards against one VM's broken link replacing a healthy primary.
TEST(FaultMatrixTest, OneBrokenLinkPromotesNobody)
{
    Scenario scenario({});
    scenario.simulation().scheduleAt(firstFaultAt, [&] { scenario.group.block({ 0 }, { 3 }, true); });
    scenario.run();
    EXPECT_EQ(scenario.group.history.primaries.size(), 1U);
}

// Guards against an ordered promotion that cuts off service, or makes the draining server primary again because no
// replica holds the newest writes.
TEST(FaultMatrixTest, DrainingPrimaryIsReplacedByLaggingReplica)
{
    Scenario scenario({});
    scenario.drainPrimary();
    scenario.simulation().scheduleAt(firstFaultAt - milliseconds(50), [&] { scenario.group.block({ 0 }, { 1, 2 }, true); });
    scenario.simulation().scheduleAt(firstFaultAt + milliseconds(800), [&] { scenario.group.block({ 0 }, { 1, 2 }, false); });
    expectCorrect(scenario, milliseconds(500));
    EXPECT_EQ(scenario.group.history.primaries.size(), 2U);
    EXPECT_FALSE(scenario.group.history.primaries[Term { 2 }].contains(0));
}

// Guards against a new primary being replaced at once because its replicas still report the silence of the former one.
TEST(FaultMatrixTest, SilenceOfFormerPrimaryDoesNotCountAgainstNewOne)
{
    Scenario scenario({});
    scenario.killPrimary();
    scenario.simulation().scheduleAt(firstFaultAt, [&] { scenario.inject(Fault::Partition, 1, std::chrono::seconds(4)); });
    expectCorrect(scenario, std::chrono::seconds(4) + silentGap);
    EXPECT_EQ(scenario.group.history.primaries.size(), 2U);
}

// A fault and a step.
class SingleFaultTest : public testing::TestWithParam<std::tuple<size_t, size_t>> {
protected:
    void expectWithFault(Scenario& scenario, Duration gapLimit)
    {
        expectCorrect(scenario, gapLimit);
        EXPECT_TRUE(scenario.isComplete());
    }

    Scenario scenario { { { static_cast<Fault>(std::get<0>(GetParam())), static_cast<Step>(std::get<1>(GetParam())) } } };
};
class DeadPrimaryTest : public SingleFaultTest { };
class LivePrimaryTest : public SingleFaultTest { };
class LeavingPrimaryTest : public SingleFaultTest { };

// Guards against a fault during the promotion that replaces a dead primary. While the fault takes a second server away
// there is no majority.
TEST_P(DeadPrimaryTest, SurvivesFault)
{
    this->scenario.killPrimary();
    this->expectWithFault(
        this->scenario, std::get<0>(GetParam()) <= static_cast<size_t>(Fault::Split) ? faultLength + silentGap : silentGap);
}

// Guards against a fault during an acknowledgement by a healthy primary.
TEST_P(LivePrimaryTest, SurvivesFault) { this->expectWithFault(this->scenario, silentGap); }

// Guards against a fault during the ordered promotion away from a draining primary.
TEST_P(LeavingPrimaryTest, SurvivesFault)
{
    this->scenario.drainPrimary();
    this->expectWithFault(this->scenario, faultLength + silentGap);
    EXPECT_NE(this->scenario.vms[0]->monitor.view(end).primary, FakeGroup::id(0));
}

std::string matrixName(size_t fault, size_t step) { return std::string(faultNames[fault]) + "At" + stepNames[step]; }
std::string matrixParameterName(const testing::TestParamInfo<std::tuple<size_t, size_t>>& parameters)
{
    return matrixName(std::get<0>(parameters.param), std::get<1>(parameters.param));
}

const auto everyFault = testing::Range<size_t>(0, faultNames.size());
const auto everyStep = testing::Range<size_t>(0, stepCount);
const auto acknowledgementSteps = testing::Range(static_cast<size_t>(Step::WriteSent), stepCount);
INSTANTIATE_TEST_SUITE_P(Matrix, DeadPrimaryTest, testing::Combine(everyFault, everyStep), matrixParameterName);
INSTANTIATE_TEST_SUITE_P(Matrix, LivePrimaryTest, testing::Combine(everyFault, acknowledgementSteps), matrixParameterName);
INSTANTIATE_TEST_SUITE_P(Matrix, LeavingPrimaryTest, testing::Combine(everyFault, everyStep), matrixParameterName);

// Pairs of faults, the second at the same step as the first or at the next one.
class FaultPairTest : public testing::TestWithParam<std::tuple<size_t, size_t>> { };

// Guards against two faults that together break what each alone does not.
TEST_P(FaultPairTest, HoldsAtEveryStep)
{
    const auto [first, second] = this->GetParam();
    for (size_t step = 0; step < stepCount; ++step) {
        for (size_t offset = 0; offset < 2; ++offset) {
            const size_t next = (step + offset) % stepCount;
            SCOPED_TRACE(matrixName(first, step) + " and " + matrixName(second, next));
            Scenario scenario(
                { { static_cast<Fault>(first), static_cast<Step>(step) }, { static_cast<Fault>(second), static_cast<Step>(next) } });
            scenario.killPrimary();
            expectCorrect(scenario, anyGap);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Matrix, FaultPairTest, testing::Combine(everyFault, everyFault), [](const auto& parameters) {
    return std::string(faultNames[std::get<0>(parameters.param)]) + "And" + faultNames[std::get<1>(parameters.param)];
});

}
