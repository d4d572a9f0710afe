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

// Guards against "not run" for a write whose call failed after it was sent: it may have run.
TEST(RetryPolicyTest, OutcomeOfLostWriteIsUnknown)
{
    RetryPolicy policy = policyFor(TransactionKind::Write);
    policy.start(now);
    policy.onAttemptLost(1, true, now);
    const std::optional<RetryEffect> effect = policy.onDeadlinePassed();
    ASSERT_TRUE(effect);
    EXPECT_EQ(std::get<Answer>(*effect).outcome.error().kind, ErrorKind::OutcomeUnknown);

    // The same applies if a later attempt is refused permanently.
    RetryPolicy other = policyFor(TransactionKind::Write);
    other.start(now);
    other.onAttemptLost(1, true, now);
    const auto refused = other.onAttemptFinished(2, fail(ErrorKind::NotPermitted, ""), now + 10ms);
    ASSERT_TRUE(refused);
    EXPECT_TRUE(std::holds_alternative<ResolveById>(*refused));
}

// Guards against an unknown outcome of a call that was never sent, or that only reads.
TEST(RetryPolicyTest, UnsentCallOrReadHasNotRun)
{
    for (const auto& [kind, wasSent] : { std::pair(TransactionKind::Write, false), std::pair(TransactionKind::Read, true) }) {
        RetryPolicy policy = policyFor(kind);
        policy.start(now);
        policy.onAttemptLost(1, wasSent, now);
        const auto refused = policy.onAttemptFinished(2, fail(ErrorKind::NotPermitted, ""), now + 10ms);
        ASSERT_TRUE(refused);
        EXPECT_EQ(std::get<Answer>(*refused).outcome.error().kind, ErrorKind::NotPermitted);
    }
}

}
