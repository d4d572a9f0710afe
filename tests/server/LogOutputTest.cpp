#include "foxtailtrail/server/LogOutput.h"
#include "foxtailtrail/server/Log.h"

#include <array>
#include <gtest/gtest.h>
#include <ostream>
#include <unistd.h>

namespace foxtail {

namespace {

    // Guards against a process that starts with an undefined level: the settings accept "trace", which the log did not know.
    TEST(LogOutputTest, KnowsEveryLevelOfTheSettings)
    {
        for (const char* name : { "trace", "debug", "info", "warning", "error" })
            EXPECT_TRUE(logLevelByName(name)) << name;
        EXPECT_FALSE(logLevelByName("loud"));
    }

    // Guards against a VM that stops serving because its log output blocks on a pipe that is not read.
    TEST(LogOutputTest, DropsLinesInsteadOfBlockingWhenPipeIsFull)
    {
        std::array<int, 2> ends {};
        ASSERT_EQ(pipe(ends.data()), 0);
        LogOutput output(ends[1]);
        std::ostream stream(&output);
        const std::string line(200, 'x');
        for (int round = 0; round < 100; ++round) {
            for (int count = 0; count < 100; ++count)
                stream << line << '\n';
            output.flush();
        }
        const uint64_t droppedLineCount = output.takeDroppedLineCount();
        EXPECT_GT(droppedLineCount, 0U);
        EXPECT_EQ(output.takeDroppedLineCount(), 0U);
        // The kept lines arrive complete and in order once the pipe is read.
        std::string received;
        std::array<char, 8192> buffer {};
        while (received.size() < size_t { 100 } * 201) {
            const ssize_t count = read(ends[0], buffer.data(), buffer.size());
            ASSERT_GT(count, 0);
            received.append(buffer.data(), static_cast<size_t>(count));
            output.flush();
        }
        EXPECT_EQ(received.substr(0, 201), line + "\n");
        close(ends[0]);
        close(ends[1]);
    }

    // Guards against a log volume that grows with the load, and against lines that are dropped without being counted.
    TEST(LogRateLimiterTest, LimitsAndCountsLinesOfRepeatedEvent)
    {
        LogRateLimiter rateLimiter;
        size_t admitted = 0;
        for (int count = 0; count < 1000; ++count)
            admitted += rateLimiter.admit("request refused", 7) ? 1 : 0;
        EXPECT_EQ(admitted, 100U);
        EXPECT_TRUE(rateLimiter.admit("another event", 7));
        EXPECT_TRUE(rateLimiter.admit("request refused", 8));
        EXPECT_EQ(rateLimiter.takeDroppedLineCounts().at("request refused"), 900U);
        EXPECT_TRUE(rateLimiter.takeDroppedLineCounts().empty());
    }

}

}
