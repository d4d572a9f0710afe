#include "foxtailtrail/server/ConfigurationMaintenance.h"
#include "foxtailtrail/limits/LimitHalves.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace foxtail {

namespace {

    LiveVm liveVm(const std::string& id)
    {
        LiveVm vm;
        vm.id = VmId(id);
        vm.peerEndpoint = { "127.0.0.1", 1 };
        return vm;
    }

    // Returns the input for a fleet in which the VMs with the given ids are alive; the last heartbeat of any other owner has the given age.
    MaintenanceInput fleetOf(const Configuration& configuration, const std::vector<std::string>& ids, Duration heartbeatAge)
    {
        MaintenanceInput input;
        input.self = VmId(ids.front());
        input.configuration = std::make_shared<const Configuration>(configuration);
        for (const std::string& id : ids)
            input.liveVms.push_back(liveVm(id));
        for (const auto& [shard, owner] : configuration.limitShards)
            input.candidates.push_back({ owner.vm, std::find(ids.begin(), ids.end(), owner.vm.value) != ids.end(), false, heartbeatAge });
        for (const std::string& id : ids)
            input.candidates.push_back({ VmId(id), true, false, Duration(0) });
        input.uptime = std::chrono::seconds(60);
        return input;
    }

    Configuration applied(const Configuration& base, const ChangeAction& action)
    {
        return applyChange(base, { "change-" + std::to_string(base.version), "test", std::nullopt, action }).value();
    }

    Configuration firstConfiguration(const std::vector<std::string>& ids)
    {
        MaintenanceInput empty = fleetOf({}, ids, {});
        empty.configuration = nullptr;
        empty.isStoreEmpty = true;
        Configuration configuration = applied({}, *dueConfigurationChange(empty, {}));
        const MaintenanceInput input = fleetOf(configuration, ids, {});
        return applied(configuration, *dueConfigurationChange(input, {}));
    }

}

// Guards against one VM that owns both halves of a limit: its failure would cause every request of the organisation to be refused.
TEST(ConfigurationMaintenanceTest, AssignsHalvesOfLimitToDifferentOwners)
{
    const std::vector<std::string> ids { "vm1", "vm2", "vm3", "vm4" };
    Configuration configuration = firstConfiguration(ids);
    ASSERT_EQ(configuration.limitShards.size(), limitShardCount);
    const MaintenanceInput afterFailure = fleetOf(configuration, { "vm1", "vm3", "vm4" }, std::chrono::seconds(4));
    configuration = applied(configuration, *dueConfigurationChange(afterFailure, {}));
    for (int index = 0; index < 500; ++index) {
        const auto halves = limitHalfIds(OrganisationId("organisation" + std::to_string(index)));
        const VmId first = configuration.limitShards.at(limitShardOf(halves[0])).vm;
        const VmId second = configuration.limitShards.at(limitShardOf(halves[1])).vm;
        EXPECT_NE(first, second) << index;
        EXPECT_NE(first, VmId("vm2"));
    }
}

// Guards against halves that add up to more than the declared rate and burst.
TEST(ConfigurationMaintenanceTest, HalvesAddUpToLimit)
{
    const auto halves = halveLimits({ { OrganisationId("wattle"), { OrganisationId("wattle"), 201, 99 } } });
    double rate = 0;
    double burst = 0;
    for (const auto& [id, half] : halves) {
        rate += half.rate;
        burst += half.burst;
    }
    EXPECT_EQ(halves.size(), limitHalfCount);
    EXPECT_DOUBLE_EQ(rate, 201);
    EXPECT_DOUBLE_EQ(burst, 99);
}

// Guards against owners that are replaced after a short heartbeat gap, or by every VM at once.
TEST(ConfigurationMaintenanceTest, ProposesNewOwnersOnlyOnFirstVmAfterHeartbeatTimeout)
{
    const Configuration configuration = firstConfiguration({ "vm1", "vm2", "vm3" });
    EXPECT_FALSE(dueConfigurationChange(fleetOf(configuration, { "vm1", "vm3" }, std::chrono::seconds(2)), {}));
    EXPECT_TRUE(dueConfigurationChange(fleetOf(configuration, { "vm1", "vm3" }, std::chrono::seconds(3)), {}));
    MaintenanceInput second = fleetOf(configuration, { "vm1", "vm3" }, std::chrono::seconds(3));
    second.self = VmId("vm3");
    EXPECT_FALSE(dueConfigurationChange(second, {}));
}

}
