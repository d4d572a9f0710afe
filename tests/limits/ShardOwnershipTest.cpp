#include "foxtailtrail/limits/ShardOwnership.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::seconds;

    constexpr Duration longRunning = seconds(60);

    std::vector<OwnerCandidate> threeVms()
    {
        return { { VmId("vm0"), true, false, Duration(0) }, { VmId("vm1"), true, false, Duration(0) },
            { VmId("vm2"), true, false, Duration(0) } };
    }

    std::map<uint32_t, LimitShardOwner> allOwnedBy(const VmId& vm)
    {
        std::map<uint32_t, LimitShardOwner> owners;
        for (uint32_t shard = 0; shard < limitShardCount; ++shard)
            owners[shard] = { vm, 7 };
        return owners;
    }

    // The proposals by shard.
    std::map<uint32_t, std::vector<LimitShardOwner>> proposals(
        const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, Duration runningSince = longRunning)
    {
        std::map<uint32_t, std::vector<LimitShardOwner>> found;
        for (const OwnerProposal& proposal : proposeShardOwners(owners, vms, runningSince))
            found[proposal.shard].push_back(proposal.owner);
        return found;
    }

}

// Guards against an owner that is replaced while it lives or before 3 s, and against shards that nobody or everybody takes over.
TEST(ShardOwnershipTest, ADeadOwnerIsReplacedByOneVmPerShard)
{
    std::vector<OwnerCandidate> vms = threeVms();
    EXPECT_TRUE(proposals(allOwnedBy(VmId("vm0")), vms).empty());
    vms[0].isAlive = false;
    vms[0].heartbeatAge = seconds(3) - Duration(1);
    EXPECT_TRUE(proposals(allOwnedBy(VmId("vm0")), vms).empty());
    vms[0].heartbeatAge = seconds(3);
    const auto found = proposals(allOwnedBy(VmId("vm0")), vms);
    EXPECT_EQ(found.size(), limitShardCount);
    std::map<VmId, int> shards;
    for (const auto& [shard, owners] : found) {
        ASSERT_EQ(owners.size(), 1U);
        EXPECT_EQ(owners[0].epoch, 8U);
        ++shards[owners[0].vm];
    }
    EXPECT_EQ(shards.size(), 2U);
    EXPECT_FALSE(shards.contains(VmId("vm0")));
}

// Guards against a VM that has just started and takes owners that it never heard for dead.
TEST(ShardOwnershipTest, AnOwnerNeverHeardGetsTheSameTime)
{
    const std::vector<OwnerCandidate> vms { { VmId("vm1"), true, false, Duration(0) }, { VmId("vm0"), false, false, std::nullopt } };
    EXPECT_TRUE(proposeShardOwners(allOwnedBy(VmId("vm0")), vms, seconds(2)).empty());
    EXPECT_TRUE(proposeShardOwners(allOwnedBy(VmId("gone")), vms, seconds(2)).empty());
    EXPECT_EQ(proposeShardOwners(allOwnedBy(VmId("vm0")), vms, seconds(3)).size(), limitShardCount);
    EXPECT_EQ(proposeShardOwners(allOwnedBy(VmId("gone")), vms, seconds(3)).size(), limitShardCount);
    // A shard without an owner waits until a VM that has just started has heard the others.
    EXPECT_TRUE(proposeShardOwners({}, vms, seconds(1) - Duration(1)).empty());
    EXPECT_EQ(proposeShardOwners({}, vms, seconds(1)).size(), limitShardCount);
}

// Guards against a VM that leaves with its shards, or hands them to itself.
TEST(ShardOwnershipTest, ALeavingOwnerHandsItsShardsOver)
{
    std::vector<OwnerCandidate> vms = threeVms();
    vms[0].isLeaving = true;
    const std::vector<OwnerProposal> handed = proposeShardOwners(allOwnedBy(VmId("vm0")), vms, longRunning);
    EXPECT_EQ(handed.size(), limitShardCount);
    for (const OwnerProposal& proposal : handed)
        EXPECT_NE(proposal.owner.vm, VmId("vm0"));
    EXPECT_TRUE(proposeShardOwners(allOwnedBy(VmId("vm0")), { vms[0] }, longRunning).empty());
}

}
