#include "foxtailtrail/limits/ShardOwnership.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::seconds;

    constexpr Duration longRunningTime = seconds(60);

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

    // Returns the proposals by shard.
    std::map<uint32_t, std::vector<LimitShardOwner>> proposals(
        const std::map<uint32_t, LimitShardOwner>& owners, const std::vector<OwnerCandidate>& vms, Duration runningFor = longRunningTime)
    {
        std::map<uint32_t, std::vector<LimitShardOwner>> found;
        for (const OwnerProposal& proposal : proposeShardOwners(owners, vms, runningFor))
            found[proposal.shard].push_back(proposal.owner);
        return found;
    }

}

// Guards against an owner that is replaced while it is alive or before 3 s, and against shards that no VM or every VM takes over.
TEST(ShardOwnershipTest, ReplacesSilentOwnerByOneVmPerShard)
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

// Guards against a VM that has just started and assumes that owners whose heartbeats it never received have crashed.
TEST(ShardOwnershipTest, UnseenOwnerGetsSameTimeout)
{
    const std::vector<OwnerCandidate> vms { { VmId("vm1"), true, false, Duration(0) }, { VmId("vm0"), false, false, std::nullopt } };
    EXPECT_TRUE(proposeShardOwners(allOwnedBy(VmId("vm0")), vms, seconds(2)).empty());
    EXPECT_TRUE(proposeShardOwners(allOwnedBy(VmId("gone")), vms, seconds(2)).empty());
    EXPECT_EQ(proposeShardOwners(allOwnedBy(VmId("vm0")), vms, seconds(3)).size(), limitShardCount);
    EXPECT_EQ(proposeShardOwners(allOwnedBy(VmId("gone")), vms, seconds(3)).size(), limitShardCount);
    // A shard without an owner waits until a VM that has just started has received heartbeats of the others.
    EXPECT_TRUE(proposeShardOwners({}, vms, seconds(1) - Duration(1)).empty());
    EXPECT_EQ(proposeShardOwners({}, vms, seconds(1)).size(), limitShardCount);
}

// Guards against a VM that leaves without handing its shards over, or hands them to itself.
TEST(ShardOwnershipTest, LeavingOwnerHandsOverItsShards)
{
    std::vector<OwnerCandidate> vms = threeVms();
    vms[0].isLeaving = true;
    const std::vector<OwnerProposal> handovers = proposeShardOwners(allOwnedBy(VmId("vm0")), vms, longRunningTime);
    EXPECT_EQ(handovers.size(), limitShardCount);
    for (const OwnerProposal& proposal : handovers)
        EXPECT_NE(proposal.owner.vm, VmId("vm0"));
    EXPECT_TRUE(proposeShardOwners(allOwnedBy(VmId("vm0")), { vms[0] }, longRunningTime).empty());
}

}
