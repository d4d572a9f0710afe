#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// The number of limit shards that organisations hash into.
constexpr uint32_t limitShardCount = 64;

// Whether callers of a service must present a key.
enum class ServiceAccess : uint8_t {
    Keyed,
    Open,
};

// A named route of callers to one database.
struct Service {
    ServiceName name;
    DatabaseId database;
    ServiceAccess access = ServiceAccess::Keyed;
    // The organisations that may use a keyed service. Empty admits every organisation.
    std::vector<OrganisationId> organisations;
    // An open service runs its requests as, and counts them against, this organisation.
    OrganisationId openOrganisation;
};

// One backend server of a database group.
struct BackendServer {
    BackendServerId id;
    std::string address;
    uint16_t port = 0;
    Region region;
    DataCentre dataCentre;
    bool draining = false;
};

// A database group and its caps. Slots count per backend server; connections are the cap over all servers and VMs.
struct Database {
    DatabaseId id;
    uint32_t slots = 1;
    uint32_t maxConnections = 0;
    std::vector<BackendServer> servers;
};

// An organisation with its fleet-wide limit in requests per second and requests.
struct Organisation {
    OrganisationId id;
    double rate = 0;
    double burst = 0;
};

// A key that operators issued. Only its SHA-256 digest is kept.
struct Key {
    KeyId id;
    OrganisationId organisation;
    std::string digest;
    bool withdrawn = false;
};

// The VM that lends the limits of one shard. The epoch rises with every change of owner.
struct LimitShardOwner {
    VmId vm;
    uint64_t epoch = 0;
};

// Where a VM takes calls from other VMs.
struct VmAddress {
    VmId id;
    std::string address;
    uint16_t peerPort = 0;
    auto operator<=>(const VmAddress&) const = default;
};

// The whole configuration of the fleet at one version.
struct Configuration {
    uint64_t version = 0;
    // Identifies the change that made this version, so that a lost reply can be resolved by reading back.
    std::string changeId;
    std::string author;
    // Signs consistency tokens.
    std::string fleetSecret;
    std::map<ServiceName, Service> services;
    std::map<DatabaseId, Database> databases;
    std::map<OrganisationId, Organisation> organisations;
    std::map<KeyId, Key> keys;
    // One entry per limit shard that has an owner, by shard number.
    std::map<uint32_t, LimitShardOwner> limitShards;
    // At most five VMs whose majority confirms the version when the store cannot be reached.
    std::vector<VmAddress> witnesses;
    // The witnesses before the last replacement, until a majority of them is known to hold a newer version. While
    // this list is not empty, a version is accepted only when majorities of both lists acknowledge it.
    std::vector<VmAddress> previousWitnesses;
};

// The limit shard of an organisation, or of one half of its limit.
uint32_t limitShardOf(const OrganisationId&);

// The document's JSON text, with members in a fixed order.
std::string serializeConfiguration(const Configuration&);

// The digest of the document, which the store's row names.
std::string configurationDigest(const Configuration&);

// Reads and validates a document. Fails with MalformedRequest, naming the member at fault.
Result<Configuration> parseConfiguration(std::string_view text);

}
