#pragma once

#include "foxtailtrail/filters/RequestContext.h"
#include "foxtailtrail/net/HttpServer.h"
#include "foxtailtrail/net/JsonRpc.h"
#include "foxtailtrail/server/ControlPlane.h"
#include "foxtailtrail/server/DatabaseHome.h"
#include "foxtailtrail/server/OperatorService.h"
#include "foxtailtrail/server/RateLimiter.h"

#include <memory>
#include <vector>

namespace foxtail {

// The parts of a VM that a traffic thread uses.
struct TrafficContext {
    const Settings& settings;
    LiveVm self;
    std::string processName;
    uint64_t incarnation = 0;
    const SnapshotHolder& snapshots;
    Metrics& metrics;
    FiberThread& controlThread;
    ControlPlane& controlPlane;
    // Returns the worker that holds the home of a database.
    std::function<class TrafficWorker&(const DatabaseId&)> workerOf;
    OperatorService& operatorService;
};

// One traffic thread. It serves requests of callers and calls of other VMs, and holds the homes of its share of the databases.
class TrafficWorker {
public:
    TrafficWorker(TrafficContext, size_t index);
    ~TrafficWorker();

    // Starts to listen. For port 0 the operating system picks a port. Fails if an address cannot be bound.
    Result<void> listen(uint16_t callerPort, uint16_t peerPort);

    uint16_t callerPort() const { return this->callerServer->port(); }
    uint16_t peerPort() const { return this->peerServer->port(); }

    // Refuses new connections of callers.
    void stopAcceptingCallers();
    // Refuses new connections of callers and waits for the running requests. Returns false if some were still running at the deadline.
    bool drainCallers(TimePoint deadline);

    // Returns the borrowed tokens, ends the loops and closes the peer port.
    void stop(TimePoint deadline);

    // Run on this worker's thread, whichever thread calls them.
    HomeResponse executeOnOwnThread(const TransactionRequest&, const std::optional<TargetedRead>&);
    ResolutionResult resolveOnOwnThread(const ResolveRequest&);
    std::map<BackendServerId, BackendLoad> backendLoads();

    uint64_t transferredPeerBytes(TrafficPurpose);

private:
    HttpResponse handleCallerRequest(const HttpRequest&);
    HttpResponse handlePeerRequest(const HttpRequest&);
    void addPeerMethods();
    // Adds a peer call that runs on the control thread, which owns all control state.
    template <typename Target>
    void addControlMethod(const char* name, Target&, Result<json::object> (Target::*method)(const json::object&));
    DatabaseHome& findOrCreateHome(const DatabaseId&);
    template <typename Function> auto runOnOwnThread(Function);

    TrafficContext context;
    size_t index;
    std::unique_ptr<FiberThread> thread;
    PeerClient peers;
    std::unique_ptr<RateLimiter> rateLimiter;
    std::unique_ptr<HomeClient> homeClient;
    std::vector<std::unique_ptr<RequestFilter>> filters;
    std::map<DatabaseId, std::unique_ptr<DatabaseHome>> homes;
    JsonRpcDispatcher dispatcher;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> peerServer;
    std::atomic<bool> isStopping { false };
    std::atomic<size_t> runningLoopCount { 0 };
};

}
