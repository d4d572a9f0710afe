#pragma once

#include "foxtailtrail/config/InstalledConfiguration.h"
#include "foxtailtrail/config/KeyTable.h"
#include "foxtailtrail/failover/GroupView.h"
#include "foxtailtrail/net/HttpClient.h"

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace foxtail {

// A VM that is believed alive, with where it takes calls.
struct LiveVm {
    VmId id;
    Endpoint peerEndpoint;
    Region region;
    DataCentre dataCentre;
    bool isLeaving = false;
    // The configuration version that it last reported.
    uint64_t configurationVersion = 0;

    bool operator==(const LiveVm&) const = default;
};

// A database and a region in which it has backend servers.
struct HomeKey {
    DatabaseId database;
    Region region;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
    auto operator<=>(const HomeKey&) const = default;
};

// What the control thread publishes for the traffic threads. It never changes after it was published.
struct ControlSnapshot {
    // Null until the first document is installed.
    ConfigurationDocument configuration;
    std::shared_ptr<const KeyTable> keyTable;
    // The VM serves nothing that depends on the configuration from this moment on.
    TimePoint servingDeadline;
    // This VM included, ordered by id.
    std::vector<LiveVm> vms;
    // The groups that this VM watches.
    std::map<DatabaseId, std::shared_ptr<const GroupView>> groups;
    // The VM that should be home of a database in a region, as this VM computes it.
    std::map<HomeKey, VmId> homes;
    // The epochs of the homes that this VM holds, by server.
    std::map<BackendServerId, uint64_t> homeEpochs;

    // The live VM with the id, or null.
    const LiveVm* findVm(const VmId& id) const
    {
        for (const LiveVm& vm : this->vms) {
            if (vm.id == id)
                return &vm;
        }
        return nullptr;
    }
};

// Holds the newest snapshot. One thread publishes, any thread reads.
class SnapshotHolder {
public:
    SnapshotHolder()
        : newest(std::make_shared<const ControlSnapshot>())
    {
    }

    std::shared_ptr<const ControlSnapshot> current() const { return this->newest.load(); }
    void publish(std::shared_ptr<const ControlSnapshot> snapshot) { this->newest.store(std::move(snapshot)); }

private:
    std::atomic<std::shared_ptr<const ControlSnapshot>> newest;
};

}
