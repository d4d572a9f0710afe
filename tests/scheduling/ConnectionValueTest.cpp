#include "foxtailtrail/scheduling/ConnectionValue.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <list>
#include <random>
#include <vector>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr size_t organisationCount = 80;
    constexpr size_t connectionCount = 50;

    // Plays 60 s of statements, 30 a second, of organisations with uneven loads over connections that each serve one of them. Returns the
    // number of openings in the last 40 s.
    template <typename ChooseVictim> size_t playOpenings(const ChooseVictim& chooseVictim, ConnectionValue& value)
    {
        std::minstd_rand random(7);
        std::vector<double> weights;
        for (size_t organisation = 1; organisation <= organisationCount; ++organisation)
            weights.push_back(1 / static_cast<double>(organisation));
        std::discrete_distribution<size_t> drawOrganisation(weights.begin(), weights.end());
        // Ordered by last use; the most recently used connection is at the back.
        std::list<size_t> connections;
        size_t openings = 0;
        for (int64_t statement = 0; statement < 1800; ++statement) {
            const TimePoint now = TimePoint(milliseconds(statement * 1000 / 30));
            const size_t organisation = drawOrganisation(random);
            value.recordUse(std::to_string(organisation), now);
            const auto held = std::find(connections.begin(), connections.end(), organisation);
            if (held != connections.end()) {
                connections.erase(held);
            } else {
                openings += now >= TimePoint(milliseconds(20000)) ? 1 : 0;
                if (connections.size() == connectionCount)
                    connections.erase(chooseVictim(connections, now));
            }
            connections.push_back(organisation);
        }
        return openings;
    }

    TEST(ConnectionValueTest, ClosingTheLeastValuableSavesOpenings)
    {
        ConnectionValue unused;
        const size_t longestIdle
            = playOpenings([](const std::list<size_t>& connections, TimePoint) { return connections.begin(); }, unused);
        ConnectionValue value;
        const size_t leastValuable = playOpenings(
            [&](const std::list<size_t>& connections, TimePoint now) {
                return std::min_element(connections.begin(), connections.end(), [&](size_t a, size_t b) {
                    return value.valueOf(std::to_string(a), 1, now) < value.valueOf(std::to_string(b), 1, now);
                });
            },
            value);
        printf("openings: longest idle %zu, least valuable %zu\n", longestIdle, leastValuable);
        EXPECT_LT(leastValuable * 100, longestIdle * 95);
    }

    TEST(ConnectionValueTest, FurtherConnectionsOfAnOrganisationAreWorthLess)
    {
        ConnectionValue value;
        const TimePoint now = TimePoint(milliseconds(1000));
        for (int use = 0; use < 4; ++use)
            value.recordUse("a", now);
        value.recordUse("b", now);
        EXPECT_GT(value.valueOf("a", 3, now), value.valueOf("b", 1, now));
        EXPECT_LT(value.valueOf("a", 5, now), value.valueOf("b", 1, now));
        EXPECT_EQ(value.valueOf("c", 1, now), 0);
        EXPECT_LT(value.valueOf("b", 1, now + milliseconds(20000)), 0.5);
    }

}

}
