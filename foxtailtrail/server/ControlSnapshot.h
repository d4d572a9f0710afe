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

// A VM that is assumed alive, with its peer endpoint.
struct LiveVm {
    VmId id;
    Endpoint peerEndpoint;
    Region region;
    DataCentre dataCentre;
    bool isLeaving = false;
    // The configuration version in its last report.
    uint64_t configurationVersion = 0;

    bool operator==(const LiveVm&) const = default;
};

// A database and one of the regions that contain its backend servers.
struct HomeKey {
    DatabaseId database;
    Region region;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
    auto operator<=>(const HomeKey&) const = default;
};

// Immutable state that the control thread publishes for the traffic threads.
struct ControlSnapshot {
    // Null until the first document is installed.
    ConfigurationDocument configuration;
    std::shared_ptr<const KeyTable> keyTable;
    // From this time on the VM refuses every request that depends on the configuration.
    TimePoint servingDeadline;
    // The live VMs including this one, ordered by id.
    std::vector<LiveVm> vms;
    // The groups for which this VM runs a group controller.
    std::map<DatabaseId, std::shared_ptr<const GroupView>> groups;
    // The VM that should be the home of a database in a region, according to this VM's placement.
    std::map<HomeKey, VmId> homes;
    // The epochs of the homes that this VM holds, by server.
    std::map<BackendServerId, uint64_t> homeEpochs;

    // Returns the live VM with the given id, or null.
    const LiveVm* findVm(const VmId& id) const
    {
        for (const LiveVm& vm : this->vms) {
            if (vm.id == id)
                return &vm;
        }
        return nullptr;
    }
};

// Holder of the newest snapshot. One thread publishes; any thread may read.
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
