#pragma once

#include "foxtailtrail/execution/ExecutionEvents.h"
#include "foxtailtrail/execution/ReadExecution.h"
#include "foxtailtrail/server/ControlSnapshot.h"
#include "foxtailtrail/server/PeerClient.h"

#include <functional>
#include <map>
#include <optional>

namespace foxtail {

// Asks whether a write ran.
struct ResolveRequest {
    DatabaseId database;
    OrganisationId organisation;
    RequestId requestId;
    // Tells a row of another request under the same id apart, when the asker knows its own.
    std::optional<std::string> digest;
    TimePoint deadline;
};

json::object encodeResolveRequest(const ResolveRequest&, TimePoint now);
Result<ResolveRequest> decodeResolveRequest(const json::object&, TimePoint now);
json::object encodeResolutionResult(const ResolutionResult&);
// Text that cannot be read leaves the question open: Ran::Unknown.
ResolutionResult decodeResolutionResult(const json::object&);

// A read that the home of another region routed to one server of this home.
struct TargetedRead {
    BackendServerId server;
    ReadTarget target;
};

void encodeTargetedRead(const TargetedRead&, json::object& parameters);
Result<std::optional<TargetedRead>> decodeTargetedRead(const json::object& parameters);

// What a home answered, or that the call broke.
struct HomeResponse {
    // Empty when the call broke. Then sent tells whether the home may have the request.
    std::optional<TransactionOutcome> outcome;
    bool mayHaveBeenSent = false;
    // Where the home believes the primary to be. Empty when it does not know.
    Region primaryRegion;
};

json::object encodeHomeResponse(const HomeResponse&);
HomeResponse decodeHomeResponse(const json::object&);

// The homes that this VM holds itself. Each call may block the calling fiber.
struct LocalHomes {
    std::function<HomeResponse(const TransactionRequest&, const std::optional<TargetedRead>&)> execute;
    std::function<ResolutionResult(const ResolveRequest&)> resolve;
};

// Finds the home of a database in a region and calls it, on this VM or another. It belongs to one traffic thread.
class HomeClient {
public:
    HomeClient(VmId self, Region ownRegion, PeerClient&, const SnapshotHolder&, LocalHomes);

    // Calls the home in the region that suits the request: the own one for a read, that of the primary for a write.
    HomeResponse execute(const TransactionRequest&);

    // Calls the home of the server's region with a read that was already routed.
    HomeResponse executeTargetedRead(const TransactionRequest&, const TargetedRead&, const Region& serverRegion);

    ResolutionResult resolve(const ResolveRequest&);

private:
    Region regionFor(const DatabaseId&, TransactionKind) const;
    std::optional<LiveVm> homeOf(const DatabaseId&, const Region&) const;
    HomeResponse callHome(const TransactionRequest&, const std::optional<TargetedRead>&, const Region&);
    Result<json::object> callPeer(const LiveVm&, const std::string& method, const json::object& parameters, TimePoint deadline);
    void recordPrimaryRegion(const DatabaseId&, const HomeResponse&);

    VmId self;
    Region ownRegion;
    PeerClient& peers;
    const SnapshotHolder& snapshots;
    LocalHomes localHomes;
    std::map<DatabaseId, Region> knownPrimaryRegions;
};

}
