#include "tests/limits/LendingFleet.h"

#include <gtest/gtest.h>
#include <tuple>

namespace foxtail {

// Guards against wrongful refusals of an organisation within its rate whose callers are skewed 5:1 over the VMs.
class SkewTest : public testing::TestWithParam<std::vector<double>> { };

TEST_P(SkewTest, AnOrganisationWithinItsRateIsServed)
{
    FleetOptions options;
    options.weights = GetParam();
    LendingFleet fleet(options);
    fleet.run(std::chrono::seconds(120));
    EXPECT_LE(fleet.largestExcess(), 1e-6);
    EXPECT_GT(fleet.arrived, 9000U);
    EXPECT_LT(static_cast<double>(fleet.wronglyRefused) / static_cast<double>(fleet.arrived), 0.001) << fleet.wronglyRefused;
}

INSTANTIATE_TEST_SUITE_P(
    Skews, SkewTest, testing::Values(std::vector<double> { 5, 1, 1, 1, 1, 1, 1, 1, 1 }, std::vector<double> { 1, 1, 1, 1, 5, 5, 5, 5, 5 }));

}
