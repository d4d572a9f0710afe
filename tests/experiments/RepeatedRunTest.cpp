#include "experiments/Experiments.h"

#include <gtest/gtest.h>
#include <sstream>

namespace foxtail {

namespace {

    std::string figures(uint64_t seed)
    {
        Report report;
        runQueueingExperiment(wattle(), seed, report);
        runAcknowledgementExperiment(wislomar(), seed, report);
        std::ostringstream text;
        report.printJson(text);
        return text.str();
    }

}

// Guards against figures that depend on anything but the seed, or that do not depend on it.
TEST(ExperimentsTest, OnlyTheSeedDecidesTheFigures)
{
    const std::string first = figures(1);
    EXPECT_FALSE(first.empty());
    EXPECT_EQ(figures(1), first);
    EXPECT_NE(figures(2), first);
}

}
