#include "tests/config/FakeFleet.h"

#include <random>

namespace foxtail {

// A fault begins at a moment and ends when it is called with false.
struct FleetFault {
    const char* name;
    std::function<void(FakeFleet&, bool)> set;
};

void cut(FakeFleet& fleet, size_t vm, bool on)
{
    fleet.vms[vm].isolatedFromStore = on;
    fleet.vms[vm].partitionId = on ? static_cast<int>(vm) : 0;
}

const FleetFault fleetFaults[] {
    { "none", [](FakeFleet&, bool) {} },
    { "storeDown", [](FakeFleet& fleet, bool on) { fleet.store.down = on; } },
    { "storeSlow", [](FakeFleet& fleet, bool on) { fleet.store.delay = on ? 400ms : 5ms; } },
    { "repliesLost", [](FakeFleet& fleet, bool on) { fleet.store.losesReplies = on; } },
    { "cutFromStore", [](FakeFleet& fleet, bool on) { fleet.vms[3].isolatedFromStore = on; } },
    { "cutFromVms", [](FakeFleet& fleet, bool on) { fleet.vms[3].partitionId = on ? 1 : 0; } },
    { "cutFromAll", [](FakeFleet& fleet, bool on) { cut(fleet, 3, on); } },
    { "witnessCut", [](FakeFleet& fleet, bool on) { cut(fleet, 2, on); } },
    { "operatorCut", [](FakeFleet& fleet, bool on) { cut(fleet, 1, on); } },
    { "documentsLost", [](FakeFleet& fleet, bool on) { fleet.vms[3].losesDocuments = on; } },
    { "emptyStart",
        [](FakeFleet& fleet, bool on) {
            if (on)
                fleet.restartEmpty(4);
        } },
    { "witnessRestart",
        [](FakeFleet& fleet, bool on) {
            if (on)
                fleet.restartEmpty(0);
        } },
    { "otherOperator",
        [](FakeFleet& fleet, bool on) {
            if (on)
                fleet.propose(2, "other", DrainServer { BackendServerId("b1"), true });
        } },
    { "witnessReplaced",
        [](FakeFleet& fleet, bool on) {
            if (on)
                fleet.propose(2, "replace", ReplaceWitness { VmId("vm1"), VmAddress { VmId("vm4"), "127.0.0.1", 9000 } });
        } },
};
constexpr size_t fleetFaultCount = std::size(fleetFaults);

bool isStored(const FakeFleet& fleet, const std::string& changeId) { return fleet.store.storedChangeIds.contains(changeId); }

// Checks that what each operator was told is true, and that the fleet has come back to one version, in force everywhere.
void checkEnd(FakeFleet& fleet)
{
    for (const auto& entry : fleet.operators) {
        ASSERT_TRUE(entry.proposal->outcome().has_value());
        const ProposalOutcome& outcome = *entry.proposal->outcome();
        const bool stored = isStored(fleet, entry.proposal->changeId());
        if (outcome.decision == ProposalDecision::Refused) {
            EXPECT_FALSE(stored) << "refused with \"" << outcome.error.detail << "\" but stored";
        } else if (outcome.decision != ProposalDecision::Unknown) {
            EXPECT_TRUE(stored) << "told as stored but lost";
        }
    }
    for (const auto& vm : fleet.vms) {
        EXPECT_TRUE(vm.isServing(fleet.now)) << vm.id;
        EXPECT_EQ(vm.follower.version(), fleet.store.row.version()) << vm.id;
        const bool keyWorks = KeyTable(*vm.follower.document()).authenticate(sampleKey().text).has_value();
        EXPECT_EQ(keyWorks, !isStored(fleet, "withdraw-0")) << vm.id;
    }
}

class ConfigurationFaultMatrixTest : public testing::TestWithParam<std::tuple<size_t, size_t>> { };

// Guards against a withdrawn key that works, or a version that is served, more than 3 s after a newer version was
// accepted, against versions that go back and against an untrue answer to the operator: every pair of faults, the first
// beginning at every step of the change.
TEST_P(ConfigurationFaultMatrixTest, NoOldVersionIsServedAfterAcceptance)
{
    const FleetFault& first = fleetFaults[std::get<0>(GetParam())];
    const FleetFault& second = fleetFaults[std::get<1>(GetParam())];
    // VM 4 sends its check 50 ms later, so that the change is accepted directly after a check that named the old version.
    const Duration proposedAt = 2440ms;
    for (Duration moment = 0ms; moment <= 160ms; moment += 10ms) {
        SCOPED_TRACE(std::string(first.name) + " and " + second.name + " at " + std::to_string(toMilliseconds(moment)) + " ms");
        FakeFleet fleet;
        fleet.runUntil(TimePoint(proposedAt));
        fleet.propose(1, "withdraw", WithdrawKey { KeyId("k1") });
        fleet.runUntil(TimePoint(proposedAt + moment));
        first.set(fleet, true);
        fleet.runUntil(TimePoint(proposedAt + moment + 30ms));
        second.set(fleet, true);
        fleet.runUntil(TimePoint(8s));
        first.set(fleet, false);
        second.set(fleet, false);
        fleet.runUntil(TimePoint(16s));
        checkEnd(fleet);
        if (testing::Test::HasFailure())
            return;
    }
}

INSTANTIATE_TEST_SUITE_P(Pairs, ConfigurationFaultMatrixTest,
    testing::Combine(testing::Range<size_t>(0, fleetFaultCount), testing::Range<size_t>(0, fleetFaultCount)), [](const auto& info) {
        return std::string(fleetFaults[std::get<0>(info.param)].name) + "_" + fleetFaults[std::get<1>(info.param)].name;
    });

// A majority of the witnesses acknowledges a change while VMs 3 and 4 are cut off; VM 1 then loses its memory, gets an old
// copy and joins them. Guards against a restarted witness that confirms the old version for them.
TEST(ConfigurationPartitionTest, ARestartedWitnessDoesNotConfirmAnOldCopy)
{
    FakeFleet fleet;
    fleet.runUntil(TimePoint(2s));
    for (const size_t vm : { 2, 3 }) {
        fleet.vms[vm].isolatedFromStore = true;
        fleet.vms[vm].partitionId = 1;
    }
    fleet.propose(1, "withdraw", WithdrawKey { KeyId("k1") });
    fleet.runUntil(TimePoint(3s));
    ASSERT_EQ(fleet.operators[0].proposal->outcome()->decision, ProposalDecision::Accepted);
    fleet.store.down = true;
    fleet.restartEmpty(0);
    fleet.vms[0].partitionId = 1;
    fleet.runUntil(TimePoint(10s));
    EXPECT_FALSE(fleet.vms[0].isServing(fleet.now));
    EXPECT_FALSE(fleet.vms[3].isServing(fleet.now));
}

// VM 2 replaces witness 1 by 4 while witnesses 1 and 3 are cut off. Guards against an acceptance by the new list alone, as
// the majority of the old one still confirms the old version.
TEST(ConfigurationPartitionTest, AReplacementNeedsTheMajorityOfTheOldList)
{
    FakeFleet fleet;
    fleet.runUntil(TimePoint(2s));
    for (const size_t vm : { 0, 2, 4 }) {
        fleet.vms[vm].isolatedFromStore = true;
        fleet.vms[vm].partitionId = 1;
    }
    fleet.propose(1, "replace", ReplaceWitness { VmId("vm1"), VmAddress { VmId("vm4"), "127.0.0.1", 9000 } });
    fleet.runUntil(TimePoint(10s));
    EXPECT_EQ(fleet.operators[0].proposal->outcome()->decision, ProposalDecision::StoredNotConfirmed);
    EXPECT_TRUE(fleet.vms[4].isServing(fleet.now));
    fleet.vms[0].partitionId = 0;
    fleet.runUntil(TimePoint(15s));
    EXPECT_FALSE(fleet.vms[4].isServing(fleet.now));
}

// Guards against an outage of all VMs when only the store is down, and against service without store and witnesses.
TEST(ConfigurationPartitionTest, AMajorityOfWitnessesReplacesTheStore)
{
    FakeFleet fleet;
    fleet.runUntil(TimePoint(2s));
    fleet.store.down = true;
    fleet.restartEmpty(4);
    fleet.runUntil(TimePoint(20s));
    for (const auto& vm : fleet.vms)
        EXPECT_TRUE(vm.isServing(fleet.now)) << vm.id;
    fleet.vms[0].partitionId = 1;
    fleet.vms[1].partitionId = 2;
    fleet.runUntil(TimePoint(24s));
    for (const auto& vm : fleet.vms)
        EXPECT_FALSE(vm.isServing(fleet.now)) << vm.id;
}

class RandomFaultsTest : public testing::TestWithParam<uint64_t> {
protected:
    size_t pick(size_t count) { return this->random() % count; }

