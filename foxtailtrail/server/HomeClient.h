#pragma once

#include "foxtailtrail/execution/ExecutionEvents.h"
#include "foxtailtrail/execution/ReadExecution.h"
#include "foxtailtrail/server/ControlSnapshot.h"
#include "foxtailtrail/server/PeerClient.h"

#include <functional>
#include <map>
#include <optional>

namespace foxtail {

// Request for the outcome of a write.
struct ResolveRequest {
    DatabaseId database;
    OrganisationId organisation;
    RequestId requestId;
    // Digest of the request, if the requester knows it. Distinguishes it from another request with the same id.
    std::optional<std::string> digest;
    TimePoint deadline;
};

json::object encodeResolveRequest(const ResolveRequest&, TimePoint now);
Result<ResolveRequest> decodeResolveRequest(const json::object&, TimePoint now);
json::object encodeResolutionResult(const ResolutionResult&);
// Returns HasRun::Unknown if the text cannot be decoded.
ResolutionResult decodeResolutionResult(const json::object&);

// A read that the home of another region has routed to one server of this home.
struct TargetedRead {
    BackendServerId server;
    ReadTarget target;
};

void encodeTargetedRead(const TargetedRead&, json::object& parameters);
Result<std::optional<TargetedRead>> decodeTargetedRead(const json::object& parameters);

// Response of a home, or the failure of the call.
struct HomeResponse {
    // Empty if the call failed. mayHaveBeenSent then reports whether the home may have received the request.
    std::optional<TransactionOutcome> outcome;
    bool mayHaveBeenSent = false;
    // The region of the primary as known to the home. Empty if unknown.
    Region primaryRegion;
};

json::object encodeHomeResponse(const HomeResponse&);
HomeResponse decodeHomeResponse(const json::object&);

// Calls to the homes that this VM holds itself. Each may block the calling fiber.
struct LocalHomes {
    std::function<HomeResponse(const TransactionRequest&, const std::optional<TargetedRead>&)> execute;
    std::function<ResolutionResult(const ResolveRequest&)> resolve;
};

// Finds the home of a database in a region and calls it, on this VM or on another one. Used by one traffic thread only.
class HomeClient {
public:
    HomeClient(VmId self, Region ownRegion, PeerClient&, const SnapshotHolder&, LocalHomes);

    // Calls the home in this VM's region for a read if the database has servers there; otherwise the home in the primary's region.
    HomeResponse execute(const TransactionRequest&);

    // Sends a read that has already been routed to the home in the server's region.
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
