#include "foxtailtrail/session/ConsistencyToken.h"
#include "foxtailtrail/session/ReadRouter.h"
#include "foxtailtrail/session/ReplicaAge.h"

#include <gtest/gtest.h>
#include <set>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view secret = "a secret of the fleet";

    TimePoint at(int64_t milliseconds_) { return TimePoint(milliseconds(milliseconds_)); }

    LogPoint point(uint64_t term, uint64_t position) { return { Term { term }, Position { position } }; }

    // A reachable server whose data is as of 900 ms.
    ServerView server(const char* id, const char* region, LogPoint logPoint)
    {
        ServerView view { BackendServerId(id), Region(region), {}, at(1000), at(900), true, false };
        view.status = { logPoint.term, logPoint.term, logPoint.position };
        return view;
    }

    // The primary p and the replicas near1, near2 and far in term 2. The replicas lag at position 3.
    GroupView laggingGroup()
    {
        GroupView view { DatabaseId("db"), Term { 2 }, BackendServerId("p"), at(1000), {} };
        view.servers = { server("p", "far", point(2, 9)), server("near1", "near", point(2, 3)), server("near2", "near", point(2, 3)),
            server("far", "far", point(2, 3)) };
        return view;
    }

    ReadNeed need(std::optional<LogPoint> token, std::optional<Duration> age) { return { token, age, at(1000), at(2000), Region("near") }; }

    // The kinds and servers of a plan in one line.
    std::string summary(const ReadNeed& need, const GroupView& view, TimePoint now = at(1000), uint64_t salt = 0)
    {
        const auto plan = ReadRouter().route(need, view, now, salt);
        if (!plan)
            return std::string(errorKindRow(plan.error().kind).name);
        constexpr const char* names[] = { "replica", "waitReplica", "primary", "confirmed", "waitPrimary" };
        std::string text;
        for (const auto& attempt : plan.value().attempts)
            text += (text.empty() ? "" : " ") + std::string(names[static_cast<size_t>(attempt.kind)]) + ":" + attempt.server.value;
        return text;
    }

}

// Guards against a token that loses its content on the way, or is taken although it was forged, cut or signed elsewhere.
TEST(ConsistencyTokenTest, OnlyItsOwnTextDecodes)
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

// Guards against a read with a token at a server that lacks the session's own write. A lagging replica of a later term
// orders after the token's log point and still lacks the write.
TEST(ReadRouterTest, TokenNeedsTermAndPosition)
{
    const GroupView view = laggingGroup();
    EXPECT_EQ(summary(need(point(2, 3), {}), view), "replica:near1 replica:near2 replica:far primary:p waitPrimary:");
    EXPECT_EQ(summary(need(point(1, 3), {}), view), "replica:near1 replica:near2 replica:far primary:p waitPrimary:");
    EXPECT_EQ(summary(need(point(2, 5), {}), view), "waitReplica: primary:p waitPrimary:");
    EXPECT_EQ(summary(need(point(1, 5), {}), view), "waitReplica: primary:p waitPrimary:");
}

}