    // The next change of a random operator. Witnesses change often, so that lists overlap with those of old copies.
    void propose()
    {
        const VmId chosen("vm" + std::to_string(this->pick(5) + 1));
        switch (this->pick(4)) {
        case 0:
            this->fleet.propose(
                this->pick(5), "limit", ChangeOrganisation { OrganisationId("wattle"), static_cast<double>(100 + this->pick(50)), {} });
            break;
        case 1:
            this->fleet.propose(this->pick(5), "add", ReplaceWitness { {}, VmAddress { chosen, "127.0.0.1", 9000 } });
            break;
        case 2:
            this->fleet.propose(this->pick(5), "remove", ReplaceWitness { chosen, {} });
            break;
        default:
            const VmId other("vm" + std::to_string(this->pick(5) + 1));
            this->fleet.propose(this->pick(5), "replace", ReplaceWitness { chosen, VmAddress { other, "127.0.0.1", 9000 } });
        }
    }

    // Ends a replacement of witnesses once a version with both lists has been accepted.
    void settle()
    {
        const auto& last = *this->fleet.operators.back().proposal;
        if (!last.outcome() || last.outcome()->decision != ProposalDecision::Accepted)
            return;
        ++this->acceptedCount;
        if (!last.storedDocument()->previousWitnesses.empty())
            this->fleet.propose(this->pick(5), "settle", CompleteWitnessReplacement { last.outcome()->version });
    }

