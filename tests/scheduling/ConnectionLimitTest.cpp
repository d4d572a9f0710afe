#include "foxtailtrail/scheduling/ConnectionLimit.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <list>
#include <random>
#include <vector>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    TimePoint at(int64_t ms) { return TimePoint(milliseconds(ms)); }

    // The policy without a learned limit: a pool below its share adds connections, and a refusal only delays the next opening.
    class ShareOnlyLimit {
    public:
        void setMaximum(size_t newMaximum) { this->maximum = newMaximum; }
        bool mustReplace(size_t size, TimePoint) const { return size >= this->maximum; }
        void recordAttempt(size_t, TimePoint) { }
        void recordRefusal(size_t, TimePoint now, double) { this->pauseEndsAt = now + milliseconds(60); }
        void recordOpening(size_t, TimePoint) { }
        TimePoint pausedUntil() const { return this->pauseEndsAt; }

    private:
        size_t maximum = 0;
        TimePoint pauseEndsAt {};
    };

    constexpr size_t serverMaximum = 57;
    constexpr size_t share = 51;
    constexpr size_t organisationCount = 83;
    constexpr size_t slotCount = 3;
    constexpr int64_t openingMs = 12;
    constexpr int64_t statementMs = 14;
    constexpr int64_t statementTimeoutMs = 700;

    struct SideResult {
        size_t asked = 0;
        size_t served = 0;
    };

    struct PlayResult {
        std::vector<SideResult> sides;
        size_t resetCount = 0;
    };

    // Plays one server whose connections several VMs hold, in steps of a millisecond. Each VM gets statements of all organisations; a
    // connection serves one organisation. The first VM holds its whole share at the start.
    template <typename Limit> class Play {
    public:
        Play(size_t sideCount, double statementsPerSecond, unsigned seed)
            : arrivalsPerMs(statementsPerSecond / 1000)
            , sides(sideCount)
            , random(seed)
        {
            for (Side& side : this->sides)
                side.limit.setMaximum(share);
            for (size_t number = 0; number < share; ++number)
                this->sides.front().idle.push_back(number % organisationCount);
        }

        PlayResult run(int64_t durationMs)
        {
            for (int64_t now = 1; now <= durationMs; ++now) {
                // The order of the VMs changes, so that none has precedence at the server.
                for (size_t number = 0; number < this->sides.size(); ++number)
                    this->advance(this->sides[(static_cast<size_t>(now) + number) % this->sides.size()], now);
            }
            for (const Side& side : this->sides)
                this->result.sides.push_back(side.result);
            return this->result;
        }

    private:
        struct Timed {
            size_t organisation = 0;
            int64_t time = 0;
        };
        struct Side {
            Limit limit;
            std::list<size_t> idle;
            std::list<Timed> running;
            std::list<Timed> opening;
            std::list<Timed> waiting;
            SideResult result;
            size_t held() const { return this->idle.size() + this->running.size(); }
            size_t size() const { return this->held() + this->opening.size(); }
        };

        double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

        size_t totalHeld() const
        {
            size_t total = 0;
            for (const Side& side : this->sides)
                total += side.held();
            return total;
        }

        size_t slotsInUse() const
        {
            size_t total = 0;
            for (const Side& side : this->sides)
                total += side.running.size() + side.opening.size();
            return total;
        }

        void advance(Side& side, int64_t now)
        {
            for (auto statement = side.running.begin(); statement != side.running.end();) {
                if (statement->time > now) {
                    ++statement;
                    continue;
                }
                ++side.result.served;
                side.idle.push_back(statement->organisation);
                statement = side.running.erase(statement);
            }
            while (!side.opening.empty() && side.opening.front().time <= now) {
                const size_t organisation = side.opening.front().organisation;
                side.opening.pop_front();
                if (this->totalHeld() >= serverMaximum) {
                    ++this->result.resetCount;
                    side.limit.recordRefusal(side.held(), at(now), this->draw());
                    continue;
                }
                side.idle.push_back(organisation);
                side.limit.recordOpening(side.held(), at(now));
            }
            if (this->draw() < this->arrivalsPerMs) {
                ++side.result.asked;
                side.waiting.push_back({ static_cast<size_t>(this->draw() * organisationCount), now });
            }
            side.waiting.remove_if([&](const Timed& statement) { return now - statement.time > statementTimeoutMs; });
            this->serve(side, now);
        }

        void serve(Side& side, int64_t now)
        {
            for (auto statement = side.waiting.begin(); statement != side.waiting.end() && this->slotsInUse() < slotCount;) {
                const auto found = std::find(side.idle.begin(), side.idle.end(), statement->organisation);
                if (found != side.idle.end()) {
                    side.idle.erase(found);
                    side.running.push_back({ statement->organisation, now + statementMs });
                    statement = side.waiting.erase(statement);
                    continue;
                }
                const bool isOpening = std::any_of(side.opening.begin(), side.opening.end(),
                    [&](const Timed& opening) { return opening.organisation == statement->organisation; });
                if (!isOpening && at(now) >= side.limit.pausedUntil())
                    this->open(side, statement->organisation, now);
                ++statement;
            }
        }

        void open(Side& side, size_t organisation, int64_t now)
        {
            if (side.limit.mustReplace(side.size(), at(now))) {
                if (side.idle.empty())
                    return;
                side.idle.pop_front();
            }
            side.limit.recordAttempt(side.size(), at(now));
            side.opening.push_back({ organisation, now + openingMs });
        }

        double arrivalsPerMs;
        std::vector<Side> sides;
        std::minstd_rand random;
        PlayResult result;
    };

    // Returns the fraction of statements served at the VM that is served worst.
    double leastServed(const PlayResult& result)
    {
        double least = 1;
        for (const SideResult& side : result.sides)
            least = std::min(least, static_cast<double>(side.served) / static_cast<double>(side.asked));
        return least;
    }

    double servedOfAll(const PlayResult& result)
    {
        SideResult total;
        for (const SideResult& side : result.sides) {
            total.asked += side.asked;
            total.served += side.served;
        }
        return static_cast<double>(total.served) / static_cast<double>(total.asked);
    }

    constexpr int64_t playMs = 10'000;
    // Half of what the slots of the server can run when each statement needs an opening.
    constexpr double statementsPerSecond = 50;

    // Guards against callers without service on one side of a network partition while the relay on the other side holds nearly all
    // connections of a server.
    TEST(ConnectionLimitTest, ServesBothSidesOfPartitionFromOneServer)
    {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            const PlayResult limited = Play<ConnectionLimit>(2, statementsPerSecond, seed).run(playMs);
            EXPECT_GT(leastServed(limited), 0.95) << seed;
            const PlayResult unlimited = Play<ShareOnlyLimit>(2, statementsPerSecond, seed).run(playMs);
            EXPECT_LT(leastServed(unlimited), leastServed(limited)) << seed;
            EXPECT_LT(limited.resetCount * 2, unlimited.resetCount) << seed;
        }
    }

    // Guards against VMs without any service when many hold connections to one server.
    TEST(ConnectionLimitTest, ServesEachOfNineVmsFromOneServer)
    {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            const PlayResult limited = Play<ConnectionLimit>(9, statementsPerSecond * 2 / 9, seed).run(playMs);
            const PlayResult unlimited = Play<ShareOnlyLimit>(9, statementsPerSecond * 2 / 9, seed).run(playMs);
            EXPECT_GT(leastServed(limited), 0.25) << seed;
            EXPECT_GT(servedOfAll(limited), 0.5) << seed;
            EXPECT_LT(servedOfAll(unlimited), servedOfAll(limited)) << seed;
            EXPECT_LT(limited.resetCount * 2, unlimited.resetCount) << seed;
        }
    }

    // Guards against a VM that serves less than before because it replaces connections although the server is not full.
    TEST(ConnectionLimitTest, ServesSingleVmLikeItsShareAlone)
    {
        const PlayResult limited = Play<ConnectionLimit>(1, statementsPerSecond * 2, 1).run(playMs);
        const PlayResult unlimited = Play<ShareOnlyLimit>(1, statementsPerSecond * 2, 1).run(playMs);
        EXPECT_EQ(limited.sides.front().served, unlimited.sides.front().served);
        EXPECT_EQ(limited.resetCount, 0U);
    }

    // Guards against a VM that keeps few connections after the others have released theirs.
    TEST(ConnectionLimitTest, GrowsToMaximumOnceServerHasRoom)
    {
        ConnectionLimit limit;
        limit.setMaximum(51);
        limit.recordRefusal(6, at(1000), 0.5);
        EXPECT_TRUE(limit.mustReplace(6, at(1059)));
        EXPECT_FALSE(limit.mustReplace(6, at(1060)));
        size_t held = 6;
        for (int64_t ms = 1060; ms < 1660 && held < 51; ms += openingMs) {
            ASSERT_FALSE(limit.mustReplace(held, at(ms))) << held;
            limit.recordAttempt(held, at(ms));
            EXPECT_TRUE(limit.mustReplace(held + 1, at(ms)));
            limit.recordOpening(++held, at(ms + openingMs));
        }
        EXPECT_EQ(held, 51U);
        EXPECT_TRUE(limit.mustReplace(51, at(1700)));
    }

    // Guards against several concurrent openings above the limit, all of which the full server resets.
    TEST(ConnectionLimitTest, TriesOneConnectionAboveLimitAtATime)
    {
        ConnectionLimit limit;
        limit.setMaximum(51);
        limit.recordRefusal(6, at(1000), 0.5);
        EXPECT_EQ(limit.pausedUntil(), at(1060));
        EXPECT_FALSE(limit.mustReplace(6, at(1060)));
        limit.recordAttempt(6, at(1060));
        EXPECT_TRUE(limit.mustReplace(6, at(1061)));
        // The second refusal doubles the delay.
        limit.recordRefusal(6, at(1065), 0.5);
        EXPECT_TRUE(limit.mustReplace(6, at(1184)));
        EXPECT_FALSE(limit.mustReplace(6, at(1185)));
    }

}

}
