#include "tests/config/FakeFleet.h"

#include <algorithm>
#include <random>

namespace foxtail {

// A fault of the fleet. set(fleet, true) starts it and set(fleet, false) ends it.
struct FleetFault {
    const char* name;
    std::function<void(FakeFleet&, bool)> set;
};

void isolate(FakeFleet& fleet, size_t vm, bool isActive)
{
    fleet.vms[vm].isolatedFromStore = isActive;
    fleet.vms[vm].partitionId = isActive ? static_cast<int>(vm) : 0;
}

const FleetFault fleetFaults[] {
    { "none", [](FakeFleet&, bool) {} },
    { "storeDown", [](FakeFleet& fleet, bool isActive) { fleet.store.isDown = isActive; } },
    { "storeSlow", [](FakeFleet& fleet, bool isActive) { fleet.store.delay = isActive ? 400ms : 5ms; } },
    { "repliesLost", [](FakeFleet& fleet, bool isActive) { fleet.store.dropsReplies = isActive; } },
    { "isolatedFromStore", [](FakeFleet& fleet, bool isActive) { fleet.vms[3].isolatedFromStore = isActive; } },
    { "isolatedFromVms", [](FakeFleet& fleet, bool isActive) { fleet.vms[3].partitionId = isActive ? 1 : 0; } },
    { "isolatedFromAll", [](FakeFleet& fleet, bool isActive) { isolate(fleet, 3, isActive); } },
    { "witnessIsolated", [](FakeFleet& fleet, bool isActive) { isolate(fleet, 2, isActive); } },
    { "operatorIsolated", [](FakeFleet& fleet, bool isActive) { isolate(fleet, 1, isActive); } },
    { "documentsLost", [](FakeFleet& fleet, bool isActive) { fleet.vms[3].dropsDocuments = isActive; } },
    { "restartWithOldCopy",
        [](FakeFleet& fleet, bool isActive) {
            if (isActive)
                fleet.restartEmpty(4);
        } },
    { "witnessRestart",
        [](FakeFleet& fleet, bool isActive) {
            if (isActive)
                fleet.restartEmpty(0);
        } },
    { "otherOperator",
        [](FakeFleet& fleet, bool isActive) {
            if (isActive)
                fleet.propose(2, "other", DrainServer { BackendServerId("b1"), true });
        } },
    { "witnessReplaced",
        [](FakeFleet& fleet, bool isActive) {
            if (isActive)
                fleet.propose(2, "replace", ReplaceWitness { VmId("vm1"), VmAddress { VmId("vm4"), "127.0.0.1", 9000 } });
        } },
};
constexpr size_t fleetFaultCount = std::size(fleetFaults);

bool isStored(const FakeFleet& fleet, const std::string& changeId) { return fleet.store.storedChangeIds.contains(changeId); }

// Checks that the outcome reported to each operator is true, and that all VMs serve the stored version again.
void checkFinalState(FakeFleet& fleet)
{
    for (const auto& proposer : fleet.operators) {
        ASSERT_TRUE(proposer.proposal->outcome().has_value());
        const ProposalOutcome& outcome = *proposer.proposal->outcome();
        const bool stored = isStored(fleet, proposer.proposal->changeId());
        if (outcome.decision == ProposalDecision::Refused) {
            EXPECT_FALSE(stored) << "refused with \"" << outcome.error.detail << "\" but stored";
        } else if (outcome.decision != ProposalDecision::Unknown) {
            EXPECT_TRUE(stored) << "reported as stored but lost";
        }
    }
    for (const auto& vm : fleet.vms) {
        EXPECT_TRUE(vm.isServing(fleet.now)) << vm.id;
        EXPECT_EQ(vm.installedConfiguration.version(), fleet.store.row.version()) << vm.id;
        const bool keyWorks = KeyTable(*vm.installedConfiguration.document()).authenticate(sampleKey().text).has_value();
        EXPECT_EQ(keyWorks, !isStored(fleet, "withdraw-0")) << vm.id;
    }
}

class ConfigurationFaultMatrixTest : public testing::TestWithParam<std::tuple<size_t, size_t>> { };

// Guards against a withdrawn key or an old version that is still served more than 3 s after a newer version was accepted, against a
// version that decreases, and against a false outcome for the operator. Runs every pair of faults, and starts the first fault at every
// step of the change.
TEST_P(ConfigurationFaultMatrixTest, StopsServingOldVersionAfterAcceptance)
{
    const FleetFault& first = fleetFaults[std::get<0>(GetParam())];
    const FleetFault& second = fleetFaults[std::get<1>(GetParam())];
    // VM 4 sends its check 50 ms later, so that the change is accepted directly after a check that returned the old version.
    const Duration proposedAt = 2440ms;
    for (Duration faultDelay = 0ms; faultDelay <= 160ms; faultDelay += 10ms) {
        SCOPED_TRACE(std::string(first.name) + " and " + second.name + " at " + std::to_string(toMilliseconds(faultDelay)) + " ms");
        FakeFleet fleet;
        fleet.runUntil(TimePoint(proposedAt));
        fleet.propose(1, "withdraw", WithdrawKey { KeyId("k1") });
        fleet.runUntil(TimePoint(proposedAt + faultDelay));
        first.set(fleet, true);
        fleet.runUntil(TimePoint(proposedAt + faultDelay + 30ms));
        second.set(fleet, true);
        fleet.runUntil(TimePoint(8s));
        first.set(fleet, false);
        second.set(fleet, false);
        fleet.runUntil(TimePoint(16s));
        checkFinalState(fleet);
        if (testing::Test::HasFailure())
            return;
    }
}

INSTANTIATE_TEST_SUITE_P(Pairs, ConfigurationFaultMatrixTest,
    testing::Combine(testing::Range<size_t>(0, fleetFaultCount), testing::Range<size_t>(0, fleetFaultCount)), [](const auto& info) {
        return std::string(fleetFaults[std::get<0>(info.param)].name) + "_" + fleetFaults[std::get<1>(info.param)].name;
    });

// A majority of the witnesses acknowledges a change while VMs 3 and 4 are isolated. VM 1 then restarts without its state, receives an
// old copy and joins their partition. Guards against a restarted witness that confirms the old version for them.
TEST(ConfigurationPartitionTest, RestartedWitnessDoesNotConfirmOldCopy)
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
    fleet.store.isDown = true;
    fleet.restartEmpty(0);
    fleet.vms[0].partitionId = 1;
    fleet.runUntil(TimePoint(10s));
    EXPECT_FALSE(fleet.vms[0].isServing(fleet.now));
    EXPECT_FALSE(fleet.vms[3].isServing(fleet.now));
}

