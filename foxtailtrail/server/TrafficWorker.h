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

// The parts of a VM that a traffic thread works with.
struct TrafficContext {
    const Settings& settings;
    LiveVm self;
    std::string processName;
    uint64_t incarnation = 0;
    const SnapshotHolder& snapshots;
    Metrics& metrics;
    FiberThread& controlThread;
    ControlPlane& controlPlane;
    // Finds the worker that holds the home of a database.
    std::function<class TrafficWorker&(const DatabaseId&)> workerOf;
    OperatorService& operatorService;
};

// One traffic thread: takes requests of callers and calls of other VMs, and holds the homes of its share of the databases.
class TrafficWorker {
public:
    TrafficWorker(TrafficContext, size_t index);
    ~TrafficWorker();

    // Starts to listen. Ports of 0 are picked by the system. Fails when an address cannot be bound.
    Result<void> listen(uint16_t callerPort, uint16_t peerPort);

    uint16_t callerPort() const { return this->callerServer->port(); }
    uint16_t peerPort() const { return this->peerServer->port(); }

    // Refuses new connections of callers and waits for the running requests. Returns false when some were left at the deadline.
    bool drainCallers(TimePoint deadline);

    // Returns the borrowed tokens, closes the peer port and ends the thread.
    void stop(TimePoint deadline);

    // Runs on this worker's thread, whatever thread calls it.
    HomeResponse executeOnOwnThread(const TransactionRequest&, const std::optional<TargetedRead>&);
    ResolutionResult resolveOnOwnThread(const ResolveRequest&);
    std::map<BackendServerId, BackendLoad> backendLoads();

    uint64_t transferredPeerBytes(TrafficPurpose);

private:
    HttpResponse handleCallerRequest(const HttpRequest&);
    HttpResponse handlePeerRequest(const HttpRequest&);
    void addPeerMethods();
    // Adds a peer call that runs on the control thread, where all control state lives.
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
