#include "tests/limits/LendingFleet.h"

#include <gtest/gtest.h>
#include <tuple>

namespace foxtail {

// Guards against wrongful refusals of an organisation at 90% of its rate whose load is skewed 5:1 over the VMs.
class SkewTest : public testing::TestWithParam<std::vector<double>> { };

TEST_P(SkewTest, ServesOrganisationWithinItsRate)
{
    FleetOptions options;
    options.offeredPerSecond = 90;
    options.weights = GetParam();
    LendingFleet fleet(options);
    fleet.run(std::chrono::seconds(120));
    EXPECT_LE(fleet.largestExcess(), 1e-6);
    EXPECT_GT(fleet.arrived, 9000U);
    EXPECT_LT(static_cast<double>(fleet.wronglyRefused) / static_cast<double>(fleet.arrived), 0.001) << fleet.wronglyRefused;
}

// Guards against a check that is too weak to fail: the baseline must not pass it.
TEST(StaticShareTest, RefusesWronglyUnderSkew)
{
    FleetOptions options;
    options.usesStaticShare = true;
    LendingFleet fleet(options);
    fleet.run(std::chrono::seconds(120));
    EXPECT_LE(fleet.largestExcess(), 1e-6);
    EXPECT_GT(static_cast<double>(fleet.wronglyRefused) / static_cast<double>(fleet.arrived), 0.1);
}

INSTANTIATE_TEST_SUITE_P(
    Skews, SkewTest, testing::Values(std::vector<double> { 5, 1, 1, 1, 1, 1, 1, 1, 1 }, std::vector<double> { 1, 1, 1, 1, 5, 5, 5, 5, 5 }));

// Guards against small limits that are divided into shares below one token, so that requests are refused or wait in vain.
TEST(SmallLimitTest, ServesSmallOrganisationAtEveryVm)
{
    FleetOptions options;
    options.limit = { OrganisationId("north"), 5, 5 };
    options.offeredPerSecond = 3;
    options.weights = std::vector<double>(9, 1);
    LendingFleet fleet(options);
    fleet.run(std::chrono::seconds(600));
    EXPECT_LE(fleet.largestExcess(), 1e-6);
    EXPECT_LT(static_cast<double>(fleet.wronglyRefused), 0.01 * static_cast<double>(fleet.arrived));
}

// Guards against an organisation at five times its rate whose refused requests all wait for the full timeout, or whose rate is not
// used.
TEST(OverloadTest, RefusesQuicklyAndUsesFullRate)
{
    FleetOptions options;
    options.offeredPerSecond = 500;
    LendingFleet fleet(options);
    fleet.run(std::chrono::seconds(30));
    EXPECT_LE(fleet.largestExcess(), 1e-6);
    EXPECT_GT(fleet.admissions.size(), 2850U);
    const size_t refused = fleet.arrived - fleet.admissions.size();
    EXPECT_GT(static_cast<double>(fleet.refusedAtOnce), 0.8 * static_cast<double>(refused));
}

// A fault and the step of lending at which it is injected.
using FaultCase = std::tuple<LendingFault, LendingStep>;

class LendingFaultTest : public testing::TestWithParam<FaultCase> { };

// Guards against more than rate * window + burst in any window, and against a fault that stops service permanently. Clocks drift by
// 1% in opposite directions; requests arrive in waves, or continuously after the bucket has become full.
TEST_P(LendingFaultTest, NoWindowExceedsRateAndBurst)
{
    for (const bool isOwnerFast : { false, true }) {
        for (const LoadShape shape : { LoadShape::OnOff, LoadShape::AfterIdle }) {
            SCOPED_TRACE(testing::Message() << "owner fast " << isOwnerFast << " shape " << static_cast<int>(shape));
            FleetOptions options;
            options.offeredPerSecond = 700;
            options.shape = shape;
            options.ownerClockSpeed = isOwnerFast ? 1.01 : 0.99;
            options.borrowerClockSpeed = isOwnerFast ? 0.99 : 1.01;
            std::tie(options.fault, options.step) = GetParam();
            LendingFleet fleet(options);
            fleet.run(std::chrono::seconds(16));
            EXPECT_EQ(fleet.faultsInjected, 1U);
            EXPECT_LE(fleet.largestExcess(), 1e-6);
            // At least half of what the rate allows is admitted once the fault and the waiting time of a new owner are over.
            EXPECT_GT(fleet.admittedBetween(std::chrono::seconds(12), std::chrono::seconds(16)), 200U);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(EveryFaultAtEveryStep, LendingFaultTest,
    testing::Combine(testing::Values(LendingFault::None, LendingFault::BorrowerCrashes, LendingFault::BorrowerPauses,
                         LendingFault::OwnerPauses, LendingFault::OwnerPausesAndIsReplaced, LendingFault::OwnerCrashesAndIsReplaced,
                         LendingFault::OwnerChanges, LendingFault::MessagesLost, LendingFault::MessagesDuplicated,
                         LendingFault::MessagesLate, LendingFault::StoreOutage, LendingFault::OwnerPartitionedFromStoreAndReplaced),
        testing::Values(LendingStep::BeforeRequest, LendingStep::RequestInFlight, LendingStep::ReplyInFlight, LendingStep::AfterReply,
            LendingStep::DuringUse)));

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr TimePoint farDeadline { std::chrono::seconds(1000) };

TimePoint after(int milliseconds) { return start + std::chrono::milliseconds(milliseconds); }

// One lender with a full bucket and one borrower, without a network.
struct LendingPair {
    Organisation limit;
    TokenLender lender { TokenLenderSettings {}, 1 };
    TokenBorrower borrower { TokenBorrowerSettings {}, VmId("b"), 1 };

    explicit LendingPair(double rate = 100, double burst = 50)
        : limit { OrganisationId("north"), rate, burst }
    {
        const uint32_t shard = limitShardOf(this->limit.id);
        this->lender.setLimits({ { this->limit.id, this->limit } }, start - std::chrono::seconds(20));
        this->lender.setShards({ { shard, 1 } }, start - std::chrono::seconds(20), start - std::chrono::seconds(20));
        this->borrower.setOwners({ { shard, { VmId("a"), 1 } } });
    }

    Admission admit(TimePoint now) { return this->borrower.admit(this->limit.id, now + std::chrono::seconds(5), now); }

    BorrowRequest request(uint64_t sequence, uint32_t wanted, std::vector<LoanBalance> closedLoans = {}) const
    {
        return { VmId("b"), 1, sequence, { { this->limit.id, 1, wanted, 0, 10, std::move(closedLoans), {} } } };
    }
};

// Guards against a loan whose lifetime starts when a late reply arrives, and against a repeated reply that counts twice.
TEST(TokenBorrowerTest, LateAndRepeatedRepliesAddNoTokens)
{
    LendingPair pair;
    const Admission waiting = pair.admit(start);
    ASSERT_EQ(waiting.state, AdmissionState::Waiting);
    const auto sent = pair.borrower.collectRequests(start);
    ASSERT_EQ(sent.size(), 1U);
    BorrowReply reply = pair.lender.lend(sent[0].request, farDeadline, after(1));
    ASSERT_EQ(reply.items[0].tokens, 1U);
    reply.items[0].tokens = 3;
    LendingPair late;
    late.admit(start);
    late.borrower.collectRequests(start);

    EXPECT_EQ(pair.borrower.receive(VmId("a"), reply, after(40)).size(), 1U);
    EXPECT_EQ(pair.borrower.receive(VmId("a"), reply, after(41)).size(), 0U);
    EXPECT_EQ(pair.borrower.tokensHeld(pair.limit.id, after(49)), 2U);
    EXPECT_EQ(pair.borrower.tokensHeld(pair.limit.id, after(50)), 0U);
    late.borrower.receive(VmId("a"), reply, after(50));
    EXPECT_EQ(late.borrower.tokensHeld(late.limit.id, after(50)), 0U);
}

// Guards against requests that all wait for the full timeout for an owner that crashed, and against an owner that receives no
// requests any more.
TEST(TokenBorrowerTest, DoesNotWaitForUnresponsiveOwner)
{
    LendingPair pair;
    for (int time = 0; time < 1000; time += 5) {
        EXPECT_EQ(pair.admit(after(time)).state, AdmissionState::Waiting);
        for (const CompletedAdmission& completed : pair.borrower.expire(after(time)))
            EXPECT_EQ(completed.admission.refusalReason, ErrorKind::LimitUnavailable);
        pair.borrower.collectRequests(after(time));
    }
    const Admission refused = pair.admit(after(1001));
    EXPECT_EQ(refused.state, AdmissionState::Refused);
    EXPECT_EQ(refused.refusalReason, ErrorKind::LimitUnavailable);
    const auto sentRequests = pair.borrower.collectRequests(after(1040));
    ASSERT_EQ(sentRequests.size(), 1U);
    EXPECT_GT(
        pair.borrower.receive(VmId("a"), pair.lender.lend(sentRequests[0].request, farDeadline, after(1041)), after(1042)).size(), 0U);
    EXPECT_NE(pair.admit(after(1043)).state, AdmissionState::Refused);
}

// Guards against one message per organisation, and against messages of unbounded size.
TEST(TokenBorrowerTest, BatchesOrganisationsOfOneOwner)
{
    TokenBorrower borrower({}, VmId("b"), 1);
    std::map<uint32_t, LimitShardOwner> owners;
    for (uint32_t shard = 0; shard < limitShardCount; ++shard)
        owners[shard] = { VmId("a"), 1 };
    borrower.setOwners(owners);
    for (int index = 0; index < 100; ++index)
        borrower.admit(OrganisationId("organisation" + std::to_string(index)), farDeadline, start);
    const auto first = borrower.collectRequests(start);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].request.items.size(), maxItemsPerBorrowMessage);
    const auto second = borrower.collectRequests(start);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].request.items.size(), 100 - maxItemsPerBorrowMessage);
}

