#include "foxtailtrail/burn/BurnReport.h"

#include <gtest/gtest.h>
#include <random>

namespace foxtail {

using namespace std::chrono_literals;

const ServiceName booking("booking");
const std::vector<ServiceObjective> objectives { { booking, 99, 100ms } };

// Records requests of an organisation, all at the same time. The first badCount of them fail.
void recordRequests(BurnRecorder& recorder, TimePoint now, int totalCount, int badCount, const char* organisation = "wattle")
{
    for (int index = 0; index < totalCount; ++index) {
        const std::optional<ErrorKind> error = index < badCount ? std::optional(ErrorKind::NoPrimary) : std::nullopt;
        recorder.record({ booking, OrganisationId(organisation), error, 10ms }, now);
    }
}

ServiceBurn burnAt(const BurnRecorder& recorder, TimePoint now)
{
    return makeBurnReport(objectives, recorder.snapshot(now)).services.front();
}

// Guards against sums that include counts outside the window, omit counts inside it or include a bucket that has been reused. The test
// compares the sums with those of a plain list.
TEST(CounterRingTest, SumMatchesListOfAllCounts)
{
    struct Entry {
        int64_t minute;
        RequestCounts counts;
    };
    std::mt19937_64 random(20261204);
    CounterRing ring(1min, 60);
    std::vector<Entry> entries;
    TimePoint now;
    for (int round = 0; round < 2000; ++round) {
        now += std::chrono::seconds(random() % 200);
        const RequestCounts counts { 1, random() % 2, 0 };
        ring.add(counts, now);
        entries.push_back({ now.time_since_epoch() / 1min, counts });
        const auto window = std::chrono::minutes(1 + random() % 60);
        RequestCounts expected;
        for (const Entry& entry : entries) {
            if (entry.minute > now.time_since_epoch() / 1min - window.count())
                expected += entry.counts;
        }
        ASSERT_EQ(ring.sum(now, window), expected);
    }
    EXPECT_EQ(ring.sum(now + 1h, 1h), RequestCounts {});
}

// Guards against counting errors of the caller and refusals by a limit as failures of the service, and against missing slow requests.
TEST(BurnRecorderTest, CountsOnlyServerErrorsAndSlowRequestsAsBad)
{
    BurnRecorder recorder(objectives);
    const auto recordSample = [&](std::optional<ErrorKind> error, Duration latency) {
        recorder.record({ booking, OrganisationId("wattle"), error, latency }, TimePoint(1h));
    };
    for (const ErrorKind kind : { ErrorKind::RateLimited, ErrorKind::StatementFailed, ErrorKind::KeyWithdrawn })
        recordSample(kind, 1s);
    recordSample(ErrorKind::DeadlineExceeded, 1s);
    recordSample(std::nullopt, 100ms);
    recordSample(std::nullopt, 101ms);
    const RequestCounts expected { 6, 1, 1 };
    EXPECT_EQ(recorder.snapshot(TimePoint(1h)).services.at(booking).countsFor(BurnWindow::FiveMinutes), expected);
    EXPECT_EQ(recorder.snapshot(TimePoint(1h)).organisations.at(OrganisationId("wattle")), expected);
}

struct AlertCase {
    const char* name;
    // The number of bad requests among 100 in each minute: until five minutes before the end of the six hours, and in the last five
    // minutes.
    int earlierBadPercent;
    int recentBadPercent;
    BurnAlert expected;
};

class BurnAlertTest : public testing::TestWithParam<AlertCase> { };

// Guards against an alert on a short peak or on a loss that has ended, and against a missing alert while the budget is being used up.
TEST_P(BurnAlertTest, RequiresBothWindowsToReachBurnRate)
{
    BurnRecorder recorder(objectives);
    for (int minute = 0; minute < 360; ++minute)
        recordRequests(recorder, TimePoint(std::chrono::minutes(minute)), 100,
            minute < 355 ? GetParam().earlierBadPercent : GetParam().recentBadPercent);
    EXPECT_EQ(burnAt(recorder, TimePoint(359min)).alert, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Cases, BurnAlertTest,
    testing::Values(AlertCase { "good", 0, 0, BurnAlert::None }, AlertCase { "shortPeak", 0, 50, BurnAlert::None },
        AlertCase { "fast", 20, 20, BurnAlert::Fast }, AlertCase { "fastIsOver", 20, 0, BurnAlert::Slow },
        AlertCase { "slow", 7, 7, BurnAlert::Slow }, AlertCase { "withinBudget", 1, 1, BurnAlert::None }),
    [](const auto& info) { return info.param.name; });

// Guards against a wrong remaining budget, and against figures that depend on how the requests are distributed over the VMs.
TEST(BurnReportTest, MergesSnapshotsOfSeveralVms)
{
    BurnRecorder singleRecorder(objectives);
    BurnRecorder firstRecorder(objectives);
    BurnRecorder secondRecorder(objectives);
    recordRequests(singleRecorder, TimePoint(1h), 1000, 5);
    recordRequests(singleRecorder, TimePoint(1h), 100, 3, "wislomar");
    recordRequests(firstRecorder, TimePoint(1h), 1000, 5);
    // The clocks of the two VMs have different epochs.
    recordRequests(secondRecorder, TimePoint(77h), 100, 3, "wislomar");
    BurnSnapshot merged = firstRecorder.snapshot(TimePoint(1h));
    const Result<BurnSnapshot> parsedSnapshot = parseBurnSnapshot(serializeBurnSnapshot(secondRecorder.snapshot(TimePoint(77h))));
    ASSERT_TRUE(parsedSnapshot.has_value());
    merged.merge(parsedSnapshot.value());
    const BurnReport report = makeBurnReport(objectives, merged);
    EXPECT_EQ(renderBurnJson(report), renderBurnJson(makeBurnReport(objectives, singleRecorder.snapshot(TimePoint(1h)))));
    // 8 of 1100 requests are bad; the objective of 99% allows 11.
    EXPECT_NEAR(report.services.front().budgetLeft, 3.0 / 11, 1e-9);
    EXPECT_EQ(report.worstServed->organisation, OrganisationId("wislomar"));
}

// Guards against reporting an organisation with only a few requests as the worst served instead of one with a significant number.
TEST(BurnReportTest, IgnoresOrganisationsWithFewRequestsForWorstServed)
{
    BurnRecorder recorder(objectives);
    recordRequests(recorder, TimePoint(1h), 19, 19, "acacia");
    EXPECT_FALSE(makeBurnReport(objectives, recorder.snapshot(TimePoint(1h))).worstServed.has_value());
    recordRequests(recorder, TimePoint(1h), 200, 4);
    const BurnReport report = makeBurnReport(objectives, recorder.snapshot(TimePoint(1h)));
    EXPECT_EQ(report.worstServed->organisation, OrganisationId("wattle"));
    EXPECT_NE(renderBurnText(report).find("wattle, 98% of 200 requests"), std::string::npos) << renderBurnText(report);
    EXPECT_NE(renderBurnJson(report).find("not in them"), std::string::npos);
}

// Guards against memory use that grows without bound with the number of organisations that callers name.
TEST(BurnRecorderTest, LimitsNumberOfOrganisations)
{
    BurnRecorder recorder(objectives);
    for (size_t index = 0; index < BurnRecorder::maxOrganisations + 50; ++index)
        recordRequests(recorder, TimePoint(1h), 1, 0, ("o" + std::to_string(index)).c_str());
    const BurnSnapshot snapshot = recorder.snapshot(TimePoint(1h));
    EXPECT_EQ(snapshot.organisations.size(), BurnRecorder::maxOrganisations);
    EXPECT_EQ(snapshot.services.at(booking).countsFor(BurnWindow::Hour).total, BurnRecorder::maxOrganisations + 50);
}

// Guards against accepting objectives without an error budget and inconsistent counts from peers.
TEST(BurnReportTest, RejectsInvalidObjectivesAndSnapshots)
{
    EXPECT_TRUE(validateObjectives(objectives).has_value());
    EXPECT_TRUE(validateObjectives({ { booking, 100, 1ms } }).has_error());
    EXPECT_TRUE(validateObjectives({ { booking, 99, 0ms } }).has_error());
    EXPECT_TRUE(validateObjectives({ objectives[0], objectives[0] }).has_error());
    for (const char* text : { "", "{}", R"({"services":{"a":[]},"organisations":{}})",
             R"({"services":{},"organisations":{"a":{"total":1,"failed":2,"slow":0}}})" })
        EXPECT_TRUE(parseBurnSnapshot(text).has_error()) << text;
}

}