    // Two parts, of which one does not reach the store, as when the link between regions fails.
    void partition()
    {
        for (auto& vm : this->fleet.vms) {
            vm.partitionId = static_cast<int>(this->pick(2));
            vm.isolatedFromStore = vm.partitionId == 1;
        }
    }

    void disturb()
    {
        switch (this->pick(8)) {
        case 0:
        case 1:
            this->partition();
            break;
        case 2:
            this->fleet.vms[this->pick(5)].losesDocuments = this->pick(2) == 0;
            break;
        case 3:
            this->fleet.store.down = this->pick(3) == 0;
            break;
        case 4:
            this->fleet.store.losesReplies = this->pick(3) == 0;
            break;
        case 5:
        case 6:
            this->fleet.restartEmpty(this->pick(5));
            break;
        default:
            if (this->pick(3) == 0)
                this->heal();
        }
    }

    void heal()
    {
        this->fleet.store.down = this->fleet.store.losesReplies = false;
        for (auto& vm : this->fleet.vms) {
            vm.isolatedFromStore = vm.losesDocuments = false;
            vm.partitionId = 0;
        }
    }

    std::mt19937_64 random { GetParam() };
    FakeFleet fleet;
    size_t acceptedCount = 0;
};

// Guards against the same failures as the matrix when many faults, changes and replacements of witnesses overlap.
TEST_P(RandomFaultsTest, NoOldVersionIsServedAfterAcceptance)
{
    this->fleet.runUntil(TimePoint(2s));
    this->propose();
    for (int round = 0; round < 120; ++round) {
        this->fleet.runUntil(this->fleet.now + std::chrono::milliseconds(5 * (1 + this->pick(300))));
        this->settle();
        this->disturb();
        if (round % 3 == 0)
            this->propose();
        if (HasFailure())
            return;
    }
    this->heal();
    this->fleet.runUntil(this->fleet.now + 12s);
    checkEnd(this->fleet);
    EXPECT_GT(this->acceptedCount, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaultsTest, testing::Range<uint64_t>(1, 101));

}
