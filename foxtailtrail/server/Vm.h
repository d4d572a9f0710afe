#pragma once

#include "foxtailtrail/server/ControlPlane.h"
#include "foxtailtrail/server/Metrics.h"
#include "foxtailtrail/server/OperatorService.h"
#include "foxtailtrail/server/TrafficWorker.h"

#include <memory>
#include <vector>

namespace foxtail {

// The ports that a VM listens on.
struct VmPorts {
    uint16_t caller = 0;
    uint16_t peer = 0;
    uint16_t operators = 0;
    uint16_t metrics = 0;
};

// A running VM: the control thread, the traffic threads and the servers of its four ports.
class Vm {
public:
    // Starts the VM. Fails with Internal if a port cannot be bound.
    static Result<std::unique_ptr<Vm>> start(const Settings&);

    // Stops the VM as stop() does, unless it has been stopped already.
    ~Vm();

    VmPorts ports() const;

    // Stops gracefully: marks the VM as leaving, refuses new connections, finishes the running requests, and hands over homes and limit
    // shards. Blocks the calling thread until done, at most for the grace period in the settings.
    void stop();

    // Returns whether an operator has requested that this VM stop.
    bool isStopRequested() const { return this->operatorService->isStopRequested(); }

private:
    explicit Vm(const Settings&);
    Result<void> listen();

    Settings settings;
    SnapshotHolder snapshots;
    Metrics metrics;
    std::unique_ptr<FiberThread> controlThread;
    std::unique_ptr<ControlPlane> controlPlane;
    std::vector<std::unique_ptr<TrafficWorker>> workers;
    std::unique_ptr<OperatorService> operatorService;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<HttpServer> metricsServer;
    bool isStopped = false;
};

}
