#include "foxtailtrail/proxy/RelayFrame.h"

#include <gtest/gtest.h>
#include <random>

namespace foxtail {

namespace {

    // Guards against an encoder and decoder that disagree about a field of a frame.
    TEST(RelayFrameTest, ReadsEveryKindAsWritten)
    {
        std::string bytes;
        writeRelayOpen(bytes, 7, { BackendServerId("b1"), "org", 3, 450, -20, true }, 2, "RESET\r\nREAD\r\n");
        writeRelayStatements(bytes, 8, 1, "COMMIT\r\n");
        writeRelayRelease(bytes, 9, true);
        writeRelayDenied(bytes, 10, AcquireOutcome::Unreachable, std::nullopt);
        writeRelayDenied(bytes, 10, AcquireOutcome::Exhausted, 35);
        writeRelayAnswer(bytes, 11, std::string("DONE \0 x\r\n", 10));
        writeRelaySignal(bytes, RelayFrameKind::Lost, 12);
        std::string_view rest = bytes;
        RelayFrame frame;
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.kind, RelayFrameKind::Open);
        EXPECT_EQ(frame.channel, 7U);
        EXPECT_EQ(frame.request.server, BackendServerId("b1"));
        EXPECT_EQ(frame.request.organisation, "org");
        EXPECT_EQ(frame.request.priority, 3U);
        EXPECT_EQ(frame.request.maxWaitMs, 450);
        EXPECT_EQ(frame.request.objectiveInMs, -20);
        EXPECT_TRUE(frame.request.isControl);
        EXPECT_EQ(frame.statementCount, 2);
        EXPECT_EQ(frame.bytes, "RESET\r\nREAD\r\n");
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.kind, RelayFrameKind::Statements);
        EXPECT_EQ(frame.bytes, "COMMIT\r\n");
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.kind, RelayFrameKind::Release);
        EXPECT_TRUE(frame.leavesState);
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.denial, AcquireOutcome::Unreachable);
        EXPECT_EQ(frame.returnAfterMs, std::nullopt);
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.denial, AcquireOutcome::Exhausted);
        EXPECT_EQ(frame.returnAfterMs, 35U);
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.bytes, std::string_view("DONE \0 x\r\n", 10));
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.kind, RelayFrameKind::Lost);
        EXPECT_EQ(frame.channel, 12U);
        EXPECT_TRUE(rest.empty());
        EXPECT_EQ(readRelayFrame(rest, frame), RelayReadResult::Incomplete);
    }

    // Guards against reports that are read differently than they were written, or that replace what they accompany. Numbers that do not fit
    // are reported as the largest.
    TEST(RelayFrameTest, ReadsReportsOfLoadAsWritten)
    {
        const ServerLoad load { 7, 300, 6, std::chrono::microseconds(28'400) };
        const ServerLoad huge { 1000, 100'000, 6, std::chrono::seconds(60) };
        std::string bytes;
        writeRelayAnswer(bytes, 11, "DONE\r\n", load);
        writeRelayDenied(bytes, 12, AcquireOutcome::Exhausted, std::nullopt, huge);
        writeRelayLoads(bytes, 13, { { loadReportKey(BackendServerId("b1")), std::chrono::milliseconds(250), load } });
        std::string_view rest = bytes;
        RelayFrame frame;
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.kind, RelayFrameKind::Answer);
        EXPECT_EQ(frame.bytes, "DONE\r\n");
        EXPECT_EQ(frame.load, load);
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.kind, RelayFrameKind::Denied);
        EXPECT_EQ(frame.denial, AcquireOutcome::Exhausted);
        EXPECT_EQ(frame.load, (ServerLoad { 255, 65535, 6, std::chrono::microseconds(6'553'500) }));
        ASSERT_EQ(readRelayFrame(rest, frame), RelayReadResult::Complete);
        EXPECT_EQ(frame.kind, RelayFrameKind::Loads);
        ASSERT_EQ(frame.reports.size(), 1U);
        EXPECT_EQ(frame.reports[0].serverKey, loadReportKey(BackendServerId("b1")));
        EXPECT_EQ(frame.reports[0].age, std::chrono::milliseconds(250));
        EXPECT_EQ(frame.reports[0].load, load);
        EXPECT_TRUE(rest.empty());
    }

    // Guards against a decoder that accepts an incomplete frame as a complete one.
    TEST(RelayFrameTest, ReportsPartialFrameAsIncomplete)
    {
        std::string bytes;
        writeRelayOpen(bytes, 7, { BackendServerId("b1"), "org", 3, 450 }, 2, "READ\r\n");
        RelayFrame frame;
        for (size_t size = 0; size < bytes.size(); ++size) {
            std::string_view part = std::string_view(bytes).substr(0, size);
            EXPECT_EQ(readRelayFrame(part, frame), RelayReadResult::Incomplete) << size;
            EXPECT_EQ(part.size(), size);
        }
    }

    // Guards against corrupted bytes that crash the decoder or make it read beyond the end of a frame.
    TEST(RelayFrameTest, RejectsDamagedFramesOrReadsThemWithinBounds)
    {
        std::mt19937 random(1);
        for (int round = 0; round < 20000; ++round) {
            std::string bytes;
            writeRelayOpen(bytes, 7, { BackendServerId("b1"), "org", 3, 450 }, 2, "READ\r\n");
            writeRelayDenied(bytes, 7, AcquireOutcome::Exhausted, 35);
            for (int change = 0; change < 3; ++change)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            std::string_view rest = bytes;
            RelayFrame frame;
            while (readRelayFrame(rest, frame) == RelayReadResult::Complete) {
                EXPECT_LE(frame.bytes.size(), bytes.size());
                EXPECT_NE(frame.denial, AcquireOutcome::Acquired);
            }
        }
        std::string_view oversized("\xff\xff\xff\xff\x00", 5);
        RelayFrame frame;
        EXPECT_EQ(readRelayFrame(oversized, frame), RelayReadResult::Malformed);
    }

}

}
