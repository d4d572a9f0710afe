#include "foxtailtrail/execution/RetryPolicy.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    constexpr TimePoint now { 100s };

    RetryPolicy policyFor(TransactionKind kind)
    {
        TransactionRequest request;
        request.requestId = RequestId("r1");
        request.kind = kind;
        request.deadline = now + 1s;
        return { request, {} };
    }

}

// Guards against "not run" for a write whose call was lost on its way back: it may have run.
TEST(RetryPolicyTest, AWriteWhoseCallWasLostIsInDoubt)
{
    RetryPolicy policy = policyFor(TransactionKind::Write);
    policy.start(now);
    policy.onAttemptLost(1, true, now);
    const std::optional<RetryEffect> ended = policy.onDeadlinePassed();
    ASSERT_TRUE(ended);
    EXPECT_EQ(std::get<Answer>(*ended).outcome.error().kind, ErrorKind::OutcomeUnknown);

    // Also when a later attempt is refused for good.
    RetryPolicy other = policyFor(TransactionKind::Write);
    other.start(now);
    other.onAttemptLost(1, true, now);
    const auto refused = other.onAttemptFinished(2, fail(ErrorKind::NotPermitted, ""), now + 10ms);
    ASSERT_TRUE(refused);
    EXPECT_TRUE(std::holds_alternative<ResolveById>(*refused));
}

// Guards against doubt where there is none: the call never left, or it only reads.
TEST(RetryPolicyTest, ACallThatWasNotSentOrOnlyReadsHasNotRun)
{
    for (const auto& [kind, sent] : { std::pair(TransactionKind::Write, false), std::pair(TransactionKind::Read, true) }) {
        RetryPolicy policy = policyFor(kind);
        policy.start(now);
        policy.onAttemptLost(1, sent, now);
        const auto refused = policy.onAttemptFinished(2, fail(ErrorKind::NotPermitted, ""), now + 10ms);
        ASSERT_TRUE(refused);
        EXPECT_EQ(std::get<Answer>(*refused).outcome.error().kind, ErrorKind::NotPermitted);
    }
}

}
