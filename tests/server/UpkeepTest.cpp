#include "foxtailtrail/limits/LimitHalves.h"
#include "foxtailtrail/server/ConfigurationMaintenance.h"

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

    // A fleet in which "vm2" has died, with the given silence.
    MaintenanceInput fleetWithout(const Configuration& configuration, const std::vector<std::string>& ids, Duration silence)
    {
        MaintenanceInput view;
        view.self = VmId(ids.front());
        view.configuration = std::make_shared<const Configuration>(configuration);
        for (const std::string& id : ids)
            view.liveVms.push_back(liveVm(id));
        for (const auto& [shard, owner] : configuration.limitShards)
            view.candidates.push_back({ owner.vm, std::find(ids.begin(), ids.end(), owner.vm.value) != ids.end(), false, silence });
        for (const std::string& id : ids)
            view.candidates.push_back({ VmId(id), true, false, Duration(0) });
        view.uptime = std::chrono::seconds(60);
        return view;
    }

    Configuration applied(const Configuration& base, const ChangeAction& action)
    {
        return applyChange(base, { "change-" + std::to_string(base.version), "test", std::nullopt, action }).value();
    }

    Configuration firstConfiguration(const std::vector<std::string>& ids)
    {
        MaintenanceInput empty = fleetWithout({}, ids, {});
        empty.configuration = nullptr;
        empty.isStoreEmpty = true;
        Configuration configuration = applied({}, *dueConfigurationChange(empty, {}));
        const MaintenanceInput view = fleetWithout(configuration, ids, {});
        return applied(configuration, *dueConfigurationChange(view, {}));
    }

}

// Guards against a VM whose death takes both halves of a limit, which would refuse every request of an organisation.
TEST(UpkeepTest, BothHalvesOfALimitNeverHaveOneOwner)
{
    const std::vector<std::string> ids { "vm1", "vm2", "vm3", "vm4" };
    Configuration configuration = firstConfiguration(ids);
    ASSERT_EQ(configuration.limitShards.size(), limitShardCount);
    const MaintenanceInput afterDeath = fleetWithout(configuration, { "vm1", "vm3", "vm4" }, std::chrono::seconds(4));
    configuration = applied(configuration, *dueConfigurationChange(afterDeath, {}));
    for (int index = 0; index < 500; ++index) {
        const auto halves = limitHalfIds(OrganisationId("organisation" + std::to_string(index)));
        const VmId first = configuration.limitShards.at(limitShardOf(halves[0])).vm;
        const VmId second = configuration.limitShards.at(limitShardOf(halves[1])).vm;
        EXPECT_NE(first, second) << index;
        EXPECT_NE(first, VmId("vm2"));
    }
}

// Guards against limits that add up to more than the declared rate and burst.
TEST(UpkeepTest, HalvesAddUpToTheLimit)
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

// Guards against owners that are replaced on a short silence, or by every VM at once.
TEST(UpkeepTest, OnlyTheFirstVmActsAndOnlyAfterTheSilence)
{
    const Configuration configuration = firstConfiguration({ "vm1", "vm2", "vm3" });
    EXPECT_FALSE(dueConfigurationChange(fleetWithout(configuration, { "vm1", "vm3" }, std::chrono::seconds(2)), {}));
    EXPECT_TRUE(dueConfigurationChange(fleetWithout(configuration, { "vm1", "vm3" }, std::chrono::seconds(3)), {}));
    MaintenanceInput second = fleetWithout(configuration, { "vm1", "vm3" }, std::chrono::seconds(3));
    second.self = VmId("vm3");
    EXPECT_FALSE(dueConfigurationChange(second, {}));
}

}
