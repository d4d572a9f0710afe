#include "foxtailtrail/replication/ColdServerRule.h"

#include <gtest/gtest.h>

#include <string>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    const BackendServerId server("b1");
    constexpr TimePoint start { std::chrono::hours(1) };

    std::vector<VmId> fleetOf(size_t count)
    {
        std::vector<VmId> fleet;
        for (size_t index = 0; index < count; ++index)
            fleet.emplace_back("vm-" + std::to_string(index));
        return fleet;
    }

    // The statements that all VMs send to one cold server while each sends as much as it may, in the worst second.
    size_t worstSecond(size_t vmCount, double rate, const ColdServerBounds& bounds)
    {
        std::vector<ColdServerRule> vms;
        for (const VmId& vm : fleetOf(vmCount)) {
            vms.emplace_back(vm, bounds);
            vms.back().setFleet(fleetOf(vmCount));
            vms.back().recordReport(server, 1, 1, std::chrono::seconds(5), start);
        }
        std::vector<TimePoint> sent;
        for (TimePoint now = start; now < start + std::chrono::seconds(4); now += milliseconds(2)) {
            for (ColdServerRule& vm : vms) {
                if (!vm.maySend(server, rate, now))
                    continue;
                vm.recordSent(server, now);
                sent.push_back(now);
            }
        }
        size_t worst = 0;
        for (auto first = sent.begin(), last = sent.begin(); first != sent.end(); ++first) {
            while (last != sent.end() && *last < *first + std::chrono::seconds(1))
                ++last;
            worst = std::max(worst, static_cast<size_t>(last - first));
        }
        return worst;
    }

    // Guards against FAILBACK: the sum over all VMs exceeds the limit of a cold server, whatever the sizes of fleet and limit. Each VM
    // decides by itself, so VMs that are cut off change nothing.
    TEST(ColdServerRuleTest, AllVmsTogetherKeepTheLimit)
    {
        for (const size_t vmCount : { 1, 3, 86, 300 }) {
            for (const double rate : { 0.5, 2.0, 10.0, 50.0, 200.0 }) {
                const size_t worst = worstSecond(vmCount, rate, { 1.5, 5 });
                EXPECT_LE(static_cast<double>(worst), rate * 1.5 + 5) << vmCount << " VMs, " << rate << " a second";
                EXPECT_GE(static_cast<double>(worst), rate * 0.8) << vmCount << " VMs, " << rate << " a second";
            }
        }
        // Without permitted excess, one VM sends.
        EXPECT_LE(worstSecond(86, 10, {}), 10U);
    }

    // Guards against a server that stays limited after it is warm, or is limited where no limit is declared.
    TEST(ColdServerRuleTest, LimitsOnlyColdServersWithALimit)
    {
        ColdServerRule rule(VmId("vm-0"), { 1.5, 5 });
        rule.setFleet(fleetOf(1));
        EXPECT_TRUE(rule.maySend(server, 1, start));
        rule.recordReport(server, 1, 1, std::chrono::seconds(2), start);
        rule.recordSent(server, start);
        EXPECT_FALSE(rule.maySend(server, 1, start));
        EXPECT_TRUE(rule.maySend(server, 0, start));
        // The same report, read again later, does not make it cold for longer.
        rule.recordReport(server, 1, 1, std::chrono::seconds(2), start + std::chrono::seconds(1));
        EXPECT_TRUE(rule.isCold(server, start + milliseconds(1999)));
        EXPECT_FALSE(rule.isCold(server, start + milliseconds(2000)));
        rule.recordReport(server, 1, 1, std::chrono::seconds(2), start + std::chrono::seconds(3));
        EXPECT_FALSE(rule.isCold(server, start + std::chrono::seconds(3)));
        rule.recordReport(server, 1, 2, std::chrono::seconds(0), start + std::chrono::seconds(1));
        EXPECT_FALSE(rule.isCold(server, start + std::chrono::seconds(1)));
        // A start under the same id.
        rule.recordReport(server, 9, 1, std::chrono::seconds(2), start + std::chrono::seconds(3));
        EXPECT_TRUE(rule.isCold(server, start + std::chrono::seconds(4)));
    }

}

}
