#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The consistency of a route's reads.
enum class Consistency : uint8_t {
    // Every acknowledged commit is visible.
    Primary,
    // Commits acknowledged longer ago than the staleness bound are visible.
    BoundedStaleness,
    // Like BoundedStaleness, and the session's own commits are visible.
    ReadYourWrites,
};

// The route of clients to one group of backend servers.
struct DatabaseRoute {
    DatabaseId database;
    ServiceName service;
    Consistency consistency = Consistency::Primary;
    // Limits the execution time of a single statement.
    Duration statementTimeout { 0 };
    // The response time objective of a complete operation.
    Duration latencyObjective { 0 };
    Duration maxStaleness { 0 };
    // 0 is the highest priority.
    uint32_t priority = 0;
    // True if clients need no key.
    bool isOpenAccess = false;
    // The regions in which its statements may run, and whose VMs may receive them. Empty without restriction.
    std::vector<Region> allowedRegions {};
};

// The settings of a group of replicated backend servers.
struct GroupSettings {
    ServiceName service;
    // The number of connections that each backend server accepts from all VMs together.
    uint32_t maxConnections = 0;
    // The number of replicas that must hold a commit before it is acknowledged.
    uint32_t synchronousReplicas = 0;
    // The statements a second that all VMs together may send to a cold server. 0 means no limit.
    double coldStatementsPerSecond = 0;
};

// An organisation with its fleet-wide limit of operations.
struct OrganisationLimit {
    OrganisationId organisation;
    double ratePerSecond = 0;
    double burst = 0;
    // Like DatabaseRoute::allowedRegions, for all statements of the organisation.
    std::vector<Region> allowedRegions {};
    bool operator==(const OrganisationLimit&) const = default;
};

// One version of the operators' declarations in the form that the session path uses. Immutable once installed. Keys are stored only as
// digests.
struct RouteTable {
    uint64_t version = 0;
    std::map<std::string, DatabaseRoute, std::less<>> routes;
    std::map<std::string, GroupSettings, std::less<>> groups;
    std::vector<OrganisationLimit> organisations;
    // Maps the SHA-256 digest of a key to the index of its organisation.
    std::map<std::string, size_t, std::less<>> organisationIndexByKeyDigest;
    // An open transaction that is idle for longer may be aborted.
    Duration transactionIdleTimeout { 0 };

    // Returns the route of a database, or null.
    const DatabaseRoute* findRoute(std::string_view database) const;
    // Returns the organisation of a key, or null.
    const OrganisationLimit* findOrganisation(std::string_view keyDigest) const;
};

}