// Guards against returned tokens that count twice, that are added although their loan has expired, or that were never lent.
TEST(TokenLenderTest, AcceptsLoanReturnOnceAndBeforeExpiry)
{
    LendingPair pair;
    const LoanId loan = pair.lender.lend(pair.request(1, 20), farDeadline, start).items[0].loan;
    const LoanId rest = pair.lender.lend(pair.request(2, 30), farDeadline, start).items[0].loan;
    const LoanReturn message { VmId("b"), { { pair.limit.id, { loan, 5 } }, { pair.limit.id, { loan, 5 } } } };
    pair.lender.returnLoans(message, start);
    EXPECT_EQ(pair.lender.lend(pair.request(3, 100, { { loan, 5 } }), farDeadline, start).items[0].tokens, 5U);
    BorrowRequest wrong = pair.request(4, 0);
    wrong.items[0].heldLoans = { { rest, 31 } };
    pair.lender.lend(wrong, farDeadline, start);
    // The loans have expired and the bucket is full again before the return arrives.
    pair.lender.returnLoans({ VmId("b"), { { pair.limit.id, { rest, 30 } } } }, after(1000));
    EXPECT_EQ(pair.lender.lend(pair.request(5, 100), farDeadline, after(1000)).items[0].tokens, 50U);
    EXPECT_EQ(pair.lender.lend(pair.request(6, 100), farDeadline, after(1000)).items[0].tokens, 0U);
}

