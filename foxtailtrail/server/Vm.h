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

// One running VM: the control thread, the traffic threads and the servers of its four ports.
class Vm {
public:
    // Starts everything. Fails with Internal when a port cannot be bound.
    static Result<std::unique_ptr<Vm>> start(const Settings&);

    // Stops without the courtesies of stop().
    ~Vm();

    VmPorts ports() const;

    // Stops gracefully: announces that it leaves, refuses new connections, finishes the requests it has, hands over what it
    // holds. Blocks the calling thread until then, at most for the grace period of the settings.
    void stop();

    // Whether an operator has asked this VM to stop.
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
