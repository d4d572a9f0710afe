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

// Settings of a DatabaseHome.
struct DatabaseHomeSettings {
    DatabaseId database;
    // Identifies this process in home claims.
    std::string processName;
    Region region;
    ExecutionSettings execution;
    ReadRouterSettings router;
};

// The part of a database's home that runs on a traffic thread. It routes reads, queues requests for slots, runs transactions on the servers
// whose homes this VM holds, and forwards reads that need a server in another region to the home there.
class DatabaseHome {
public:
    DatabaseHome(DatabaseHomeSettings, const SnapshotHolder&, HomeClient&, DurabilityWait);

    // Runs a transaction, or a read that the home of another region has routed here. Fails with NotHome if this VM does not hold the home.
    HomeResponse execute(const TransactionRequest&, const std::optional<TargetedRead>&);

    ResolutionResult resolve(const ResolveRequest&);

    // Applies the newest snapshot: updates claims and slots, and interrupts statements on servers that were replaced or became unreachable.
    void applySnapshot();

    // Returns the load of the servers whose homes this VM holds.
    std::map<BackendServerId, BackendLoad> backendLoads() const;

private:
    // The current primary with its slot pool.
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
    TransactionOutcome attemptRead(const TransactionRequest&, const ReadAttempt&, TimePoint attemptStart);
    TransactionOutcome readFromServer(const TransactionRequest&, const BackendServerId&, const ReadTarget&);
    ExecutionEffect runExecution(Execution&, BackendSlotPool&, const BackendServerId&, Term, const OrganisationId&);

    DatabaseHomeSettings settings;
    const SnapshotHolder& snapshots;
    HomeClient& homeClient;
    DurabilityWait durabilityWait;
    ReadRouter router;
    std::map<BackendServerId, std::unique_ptr<BackendSlotPool>> slotPools;
    // The view that applySnapshot() handled last.
    std::shared_ptr<const GroupView> handledView;
    uint64_t readCount = 0;
};

}
