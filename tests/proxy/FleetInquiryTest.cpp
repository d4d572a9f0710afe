#include "foxtailtrail/proxy/FleetInquiry.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const TimePoint sent { std::chrono::hours(1) };
    // The clocks of two VMs differ by any time.
    constexpr Duration clockOffset = std::chrono::hours(7);

    GroupReport fullReport()
    {
        GroupReport report;
        report.remembersFrom = sent - milliseconds(9000);
        report.primaryLedAt = sent - milliseconds(50);
        report.commitSentAt = sent - milliseconds(40);
        report.sampledAt = sent - milliseconds(30);
        report.sampledLogPoint = LogPoint { Term { 3 }, Position { 12 } };
        report.acknowledged = LogPoint { Term { 3 }, Position { 11 } };
        report.holdsBackCommits = true;
        return report;
    }

    // Guards against a proof that seems newer than it is, because the time of a datagram is not known.
    TEST(FleetInquiryTest, DecodesTimesAsTheBoundThatMakesTheEvidenceWeaker)
    {
        const TimePoint askedAt = sent + clockOffset - milliseconds(20);
        const TimePoint receivedAt = sent + clockOffset + milliseconds(30);
        const auto decoded = decodeGroupReport(VmId("v2"), encodeGroupReport(fullReport(), sent), askedAt, receivedAt);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->vm, VmId("v2"));
        EXPECT_EQ(decoded->receivedAt, receivedAt);
        EXPECT_EQ(decoded->remembersFrom, receivedAt - milliseconds(9000));
        EXPECT_EQ(decoded->primaryLedAt, receivedAt - milliseconds(50));
        EXPECT_EQ(decoded->commitSentAt, askedAt - milliseconds(40));
        EXPECT_EQ(decoded->sampledAt, askedAt - milliseconds(30));
        EXPECT_EQ(decoded->sampledLogPoint, fullReport().sampledLogPoint);
        EXPECT_EQ(decoded->acknowledged, fullReport().acknowledged);
        EXPECT_TRUE(decoded->holdsBackCommits);
    }

    TEST(FleetInquiryTest, DecodesReportOfVmThatKnowsNothing)
    {
        GroupReport report;
        report.remembersFrom = sent;
        const auto decoded = decodeGroupReport(VmId("v2"), encodeGroupReport(report, sent), sent, sent);
        ASSERT_TRUE(decoded);
        EXPECT_FALSE(decoded->primaryLedAt || decoded->commitSentAt || decoded->sampledAt || decoded->acknowledged);
        EXPECT_FALSE(decoded->holdsBackCommits);
    }

    // Guards against a malformed datagram that is taken for a promise or a proof.
    TEST(FleetInquiryTest, RefusesMalformedReports)
    {
        const json::object valid = encodeGroupReport(fullReport(), sent);
        const auto decode = [](const json::object& object) { return decodeGroupReport(VmId("v2"), object, sent, sent); };
        ASSERT_TRUE(decode(valid));
        for (const char* name : { "remembersMs", "holdsBack", "sampled" }) {
            json::object missing = valid;
            missing.erase(name);
            EXPECT_FALSE(decode(missing)) << name;
        }
        for (const char* name : { "remembersMs", "ledMs", "commitMs", "sampledMs", "acknowledged", "holdsBack" }) {
            json::object wrongType = valid;
            wrongType[name] = "x";
            EXPECT_FALSE(decode(wrongType)) << name;
        }
        json::object future = valid;
        future["commitMs"] = -1;
        EXPECT_FALSE(decode(future));
    }

}

}