// VM 2 replaces witness 1 by VM 4 while witnesses 1 and 3 are isolated. Guards against an acceptance by the new list alone, while a
// majority of the old list still confirms the old version.
TEST(ConfigurationPartitionTest, ReplacementNeedsMajorityOfOldList)
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

// Guards against an outage of all VMs when only the store is down, and against VMs that serve although neither the store nor a majority
// of the witnesses confirms their version.
TEST(ConfigurationPartitionTest, WitnessMajorityConfirmsWhenStoreIsDown)
{
    FakeFleet fleet;
    fleet.runUntil(TimePoint(2s));
    fleet.store.isDown = true;
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

class ConfigurationRandomFaultsTest : public testing::TestWithParam<uint64_t> {
protected:
    size_t randomBelow(size_t count) { return this->random() % count; }

    // Proposes a random change from a random VM. Witnesses change often, so that the lists of old copies overlap with the current one.
    void propose()
    {
        const VmId chosen("vm" + std::to_string(this->randomBelow(5) + 1));
        switch (this->randomBelow(4)) {
        case 0: {
            // Drawn one after the other, because the order in which arguments are evaluated differs between platforms.
            const size_t vm = this->randomBelow(5);
            const auto rate = static_cast<double>(100 + this->randomBelow(50));
            this->fleet.propose(vm, "limit", ChangeOrganisation { OrganisationId("wattle"), rate, {} });
            break;
        }
        case 1:
            this->fleet.propose(this->randomBelow(5), "add", ReplaceWitness { {}, VmAddress { chosen, "127.0.0.1", 9000 } });
            break;
        case 2:
            this->fleet.propose(this->randomBelow(5), "remove", ReplaceWitness { chosen, {} });
            break;
        default:
            const VmId other("vm" + std::to_string(this->randomBelow(5) + 1));
            this->fleet.propose(this->randomBelow(5), "replace", ReplaceWitness { chosen, VmAddress { other, "127.0.0.1", 9000 } });
        }
    }

    size_t countInstalled(const std::vector<VmAddress>& list, uint64_t version) const
    {
        return static_cast<size_t>(std::count_if(list.begin(), list.end(), [&](const VmAddress& address) {
            return this->fleet.vms[static_cast<size_t>(address.id.value.back() - '1')].installedConfiguration.version() == version;
        }));
    }

    // Returns whether the stored version has both lists of witnesses and a majority of each has installed it.
    bool isStoredReplacementAcknowledged() const
    {
        const ConfigurationRow& row = this->fleet.store.row;
        const Configuration stored
            = parseConfiguration(this->fleet.store.objects.at(configurationObjectName(row.version(), row.digest))).value();
        const auto hasMajority
            = [&](const std::vector<VmAddress>& list) { return this->countInstalled(list, row.version()) * 2 > list.size(); };
        return !stored.previousWitnesses.empty() && hasMajority(stored.witnesses) && hasMajority(stored.previousWitnesses);
    }

    // Completes a replacement of witnesses once a version with both lists has been accepted. As on a VM, this does not depend on whether
    // the proposal that stored the version received its outcome.
    void completeReplacement()
    {
        const auto& lastProposal = *this->fleet.operators.back().proposal;
        if (!lastProposal.outcome())
            return;
        if (lastProposal.outcome()->decision != ProposalDecision::Accepted) {
            if (this->isStoredReplacementAcknowledged())
                this->fleet.propose(this->randomBelow(5), "settle", CompleteWitnessReplacement { this->fleet.store.row.version() });
            return;
        }
        ++this->acceptedCount;
        if (!lastProposal.storedDocument()->previousWitnesses.empty())
            this->fleet.propose(this->randomBelow(5), "settle", CompleteWitnessReplacement { lastProposal.outcome()->version });
    }

    // Splits the VMs into two partitions, one of which does not reach the store, as when the link between regions fails.
    void partition()
    {
        for (auto& vm : this->fleet.vms) {
            vm.partitionId = static_cast<int>(this->randomBelow(2));
            vm.isolatedFromStore = vm.partitionId == 1;
        }
    }

    void injectFault()
    {
        switch (this->randomBelow(8)) {
        case 0:
        case 1:
            this->partition();
            break;
        case 2:
            this->fleet.vms[this->randomBelow(5)].dropsDocuments = this->randomBelow(2) == 0;
            break;
        case 3:
            this->fleet.store.isDown = this->randomBelow(3) == 0;
            break;
        case 4:
            this->fleet.store.dropsReplies = this->randomBelow(3) == 0;
            break;
        case 5:
        case 6:
            this->fleet.restartEmpty(this->randomBelow(5));
            break;
        default:
            if (this->randomBelow(3) == 0)
                this->clearFaults();
        }
    }

    void clearFaults()
    {
        this->fleet.store.isDown = this->fleet.store.dropsReplies = false;
        for (auto& vm : this->fleet.vms) {
            vm.isolatedFromStore = vm.dropsDocuments = false;
            vm.partitionId = 0;
        }
    }

    std::mt19937_64 random { GetParam() };
    FakeFleet fleet;
    size_t acceptedCount = 0;
};

// Guards against the same failures as the matrix test when many faults, changes and replacements of witnesses overlap.
TEST_P(ConfigurationRandomFaultsTest, StopsServingOldVersionAfterAcceptance)
{
    this->fleet.runUntil(TimePoint(2s));
    this->propose();
    for (int round = 0; round < 120; ++round) {
        this->fleet.runUntil(this->fleet.now + std::chrono::milliseconds(5 * (1 + this->randomBelow(300))));
        this->completeReplacement();
        this->injectFault();
        if (round % 3 == 0)
            this->propose();
        if (HasFailure())
            return;
    }
    this->clearFaults();
    this->fleet.runUntil(this->fleet.now + 12s);
    checkFinalState(this->fleet);
    EXPECT_GT(this->acceptedCount, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigurationRandomFaultsTest, testing::Range<uint64_t>(1, 101));

}
