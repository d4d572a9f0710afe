#include "foxtailtrail/session/ConsistencyToken.h"
#include "foxtailtrail/session/ReadRouter.h"
#include "foxtailtrail/session/ReplicaFreshness.h"

#include <gtest/gtest.h>
#include <set>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view secret = "a secret of the fleet";

    TimePoint at(int64_t count) { return TimePoint(milliseconds(count)); }

    LogPoint point(uint64_t term, uint64_t position) { return { Term { term }, Position { position } }; }

    // Returns a reachable server whose data is as of 900 ms.
    ServerView server(const char* id, const char* region, LogPoint logPoint)
    {
        ServerView view { BackendServerId(id), Region(region), {}, at(1000), at(900), true, false };
        view.status = { logPoint.term, logPoint.term, logPoint.position };
        return view;
    }

    // Returns a group of the primary p and the replicas near1, near2 and far in term 2. The replicas lag at position 3.
    GroupView laggingGroup()
    {
        GroupView view { DatabaseId("db"), Term { 2 }, BackendServerId("p"), at(1000), {} };
        view.servers = { server("p", "far", point(2, 9)), server("near1", "near", point(2, 3)), server("near2", "near", point(2, 3)),
            server("far", "far", point(2, 3)) };
        return view;
    }

    ReadRequirements requirements(std::optional<LogPoint> token, std::optional<Duration> maxStaleness)
    {
        return { token, maxStaleness, at(1000), at(2000), Region("near") };
    }

    // Returns the attempt kinds and servers of a plan in one line.
    std::string summary(const ReadRequirements& requirements, const GroupView& view, TimePoint now = at(1000), uint64_t salt = 0)
    {
        const auto plan = ReadRouter().route(requirements, view, now, salt);
        if (!plan)
            return std::string(errorKindProperties(plan.error().kind).name);
        constexpr const char* names[] = { "replica", "waitReplica", "primary", "confirmed", "waitPrimary" };
        std::string text;
        for (const auto& attempt : plan.value().attempts)
            text += (text.empty() ? "" : " ") + std::string(names[static_cast<size_t>(attempt.kind)]) + ":" + attempt.server.value;
        return text;
    }

}

// Guards against a token that loses its content in transit, or that is accepted although it was forged, truncated or signed
// with another secret.
TEST(ConsistencyTokenTest, RejectsChangedTruncatedOrForeignText)
{
    const ConsistencyToken token { DatabaseId("bookings"), point(7, 123456789012345ULL) };
    const std::string text = token.encode(secret);
    ASSERT_TRUE(ConsistencyToken::decode(text, secret).has_value());
    EXPECT_EQ(ConsistencyToken::decode(text, secret).value(), token);
    EXPECT_FALSE(ConsistencyToken::decode(text, "another secret").has_value());
    for (size_t index = 0; index < text.size(); ++index) {
        std::string changed = text;
        changed[index] = changed[index] == 'A' ? 'B' : 'A';
        for (const auto& wrong : { changed, text.substr(0, index) }) {
            const auto result = ConsistencyToken::decode(wrong, secret);
            ASSERT_FALSE(result.has_value()) << wrong;
            EXPECT_EQ(result.error().kind, ErrorKind::TokenInvalid);
        }
    }
}

// Guards against a read with a token at a server that lacks the session's own write. A lagging replica of a later term is
// ordered after the token's log point and still lacks the write.
TEST(ReadRouterTest, RequiresTermAndPositionOfToken)
{
    const GroupView view = laggingGroup();
    EXPECT_EQ(summary(requirements(point(2, 3), {}), view), "replica:near1 replica:near2 replica:far primary:p waitPrimary:");
    EXPECT_EQ(summary(requirements(point(1, 3), {}), view), "replica:near1 replica:near2 replica:far primary:p waitPrimary:");
    EXPECT_EQ(summary(requirements(point(2, 5), {}), view), "waitReplica: primary:p waitPrimary:");
    EXPECT_EQ(summary(requirements(point(1, 5), {}), view), "waitReplica: primary:p waitPrimary:");
}

// Guards against a wait for replicas that uses up the deadline, starts over when the read is routed again, or takes place
// when no replica can end it.
TEST(ReadRouterTest, BoundsWaitForReplica)
{
    GroupView view = laggingGroup();
    auto waitingRead = requirements(point(2, 5), {});
    EXPECT_EQ(ReadRouter().route(waitingRead, view, at(1000), 0).value().attempts[0].attemptDeadline, at(1050));
    EXPECT_EQ(summary(waitingRead, view, at(1050)), "primary:p waitPrimary:");
    waitingRead.deadline = at(1040);
    EXPECT_EQ(ReadRouter().route(waitingRead, view, at(1000), 0).value().attempts[0].attemptDeadline, at(1010));
    EXPECT_EQ(summary(waitingRead, view, at(1040)), "DeadlineExceeded");
    view.servers[1].isReachable = view.servers[2].isReachable = false;
    view.servers[3].isDraining = true;
    EXPECT_EQ(summary(waitingRead, view), "primary:p waitPrimary:");
}

