#include "foxtailtrail/burn/BurnReport.h"

#include <gtest/gtest.h>
#include <random>

namespace foxtail {

using namespace std::chrono_literals;

const ServiceName booking("booking");
const std::vector<ServiceObjective> objectives { { booking, 99, 100ms } };

// Records requests of an organisation within one minute, the first of them bad.
void record(BurnRecorder& recorder, TimePoint now, int total, int bad, const char* organisation = "wattle")
{
    for (int index = 0; index < total; ++index) {
        const std::optional<ErrorKind> error = index < bad ? std::optional(ErrorKind::NoPrimary) : std::nullopt;
        recorder.record({ booking, OrganisationId(organisation), error, 10ms }, now);
    }
}

ServiceBurn burnAt(const BurnRecorder& recorder, TimePoint now)
{
    return makeBurnReport(objectives, recorder.snapshot(now)).services.front();
}

// Guards against a window that holds too much, too little, or counts that were overwritten. Compared with a plain list.
TEST(CounterRingTest, MatchesAListOfAllCounts)
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

// Guards against counting the caller's mistakes and refusals by a limit as failures of the service, or missing slow answers.
TEST(BurnRecorderTest, CountsWhatTheServiceIsResponsibleFor)
{
    BurnRecorder recorder(objectives);
    const auto sample = [&](std::optional<ErrorKind> error, Duration latency) {
        recorder.record({ booking, OrganisationId("wattle"), error, latency }, TimePoint(1h));
    };
    for (const ErrorKind kind : { ErrorKind::RateLimited, ErrorKind::StatementFailed, ErrorKind::KeyWithdrawn })
        sample(kind, 1s);
    sample(ErrorKind::DeadlineExceeded, 1s);
    sample(std::nullopt, 100ms);
    sample(std::nullopt, 101ms);
    const RequestCounts expected { 6, 1, 1 };
    EXPECT_EQ(recorder.snapshot(TimePoint(1h)).services.at(booking).countsFor(BurnWindow::FiveMinutes), expected);
    EXPECT_EQ(recorder.snapshot(TimePoint(1h)).organisations.at(OrganisationId("wattle")), expected);
}

struct AlertCase {
    const char* name;
    // Bad requests of 100 in each minute: of the six hours before, and of the last five minutes.
    int earlierBadPercent;
    int recentBadPercent;
    BurnAlert expected;
};

class BurnAlertTest : public testing::TestWithParam<AlertCase> { };

// Guards against an alert on a short peak or on a loss that is over, and against no alert while the budget runs out.
TEST_P(BurnAlertTest, NeedsTheShortAndTheLongWindow)
{
    BurnRecorder recorder(objectives);
    for (int minute = 0; minute < 360; ++minute)
        record(recorder, TimePoint(std::chrono::minutes(minute)), 100,
            minute < 355 ? GetParam().earlierBadPercent : GetParam().recentBadPercent);
    EXPECT_EQ(burnAt(recorder, TimePoint(359min)).alert, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Cases, BurnAlertTest,
    testing::Values(AlertCase { "good", 0, 0, BurnAlert::None }, AlertCase { "shortPeak", 0, 50, BurnAlert::None },
        AlertCase { "fast", 20, 20, BurnAlert::Fast }, AlertCase { "fastIsOver", 20, 0, BurnAlert::Slow },
        AlertCase { "slow", 7, 7, BurnAlert::Slow }, AlertCase { "withinBudget", 1, 1, BurnAlert::None }),
    [](const auto& info) { return info.param.name; });

// Guards against a wrong share of the budget, and against figures that differ when several VMs share the requests.
TEST(BurnReportTest, SnapshotsOfSeveralVmsAdd)
{
    BurnRecorder together(objectives);
    BurnRecorder first(objectives);
    BurnRecorder second(objectives);
    record(together, TimePoint(1h), 1000, 5);
    record(together, TimePoint(1h), 100, 3, "wislomar");
    record(first, TimePoint(1h), 1000, 5);
    // The clock of another VM has another start.
    record(second, TimePoint(77h), 100, 3, "wislomar");
    BurnSnapshot merged = first.snapshot(TimePoint(1h));
    const Result<BurnSnapshot> carried = parseBurnSnapshot(serializeBurnSnapshot(second.snapshot(TimePoint(77h))));
    ASSERT_TRUE(carried.has_value());
    merged.merge(carried.value());
    const BurnReport report = makeBurnReport(objectives, merged);
    EXPECT_EQ(renderBurnJson(report), renderBurnJson(makeBurnReport(objectives, together.snapshot(TimePoint(1h)))));
    // 8 of 1100 requests were bad and 11 may be.
    EXPECT_NEAR(report.services.front().budgetLeft, 3.0 / 11, 1e-9);
    EXPECT_EQ(report.worstServed->organisation, OrganisationId("wislomar"));
}

// Guards against an organisation with a handful of requests that hides the one that is served badly.
TEST(BurnReportTest, AFewRequestsDoNotDecideTheWorstServed)
{
    BurnRecorder recorder(objectives);
    record(recorder, TimePoint(1h), 19, 19, "acacia");
    EXPECT_FALSE(makeBurnReport(objectives, recorder.snapshot(TimePoint(1h))).worstServed.has_value());
    record(recorder, TimePoint(1h), 200, 4);
    const BurnReport report = makeBurnReport(objectives, recorder.snapshot(TimePoint(1h)));
    EXPECT_EQ(report.worstServed->organisation, OrganisationId("wattle"));
    EXPECT_NE(renderBurnText(report).find("wattle, 98% of 200 requests"), std::string::npos) << renderBurnText(report);
    EXPECT_NE(renderBurnJson(report).find("not in them"), std::string::npos);
}

// Guards against memory that grows with whatever organisations callers name.
TEST(BurnRecorderTest, OrganisationsAreBounded)
{
    BurnRecorder recorder(objectives);
    for (size_t index = 0; index < BurnRecorder::maxOrganisations + 50; ++index)
        record(recorder, TimePoint(1h), 1, 0, ("o" + std::to_string(index)).c_str());
    const BurnSnapshot snapshot = recorder.snapshot(TimePoint(1h));
    EXPECT_EQ(snapshot.organisations.size(), BurnRecorder::maxOrganisations);
    EXPECT_EQ(snapshot.services.at(booking).countsFor(BurnWindow::Hour).total, BurnRecorder::maxOrganisations + 50);
}

// Guards against objectives without an error budget and against peers whose figures make no sense.
TEST(BurnReportTest, BadInputIsAnError)
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
