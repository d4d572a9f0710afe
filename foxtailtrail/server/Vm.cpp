#include "foxtailtrail/server/Vm.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/filters/ResponseBuilder.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/server/Log.h"

#include <chrono>

namespace foxtail {

namespace {

    // Returns a number that increases with every start of a VM, unless the system clock is set back between two starts.
    uint64_t makeIncarnation()
    {
        return static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    // Time for the peers to be notified that this VM is leaving: two ping intervals.
    constexpr Duration leavingNoticePeriod = std::chrono::milliseconds(500);

}

Vm::Vm(const Settings& settings)
    : settings(settings)
    , controlThread(FiberThread::start("control"))
{
    const uint64_t incarnation = makeIncarnation();
    const std::string processName = settings.vmId + "-" + std::to_string(incarnation);
    LiveVm self;
    self.id = VmId(settings.vmId);
    self.peerEndpoint = { settings.listenAddress, settings.peerPort };
    self.region = Region(settings.vmRegion);
    self.dataCentre = DataCentre(settings.vmDataCentre);
    this->controlPlane = std::make_unique<ControlPlane>(
        ControlPlaneSettings { this->settings, self, incarnation, processName }, this->snapshots, this->metrics);
    const auto collectLoads = [this] {
        std::map<BackendServerId, BackendLoad> loadByServer;
        for (const auto& worker : this->workers)
            loadByServer.merge(worker->backendLoads());
        return loadByServer;
    };
    this->operatorService
        = std::make_unique<OperatorService>(OperatorServiceSettings { this->settings, self.id, processName, collectLoads }, this->snapshots,
            *this->controlPlane, this->metrics);

    const auto workerOf = [this](const DatabaseId& database) -> TrafficWorker& {
        return *this->workers[stableHash(database.value) % this->workers.size()];
    };
    for (size_t index = 0; index < settings.trafficThreads; ++index) {
        TrafficContext context { this->settings, self, processName, incarnation, this->snapshots, this->metrics, *this->controlThread,
            *this->controlPlane, workerOf, *this->operatorService };
        this->workers.push_back(std::make_unique<TrafficWorker>(std::move(context), index));
    }
}

Result<std::unique_ptr<Vm>> Vm::start(const Settings& settings)
{
    std::unique_ptr<Vm> vm(new Vm(settings));
    BOOST_OUTCOME_TRY(vm->listen());
    const VmPorts ports = vm->ports();
    logEvent(LogLevel::Info, "listening",
        { { "callerPort", ports.caller }, { "peerPort", ports.peer }, { "operatorPort", ports.operators },
            { "metricsPort", ports.metrics } });
    return vm;
}

Result<void> Vm::listen()
{
    uint16_t callerPort = this->settings.callerPort;
    uint16_t peerPort = this->settings.peerPort;
    for (const auto& worker : this->workers) {
        BOOST_OUTCOME_TRY(worker->listen(callerPort, peerPort));
        // The other traffic threads share the ports that the operating system picked for the first one.
        callerPort = worker->callerPort();
        peerPort = worker->peerPort();
    }
    this->controlThread->call([&] {
        this->controlPlane->setPeerPort(peerPort);
        this->controlPlane->start();
    });

    HttpServerSettings server;
    server.address = this->settings.listenAddress;
    server.port = this->settings.operatorPort;
    server.errorResponse = ResponseBuilder::errorResponse;
    BOOST_OUTCOME_TRY(this->operatorServer, HttpServer::listen(*this->controlThread, server, [this](const HttpRequest& request) {
        return this->operatorService->handleRequest(request);
    }));
    server.port = this->settings.metricsPort;
    BOOST_OUTCOME_TRY(this->metricsServer, HttpServer::listen(*this->controlThread, server, [this](const HttpRequest& request) {
        if (request.target != "/metrics")
            return ResponseBuilder::errorResponse({ ErrorKind::UnknownRoute, "the metrics port serves /metrics" });
        return HttpResponse { 200, "text/plain; version=0.0.4", {}, this->operatorService->exposition() };
    }));
    return succeed();
}

VmPorts Vm::ports() const
{
    return { this->workers.front()->callerPort(), this->workers.front()->peerPort(), this->operatorServer->port(),
        this->metricsServer->port() };
}

void Vm::stop()
{
    if (this->isStopped)
        return;
    this->isStopped = true;
    logEvent(LogLevel::Info, "stopping");
    const TimePoint deadline = now() + this->settings.stopGracePeriod;
    // Peers send no new requests to a leaving VM and claim its homes.
    this->controlThread->call([this] { this->controlPlane->setLeaving(); });
    sleepFor(leavingNoticePeriod);
    // All workers refuse callers before the first one is waited for.
    for (const auto& worker : this->workers)
        worker->stopAcceptingCallers();
    bool allFinished = true;
    for (const auto& worker : this->workers)
        allFinished = worker->drainCallers(deadline) && allFinished;
    for (const auto& worker : this->workers)
        worker->stop(deadline);
    this->controlThread->call([&] { this->controlPlane->stop(deadline); });
    this->operatorServer->drain(deadline);
    this->metricsServer->drain(deadline);
    logEvent(LogLevel::Info, "stopped", { { "allRequestsFinished", allFinished } });
}

Vm::~Vm() { this->stop(); }

}
