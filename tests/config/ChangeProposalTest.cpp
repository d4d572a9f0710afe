#include "tests/config/FakeFleet.h"

namespace foxtail {

class ChangeProposalTest : public testing::Test {
protected:
    ChangeProposalTest() { this->fleet.runUntil(TimePoint(2s)); }

    const ProposalOutcome& outcomeAt(TimePoint end, size_t index = 0)
    {
        this->fleet.runUntil(end);
        EXPECT_TRUE(this->fleet.operators[index].proposal->outcome().has_value());
        return *this->fleet.operators[index].proposal->outcome();
    }

    FakeFleet fleet;
};

// Two operators propose changes at the same time. Guards against a loser that does not receive the winning version, or whose change
// replaces the winner's.
TEST_F(ChangeProposalTest, ReportsWinnerToLoserOfRace)
{
    this->fleet.propose(1, "first", WithdrawKey { KeyId("k1") });
    this->fleet.propose(2, "second", DrainServer { BackendServerId("b1"), true });
    EXPECT_EQ(this->outcomeAt(TimePoint(4s), 0).decision, ProposalDecision::Accepted);
    const ProposalOutcome& loserOutcome = this->outcomeAt(TimePoint(4s), 1);
    EXPECT_EQ(loserOutcome.decision, ProposalDecision::Refused);
    EXPECT_EQ(loserOutcome.error, (Error { ErrorKind::VersionConflict, "version 2 was made by operator-of-vm2" }));
    EXPECT_EQ(this->fleet.store.row.version(), 2U);
}

// Guards against a change that is stored twice, or reported as failed, because replies of the store were lost for some time.
TEST_F(ChangeProposalTest, ResolvesLostReplyByReadingRowBack)
{
    this->fleet.propose(1, "change", WithdrawKey { KeyId("k1") });
    // The compare-and-set reaches the store 35 ms after the start.
    this->fleet.runUntil(TimePoint(2030ms));
    this->fleet.store.dropsReplies = true;
    this->fleet.runUntil(TimePoint(3s));
    EXPECT_FALSE(this->fleet.operators[0].proposal->outcome().has_value());
    EXPECT_EQ(this->fleet.store.row.version(), 2U);
    this->fleet.store.dropsReplies = false;
    EXPECT_EQ(this->outcomeAt(TimePoint(6s)).decision, ProposalDecision::Accepted);
    EXPECT_EQ(this->fleet.store.row.version(), 2U);
}

// Guards against a proposal that reports Refused although its compare-and-set may still reach the store, or that never ends.
TEST_F(ChangeProposalTest, ReturnsUnknownAtDeadlineOnlyAfterCompareAndSet)
{
    this->fleet.propose(1, "change", WithdrawKey { KeyId("k1") });
    this->fleet.runUntil(TimePoint(2030ms));
    this->fleet.store.dropsReplies = true;
    EXPECT_EQ(this->outcomeAt(TimePoint(6100ms)).decision, ProposalDecision::Unknown);
    EXPECT_EQ(this->outcomeAt(TimePoint(6100ms)).error.kind, ErrorKind::StoreOutcomeUnknown);
    this->fleet.store.isDown = true;
    this->fleet.propose(1, "later", DrainServer { BackendServerId("b1"), true });
    EXPECT_EQ(this->outcomeAt(TimePoint(11s), 1).decision, ProposalDecision::Refused);
    EXPECT_EQ(this->outcomeAt(TimePoint(11s), 1).error.kind, ErrorKind::StoreUnavailable);
}

// Guards against a change that takes effect twice when it is proposed again with the same id.
TEST_F(ChangeProposalTest, DoesNotStoreSameChangeTwice)
{
    this->fleet.propose(1, "change", WithdrawKey { KeyId("k1") });
    this->fleet.runUntil(TimePoint(3s));
    ChangeProposal repeatedProposal({}, { "change-0", "ada", std::nullopt, DrainServer { BackendServerId("b1"), true } }, TimePoint(9s));
    const auto effects = repeatedProposal.start(TimePoint(3s));
    ASSERT_EQ(effects.size(), 1U);
    repeatedProposal.handleStoreResponse(this->fleet.store.execute(std::get<StoreCall>(effects.front())), TimePoint(3s));
    ASSERT_TRUE(repeatedProposal.outcome().has_value());
    EXPECT_EQ(repeatedProposal.outcome()->decision, ProposalDecision::StoredNotConfirmed);
    EXPECT_EQ(repeatedProposal.outcome()->version, 2U);
}

// Guards against a row that grows with every change, or that changes when it is serialized and parsed.
TEST(ConfigurationRowTest, KeepsLatestChanges)
{
    ConfigurationRow row;
    for (uint64_t version = 1; version <= 50; ++version)
        row = makeConfigurationRow(sampleConfiguration(version), row);
    const ConfigurationRow parsed = parseConfigurationRow(serializeConfigurationRow(row)).value();
    EXPECT_EQ(parsed.version(), 50U);
    EXPECT_EQ(parsed.recentChanges.size(), maxRecentChanges);
    EXPECT_EQ(parsed.recentChanges.back().changeId, "change-19");
    for (const char* text : { "", "{}", R"({"digest":"d","recent":[]})", R"({"digest":"d","recent":[1]})" })
        EXPECT_TRUE(parseConfigurationRow(text).has_error()) << text;
}

}
