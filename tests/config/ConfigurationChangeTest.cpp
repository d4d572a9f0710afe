#include "foxtailtrail/config/ConfigurationChange.h"
#include "tests/config/SampleConfiguration.h"

#include <gtest/gtest.h>

namespace foxtail {

Result<Configuration> apply(ChangeAction action, const Configuration& base = sampleConfiguration(4))
{
    return applyChange(base, { "c5", "bea", std::nullopt, std::move(action) });
}

struct RefusedChange {
    const char* name;
    ChangeAction action;
    const char* expectedDetail;
    ErrorKind kind = ErrorKind::CommandInvalid;
};

class RefusedChangeTest : public testing::TestWithParam<RefusedChange> { };

// Guards against a change that leaves dangling references in the document, or that aborts work in progress.
TEST_P(RefusedChangeTest, ReportsReason)
{
    const Result<Configuration> result = apply(GetParam().action);
    ASSERT_TRUE(result.has_error());
    EXPECT_EQ(result.error().kind, GetParam().kind);
    EXPECT_NE(result.error().detail.find(GetParam().expectedDetail), std::string::npos) << result.error().detail;
}

INSTANTIATE_TEST_SUITE_P(Changes, RefusedChangeTest,
    testing::Values(RefusedChange { "initialize", InitializeFleet {}, "already a configuration" },
        RefusedChange {
            "declareTwice", DeclareService { { ServiceName("info"), DatabaseId("bookings"), {}, {}, {} } }, "already a service" },
        RefusedChange { "changeUnknown", ChangeService { { ServiceName("x"), DatabaseId("bookings"), {}, {}, {} } }, "no service x" },
        RefusedChange { "databaseInUse", RemoveDatabase { DatabaseId("bookings") }, "still has servers" },
        RefusedChange { "connections", ChangeDatabase { DatabaseId("bookings"), 8, {} }, "at least 22" },
        RefusedChange { "serverTwice", DeclareServer { DatabaseId("bookings"), { BackendServerId("b1"), "127.0.0.1", 1, {}, {}, {} } },
            "already a server" },
        RefusedChange { "notDrained", RemoveServer { BackendServerId("b1") }, "drained first" },
        RefusedChange { "alreadyDraining", DrainServer { BackendServerId("b2"), true }, "already draining" },
        RefusedChange { "organisationInUse", RemoveOrganisation { OrganisationId("wattle") }, "no organisation wattle" },
        RefusedChange { "keyTwice", IssueKey { sampleKey().key }, "already a key" },
        RefusedChange { "limitOwner", MoveLimitShards { { { 7, VmId("vm2"), 2 } } }, "epoch 3, owned by vm1", ErrorKind::VersionConflict },
        RefusedChange { "sameWitness", ReplaceWitness { {}, VmAddress { VmId("vm1"), "127.0.0.1", 1 } }, "twice" },
        RefusedChange { "notAWitness", ReplaceWitness { VmId("vm9"), {} }, "not a witness" },
        RefusedChange { "noReplacementToComplete", CompleteWitnessReplacement {}, "no replacement" }),
    [](const auto& info) { return info.param.name; });

// Guards against a change that modifies its base version, that does not record its author, or that applies to a version other than the
// expected one.
TEST(ConfigurationChangeTest, CreatesNextVersion)
{
    const Configuration base = sampleConfiguration(4);
    const Configuration next = apply(WithdrawKey { KeyId("k1") }, base).value();
    EXPECT_EQ(next.version, 5U);
    EXPECT_EQ(next.author + "/" + next.changeId, "bea/c5");
    EXPECT_TRUE(next.keys.at(KeyId("k1")).withdrawn);
    EXPECT_FALSE(base.keys.at(KeyId("k1")).withdrawn);
    const Result<Configuration> conditional = applyChange(base, { "c5", "bea", 3, WithdrawKey { KeyId("k1") } });
    EXPECT_EQ(conditional.error().kind, ErrorKind::VersionConflict);
    EXPECT_EQ(conditional.error().detail, "the version is 4, made by ada");
    EXPECT_TRUE(apply(WithdrawKey { KeyId("k1") }, Configuration()).has_error());
    EXPECT_EQ(apply(InitializeFleet { "a secret of the whole fleet", {} }, Configuration()).value().version, 1U);
}

// Guards against a key id that is issued twice, which would make a withdrawn id valid again.
TEST(ConfigurationChangeTest, NextKeyIdExceedsAllNumberedIds)
{
    Configuration configuration = sampleConfiguration();
    EXPECT_EQ(nextKeyId(configuration), KeyId("k2"));
    configuration.keys[KeyId("k11")] = sampleKey("k11").key;
    configuration.keys[KeyId("kiosk")] = sampleKey("kiosk").key;
    EXPECT_EQ(nextKeyId(configuration), KeyId("k12"));
}

// Guards against two replacements at the same time, after which a majority of the oldest list could confirm an old version.
TEST(ConfigurationChangeTest, RefusesSecondWitnessReplacement)
{
    const ReplaceWitness replacement { VmId("vm1"), VmAddress { VmId("vm4"), "127.0.0.1", 9000 } };
    const Configuration replaced = apply(replacement).value();
    EXPECT_EQ(replaced.previousWitnesses, sampleConfiguration().witnesses);
    EXPECT_NE(apply(ReplaceWitness { VmId("vm2"), {} }, replaced).error().detail.find("not settled"), std::string::npos);
    EXPECT_EQ(apply(CompleteWitnessReplacement { 4 }, replaced).error().kind, ErrorKind::VersionConflict);
    const Configuration completed = apply(CompleteWitnessReplacement { 5 }, replaced).value();
    EXPECT_TRUE(completed.previousWitnesses.empty());
    EXPECT_TRUE(apply(ReplaceWitness { VmId("vm2"), {} }, completed).has_value());
}

}
