#include "FakeVm.h"

#include <gtest/gtest.h>
#include <optional>

namespace foxtail {

namespace {

    enum class Fault : uint8_t {
        Kill,
        // The server loses every link.
        Partition,
        // No message that the server sends arrives.
        OneWayPartition,
        // The server reaches the VMs but no other server.
        CutOff,
        // The server and the first VM are on one side of the partition, all others on the other.
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
    constexpr Duration faultDuration = std::chrono::milliseconds(2500);
    constexpr TimePoint simulationEnd { std::chrono::seconds(24) };

    // A run in which two clients write and read. The primary is killed at 1 s when the test requests it. Each fault is
    // injected at the first occurrence of its step.
    class Scenario {
    public:
        explicit Scenario(std::vector<Injection> injections,
            const std::shared_ptr<const AcknowledgementStrategy>& strategy = std::make_shared<MajorityAcknowledgement>())
            : injections(std::move(injections))
        {
            const auto onStep = [this](Step step, size_t server) { this->onStepReached(step, server); };
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
            this->simulation().scheduleAt(simulationEnd - std::chrono::seconds(2), [this] { this->areClientsStopped = true; });
            this->simulation().runUntil(simulationEnd);
            this->checkLogs();
        }

        Simulation& simulation() { return this->group.simulation; }

        // Returns the longest time between two acknowledgements after the first fault.
        Duration longestGap() const
        {
            std::set<TimePoint> times { firstFaultAt, simulationEnd - std::chrono::seconds(2) };
            for (const auto& [write, time] : this->group.history.acknowledged)
                times.insert(time);
            Duration longest { 0 };
            for (auto next = std::next(times.begin()); next != times.end(); ++next) {
                if (*next > firstFaultAt)
                    longest = std::max(longest, *next - *std::prev(next));
            }
            return longest;
        }

        // Returns the number of violations that contain the text.
        ptrdiff_t countViolations(std::string_view text) const
        {
            const auto& all = this->group.history.violations;
            return std::count_if(
                all.begin(), all.end(), [&](const std::string& violation) { return violation.find(text) != std::string::npos; });
        }

        void inject(Fault fault, size_t server, Duration duration)
        {
            const auto scheduleRepair
                = [&](std::function<void()> action) { this->simulation().scheduleAfter(duration, std::move(action)); };
            switch (fault) {
            case Fault::Kill:
                this->group.servers[server].isUp = false;
                scheduleRepair([this, server] { this->group.servers[server].isUp = true; });
                break;
            case Fault::Partition:
            case Fault::OneWayPartition:
            case Fault::CutOff:
            case Fault::Split:
                this->setPartition(fault, server, true);
                scheduleRepair([this, fault, server] { this->setPartition(fault, server, false); });
                break;
            case Fault::PausePromoter:
                this->group.pausedUntil[firstVm] = this->simulation().now() + duration;
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
                scheduleRepair([this] {
                    for (FakeServer& replica : this->group.servers)
                        replica.lag = Duration(0);
                });
                break;
            }
        }

        FakeGroup group { 42 };
        std::vector<std::unique_ptr<FakeVm>> vms;

        // Returns whether every fault was injected.
        bool isComplete() const { return this->injected.size() == this->injections.size(); }

    private:
        void setPartition(Fault fault, size_t server, bool isBlocked)
        {
            std::set<size_t> side { server };
            if (fault == Fault::Split)
                side.insert(firstVm);
            std::set<size_t> others;
            for (size_t node = 0; node < (fault == Fault::CutOff ? groupSize : nodeCount); ++node) {
                if (!side.contains(node))
                    others.insert(node);
            }
            this->group.block(side, others, isBlocked);
            if (fault != Fault::OneWayPartition)
                this->group.block(others, side, isBlocked);
        }

        void onStepReached(Step step, size_t server)
        {
            if (this->simulation().now() < firstFaultAt)
                return;
            for (size_t index = 0; index < this->injections.size(); ++index) {
                if (this->injections[index].step == step && this->injected.insert(index).second) {
                    this->inject(this->injections[index].fault, server, faultDuration);
                    return;
                }
            }
        }

        // Runs a session: a write, then a read with its token and one without a token, both at the other VM.
        void writeNext(size_t client)
        {
            if (this->areClientsStopped)
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
                    { token, std::nullopt, now, now + std::chrono::seconds(60), Region("r") }, id, [this, id, token](bool isFound) {
                        this->expect(isFound, token ? "not read with its token" : "not read without a token", id);
                        ++this->readCount;
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
                    const bool isAcknowledged = this->group.history.acknowledged.contains(write);
                    this->expect(
                        !isAcknowledged || rows.count(write) > 0, "acknowledged but lost at server " + std::to_string(server.index), write);
                    this->expect(rows.count(write) < 2, "duplicated at server " + std::to_string(server.index), write);
                }
            }
        }

        std::vector<Injection> injections;
        std::set<size_t> injected;
        uint64_t lastWrite = 0;
        bool areClientsStopped = false;

    public:
        uint64_t readCount = 0;
    };

    // Runs a scenario and checks what must hold in all of them.
    void expectCorrect(Scenario& scenario, Duration gapLimit)
    {
        scenario.run();
        EXPECT_EQ(scenario.group.history.violations, std::vector<std::string>());
        EXPECT_LT(toMilliseconds(scenario.longestGap()), toMilliseconds(gapLimit));
        EXPECT_GT(scenario.readCount, 100U);
    }