// Guards against outdated data for a read whose token was lost: without token and maximum staleness only a primary that a
// majority confirmed after the read's arrival may answer.
TEST(ReadRouterTest, RoutesReadWithoutTokenToConfirmedPrimary)
{
    GroupView view = laggingGroup();
    const auto plan = ReadRouter().route(requirements({}, {}), view, at(1001), 5).value();
    EXPECT_EQ(plan.attempts[0], (ReadAttempt { ReadAttemptKind::ConfirmedPrimary, BackendServerId("p"), point(2, 0), at(1000), at(2000) }));
    view.primary.reset();
    EXPECT_EQ(summary(requirements({}, {}), view), "waitPrimary:");
    EXPECT_EQ(ReadRouter().route(requirements({}, {}), view, at(1001), 0).value().exhaustedError, ErrorKind::NoPrimary);
    view.servers.clear();
    EXPECT_EQ(summary(requirements({}, {}), view), "NoPrimary");
}

// Guards against data staler than the caller accepts, from a replica or from a primary that was replaced meanwhile.
TEST(ReadRouterTest, AppliesMaximumStalenessToReplicaAndPrimary)
{
    GroupView view = laggingGroup();
    view.servers[1].freshAsOf = at(600);
    view.servers[2].freshAsOf.reset();
    EXPECT_EQ(summary(requirements({}, milliseconds(100)), view), "replica:far confirmed:p waitPrimary:");
    EXPECT_EQ(summary(requirements({}, milliseconds(100)), view, at(1001)), "confirmed:p waitPrimary:");
    EXPECT_EQ(summary(requirements({}, milliseconds(400)), view), "replica:near1 replica:far confirmed:p waitPrimary:");
    EXPECT_EQ(summary(requirements(point(2, 4), milliseconds(400)), view), "confirmed:p waitPrimary:");
    const auto plan = ReadRouter().route(requirements(point(1, 1), milliseconds(400)), view, at(1000), 0).value();
    EXPECT_EQ(plan.attempts[0], (ReadAttempt { ReadAttemptKind::Replica, BackendServerId("near1"), point(2, 3), {}, at(1000) }));
    EXPECT_EQ(plan.attempts[2].earliestConfirmationAt, at(600));
}

// Guards against all reads going to one of several equally good replicas, and against replicas of another region coming
// first.
TEST(ReadRouterTest, SpreadsReadsOverNearReplicas)
{
    std::set<std::string> firstServers;
    for (uint64_t salt = 0; salt < 4; ++salt)
        firstServers.insert(
            ReadRouter().route(requirements(point(2, 3), {}), laggingGroup(), at(1000), salt).value().attempts[0].server.value);
    EXPECT_EQ(firstServers, (std::set<std::string> { "near1", "near2" }));
}

// Guards against a baseline that reads from other servers than the confirmed primary.
TEST(PrimaryOnlyReadRouterTest, RoutesEveryReadToConfirmedPrimary)
{
    const auto plan = PrimaryOnlyReadRouter().route(requirements(point(2, 3), milliseconds(5)), laggingGroup(), at(1000), 1).value();
    EXPECT_EQ(plan.attempts[0].kind, ReadAttemptKind::ConfirmedPrimary);
    EXPECT_EQ(plan.attempts[0].requiredLogPoint, point(2, 3));
}

// Guards against a freshness that is too recent because of samples of an unconfirmed or replaced primary, or because of a
// lagging log of a later term.
TEST(ReplicaFreshnessTest, UsesConfirmedSamplesOnly)
{
    ReplicaFreshness freshness({ 3, milliseconds(10) });
    freshness.record(at(100), point(1, 5));
    EXPECT_EQ(freshness.freshAsOf(point(1, 5)), std::nullopt);
    freshness.confirm(Term { 1 }, at(100));
    freshness.record(at(105), point(1, 6));
    freshness.record(at(110), point(1, 7));
    EXPECT_EQ(freshness.freshAsOf(point(1, 9)), at(100));
    freshness.record(at(120), point(2, 6));
    freshness.confirm(Term { 1 }, at(130));
    EXPECT_EQ(freshness.freshAsOf(point(1, 9)), at(100));
    freshness.confirm(Term { 2 }, at(119));
    EXPECT_EQ(freshness.freshAsOf(point(2, 6)), at(100));
    freshness.confirm(Term { 2 }, at(120));
    EXPECT_EQ(freshness.freshAsOf(point(2, 6)), at(120));
    EXPECT_EQ(freshness.freshAsOf(point(3, 4)), std::nullopt);
    for (int64_t time = 130; time <= 150; time += 10)
        freshness.record(at(time), point(2, 8));
    EXPECT_EQ(freshness.freshAsOf(point(2, 6)), std::nullopt);
}

}
