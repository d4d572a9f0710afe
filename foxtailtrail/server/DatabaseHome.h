#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/execution/WriteExecution.h"
#include "foxtailtrail/server/BackendLane.h"
#include "foxtailtrail/server/ExecutionDriver.h"
#include "foxtailtrail/server/HomeCaller.h"
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
    DatabaseHome(DatabaseHomeSettings, const SnapshotBoard&, HomeCaller&, DurabilityWait);

    // Runs a transaction, or a read that another home has routed. Fails with NotHome when this VM does not hold the home.
    HomeAnswer execute(const TransactionRequest&, const std::optional<TargetedRead>&);

    Resolved resolve(const ResolveRequest&);

    // Takes over the newest snapshot: claims, slots, and the end of statements on servers that can no longer be trusted.
    void update();

    // How busy the servers are whose homes are held here.
    std::map<BackendServerId, LaneLoad> loads() const;

private:
    // The server that is primary now, with its lane.
    struct PrimaryLane {
        BackendServerId server;
        Term term;
        BackendLane* lane = nullptr;
    };

    std::shared_ptr<const GroupView> view() const;
    Region primaryRegion() const;
    BackendLane* heldLane(const BackendServerId&);
    Result<PrimaryLane> awaitPrimary(TimePoint deadline);
    TransactionOutcome write(const TransactionRequest&);
    TransactionOutcome read(const TransactionRequest&);
    TransactionOutcome attemptRead(const TransactionRequest&, const ReadAttempt&, TimePoint now);
    TransactionOutcome readAt(const TransactionRequest&, const BackendServerId&, const ReadTarget&);
    ExecutionEffect drive(Execution&, BackendLane&, const BackendServerId&, Term, const OrganisationId&);

    DatabaseHomeSettings settings;
    const SnapshotBoard& board;
    HomeCaller& caller;
    DurabilityWait durabilityWait;
    ReadRouter router;
    std::map<BackendServerId, std::unique_ptr<BackendLane>> lanes;
    // What update() last acted on.
    std::shared_ptr<const GroupView> handledView;
    uint64_t readCount = 0;
};

}