    constexpr Duration promotionGapLimit = std::chrono::seconds(3);
    constexpr Duration repeatedFaultGapLimit = std::chrono::seconds(16);

}

// Guards against the loss of acknowledged writes when the primary dies while its replicas lag.
TEST(FaultMatrixTest, KeepsAcknowledgedWritesWhenReplicasLag)
{
    Scenario scenario({});
    scenario.simulation().scheduleAt(TimePoint(milliseconds(800)), [&] { scenario.inject(Fault::ReplicaLag, 0, faultDuration); });
    scenario.killPrimary();
    expectCorrect(scenario, promotionGapLimit);
}

// Guards against checks that cannot fail: the baseline must lose a write in the same scenario.
TEST(FaultMatrixTest, BaselineLosesAcknowledgedWrite)
{
    Scenario scenario({}, std::make_shared<PrimaryOnlyAcknowledgement>());
    scenario.simulation().scheduleAt(TimePoint(milliseconds(800)), [&] { scenario.inject(Fault::ReplicaLag, 0, faultDuration); });
    scenario.killPrimary();
    scenario.run();
    EXPECT_NE(scenario.countViolations("acknowledged but lost"), 0);
}

// Guards against a group without service when replicas still have contact with a primary that no VM can reach.
TEST(FaultMatrixTest, ReplacesUnreachablePrimaryWhenPeersConfirm)
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
    expectCorrect(scenario, repeatedFaultGapLimit);
    EXPECT_TRUE(scenario.vms[0]->causes.contains(PromotionCause::PeersConfirm));
    EXPECT_FALSE(scenario.vms[0]->causes.contains(PromotionCause::PrimarySilent));
}

// Guards against writes that never become durable because the primary answers VMs but reaches no replica.
TEST(FaultMatrixTest, ReplacesPrimaryThatReachesNoReplica)
{
    Scenario scenario({});
    scenario.simulation().scheduleAt(firstFaultAt, [&] { scenario.inject(Fault::CutOff, 0, std::chrono::seconds(8)); });
    expectCorrect(scenario, promotionGapLimit);
}

// Guards against the replacement of a healthy primary because one VM's link to it is broken.
TEST(FaultMatrixTest, KeepsPrimaryWhenOneLinkIsBroken)
{
    Scenario scenario({});
    scenario.simulation().scheduleAt(firstFaultAt, [&] { scenario.group.block({ 0 }, { 3 }, true); });
    scenario.run();
    EXPECT_EQ(scenario.group.history.primaries.size(), 1U);
}

// Guards against a planned promotion that interrupts service, or that makes the draining server primary again because no
// replica holds the newest writes.
TEST(FaultMatrixTest, ReplacesDrainingPrimaryByLaggingReplica)
{
    Scenario scenario({});
    scenario.drainPrimary();
    scenario.simulation().scheduleAt(firstFaultAt - milliseconds(50), [&] { scenario.group.block({ 0 }, { 1, 2 }, true); });
    scenario.simulation().scheduleAt(firstFaultAt + milliseconds(800), [&] { scenario.group.block({ 0 }, { 1, 2 }, false); });
    expectCorrect(scenario, milliseconds(500));
    EXPECT_EQ(scenario.group.history.primaries.size(), 2U);
    EXPECT_FALSE(scenario.group.history.primaries[Term { 2 }].contains(0));
}

// Guards against the immediate replacement of a new primary because its replicas still report the silence of the former
// one.
TEST(FaultMatrixTest, IgnoresSilenceOfFormerPrimary)
{
    Scenario scenario({});
    scenario.killPrimary();
    scenario.simulation().scheduleAt(firstFaultAt, [&] { scenario.inject(Fault::Partition, 1, std::chrono::seconds(4)); });
    expectCorrect(scenario, std::chrono::seconds(4) + promotionGapLimit);
    EXPECT_EQ(scenario.group.history.primaries.size(), 2U);
}

// The base of tests that inject one fault at one step.
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

// Guards against a fault during the promotion that replaces a dead primary. There is no majority while the fault makes a
// second server unreachable.
TEST_P(DeadPrimaryTest, SurvivesFault)
{
    this->scenario.killPrimary();
    this->expectWithFault(this->scenario,
        std::get<0>(GetParam()) <= static_cast<size_t>(Fault::Split) ? faultDuration + promotionGapLimit : promotionGapLimit);
}

// Guards against a fault during an acknowledgement by a healthy primary.
TEST_P(LivePrimaryTest, SurvivesFault) { this->expectWithFault(this->scenario, promotionGapLimit); }

// Guards against a fault during the planned promotion away from a draining primary.
TEST_P(LeavingPrimaryTest, SurvivesFault)
{
    this->scenario.drainPrimary();
    this->expectWithFault(this->scenario, faultDuration + promotionGapLimit);
    EXPECT_NE(this->scenario.vms[0]->monitor.view(simulationEnd).primary, FakeGroup::id(0));
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

// Pairs of faults: the second occurs at the same step as the first or at the next one.
class FaultPairTest : public testing::TestWithParam<std::tuple<size_t, size_t>> { };

// Guards against two faults that together break what neither breaks alone.
TEST_P(FaultPairTest, SurvivesBothFaultsAtEveryStep)
{
    const auto [first, second] = this->GetParam();
    for (size_t step = 0; step < stepCount; ++step) {
        for (size_t offset = 0; offset < 2; ++offset) {
            const size_t next = (step + offset) % stepCount;
            SCOPED_TRACE(matrixName(first, step) + " and " + matrixName(second, next));
            Scenario scenario(
                { { static_cast<Fault>(first), static_cast<Step>(step) }, { static_cast<Fault>(second), static_cast<Step>(next) } });
            scenario.killPrimary();
            expectCorrect(scenario, repeatedFaultGapLimit);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Matrix, FaultPairTest, testing::Combine(everyFault, everyFault), [](const auto& parameters) {
    return std::string(faultNames[std::get<0>(parameters.param)]) + "And" + faultNames[std::get<1>(parameters.param)];
});

}
