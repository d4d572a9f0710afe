#include "experiments/Experiments.h"

#include <gtest/gtest.h>
#include <sstream>

namespace foxtail {

namespace {

    std::string reportForSeed(uint64_t seed)
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
TEST(ExperimentsTest, FiguresDependOnlyOnSeed)
{
    const std::string first = reportForSeed(1);
    EXPECT_FALSE(first.empty());
    EXPECT_EQ(reportForSeed(1), first);
    EXPECT_NE(reportForSeed(2), first);
}

}
