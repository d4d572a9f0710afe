#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/execution/WriteExecution.h"
#include "foxtailtrail/server/BackendSlotPool.h"
#include "foxtailtrail/server/ExecutionDriver.h"
#include "foxtailtrail/server/HomeClient.h"
#include "foxtailtrail/session/ReadRouter.h"

#include <map>
#include <memory>

namespace foxtail {

// What a DatabaseHome is built from.
struct DatabaseHomeSettings {
    DatabaseId database;
    // Names the holder of the homes in claims.
    std::string processName;
    Region region;
    ExecutionSettings execution;
    ReadRouterSettings router;
};

// The part of a database's home that runs on a traffic thread: routes reads, queues for slots, runs transactions on the servers
// whose homes this VM holds, and sends reads that need a server of another region to the home there.
class DatabaseHome {
public:
    DatabaseHome(DatabaseHomeSettings, const SnapshotHolder&, HomeClient&, DurabilityWait);

    // Runs a transaction, or a read that another home has routed. Fails with NotHome when this VM does not hold the home.
    HomeResponse execute(const TransactionRequest&, const std::optional<TargetedRead>&);

    ResolutionResult resolve(const ResolveRequest&);

    // Takes over the newest snapshot: claims, slots, and the end of statements on servers that can no longer be trusted.
    void applySnapshot();

    // How busy the servers are whose homes are held here.
    std::map<BackendServerId, BackendLoad> backendLoads() const;

private:
    // The server that is primary now, with its lane.
    struct PrimaryServer {
        BackendServerId server;
        Term term;
        BackendSlotPool* slotPool = nullptr;
    };

    std::shared_ptr<const GroupView> groupView() const;
    Region primaryRegion() const;
    BackendSlotPool* heldSlotPool(const BackendServerId&);
    Result<PrimaryServer> awaitPrimary(TimePoint deadline);
    TransactionOutcome write(const TransactionRequest&);
    TransactionOutcome read(const TransactionRequest&);
    TransactionOutcome attemptRead(const TransactionRequest&, const ReadAttempt&, TimePoint now);
    TransactionOutcome readFromServer(const TransactionRequest&, const BackendServerId&, const ReadTarget&);
    ExecutionEffect runExecution(Execution&, BackendSlotPool&, const BackendServerId&, Term, const OrganisationId&);

    DatabaseHomeSettings settings;
    const SnapshotHolder& snapshots;
    HomeClient& homeClient;
    DurabilityWait durabilityWait;
    ReadRouter router;
    std::map<BackendServerId, std::unique_ptr<BackendSlotPool>> slotPools;
    // What update() last acted on.
    std::shared_ptr<const GroupView> handledView;
    uint64_t readCount = 0;
};

}