// Guards against a VM with a large demand that takes the shares of VMs with a small demand.
TEST(TokenLenderTest, SharesAreMaxMinFair)
{
    EXPECT_EQ(maxMinShares(100, { 10, 200, 50 }), (std::vector<double> { 10, 45, 45 }));
    EXPECT_EQ(maxMinShares(100, { 10, 30, 20 }), (std::vector<double> { 10, 30, 20 }));
    EXPECT_EQ(maxMinShares(0, { 10, 30 }), (std::vector<double> { 0, 0 }));
}

// Guards against requests on several connections that are reordered, and against a duplicate that takes tokens a second time.
TEST(TokenLenderTest, ReorderedRequestsAreAnsweredOnce)
{
    LendingPair pair;
    for (const uint64_t sequence : { 70, 72, 71, 100 })
        EXPECT_EQ(pair.lender.lend(pair.request(sequence, 1), farDeadline, start).items.size(), 1U) << sequence;
    for (const uint64_t sequence : { 70, 72, 71, 100, 37 })
        EXPECT_EQ(pair.lender.lend(pair.request(sequence, 1), farDeadline, start).items.size(), sequence == 37 ? 1U : 0U) << sequence;
    EXPECT_EQ(pair.lender.lend(pair.request(36, 1), farDeadline, start).items.size(), 0U);
}

// Guards against room in the bucket before the loan has expired on a slow clock: 50 ms * 1.01 / 0.99 = 51.01 ms.
TEST(TokenLenderTest, LoanExpiresOnlyAfterExpiryOnAnyClock)
{
    LendingPair pair;
    EXPECT_EQ(pair.lender.lend(pair.request(1, 50), farDeadline, start).items[0].tokens, 50U);
    EXPECT_EQ(pair.lender.lend(pair.request(2, 50), farDeadline, after(51)).items[0].tokens, 0U);
    EXPECT_EQ(pair.lender.lend(pair.request(3, 50), farDeadline, after(81)).items[0].tokens, 2U);
}

// Guards against used loans that reduce a small burst for 200 ms: the lifetime here is 50 ms * 1.01 / 0.99 = 51.01 ms.
TEST(TokenLenderTest, LoanOfSmallOrganisationExpiresSoon)
{
    LendingPair pair(10, 5);
    EXPECT_EQ(pair.lender.lend(pair.request(1, 5), farDeadline, start).items[0].tokens, 5U);
    EXPECT_EQ(pair.lender.lend(pair.request(2, 5), farDeadline, after(51)).items[0].tokens, 0U);
    EXPECT_EQ(pair.lender.lend(pair.request(3, 5), farDeadline, after(153)).items[0].tokens, 1U);
}

// Guards against a batch that is reduced to its VM's share of the rate although most of the burst is left: 50 tokens less an
// eighth, 6.25 tokens, that is reserved for shares.
TEST(TokenLenderTest, BatchMayUseRemainingBurst)
{
    LendingPair pair;
    pair.lender.lend({ VmId("c"), 1, 1, { { pair.limit.id, 1, 1, 0, 500, {}, {} } } }, farDeadline, start);
    EXPECT_EQ(pair.lender.lend(pair.request(1, 40), farDeadline, start).items[0].tokens, 40U);
    EXPECT_EQ(pair.lender.lend(pair.request(2, 40), farDeadline, start).items[0].tokens, 2U);
}

}
