#include "foxtailtrail/scheduling/ConnectionShare.h"
#include "foxtailtrail/scheduling/ConcurrencyWindow.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    TimePoint at(int64_t ms) { return TimePoint(milliseconds(ms)); }

    const DataCentre brisbane("brisbane");
    const DataCentre toowoomba("toowoomba");
    const DataCentre cairns("cairns");

    GroupTopology topology()
    {
        return { { { brisbane, 3 }, { toowoomba, 3 }, { cairns, 3 } },
            { { "brisbane", "seq" }, { "toowoomba", "seq" }, { "cairns", "fnq" } }, { brisbane, toowoomba, cairns } };
    }

    // Guards against shares that together exceed what a server accepts.
    TEST(ConnectionShareTest, SharesOfAllVmsAddUpToMaximum)
    {
        for (const bool isPrimary : { false, true }) {
            double total = 0;
            for (const auto& [dataCentre, count] : topology().vmCountByDataCentre)
                total += static_cast<double>(count) * connectionShare(topology(), dataCentre, brisbane, isPrimary, 22);
            EXPECT_NEAR(total, 22, 1e-9);
        }
    }

    // Guards against connections to servers that receive no reads.
    TEST(ConnectionShareTest, NearestVmsGetLargestShares)
    {
        const double near = connectionShare(topology(), brisbane, brisbane, false, 22);
        const double far = connectionShare(topology(), cairns, brisbane, false, 22);
        EXPECT_GT(near, 5);
        EXPECT_LT(far, 1);
        // All VMs use a primary.
        EXPECT_GT(connectionShare(topology(), cairns, brisbane, true, 22), 1);
        // A region without a server distributes its reads over all servers.
        GroupTopology distant = topology();
        distant.serverDataCentres = { brisbane, toowoomba };
        EXPECT_GT(connectionShare(distant, cairns, brisbane, false, 22), 1.5);
    }

    // Guards against retries that keep a full server full (kongres mix 300235928749: 12,299 of 23,100 arrivals refused).
    TEST(ConcurrencyWindowTest, BusyServerShrinksWindowAndDelaysStatements)
    {
        ConcurrencyWindow window;
        const size_t before = window.size();
        const TimePoint first = window.recordBusy(at(1000), 0.5);
        EXPECT_EQ(window.size(), before / 2);
        // Refusals within a short time shrink the window only once, but increase the delay.
        const TimePoint second = window.recordBusy(at(1010), 0.5);
        EXPECT_EQ(window.size(), before / 2);
        EXPECT_GT(second - at(1010), first - at(1000));
        for (int64_t now = 1100; now < 3000; now += 100)
            EXPECT_LE(window.recordBusy(at(now), 1.0) - at(now), milliseconds(180));
        EXPECT_EQ(window.size(), 1U);
        for (int replies = 0; replies < 200; ++replies)
            window.recordReply();
        EXPECT_GT(window.size(), before / 2);
    }

}

}
