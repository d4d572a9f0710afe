#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// The number of limit shards. A hash assigns each organisation to one of them.
constexpr uint32_t limitShardCount = 64;

// Whether clients of a service must present a key.
enum class ServiceAccess : uint8_t {
    Keyed,
    Open,
};

// A named route for clients to one database.
struct Service {
    ServiceName name;
    DatabaseId database;
    ServiceAccess access = ServiceAccess::Keyed;
    // The organisations that may use a keyed service. If empty, every organisation may.
    std::vector<OrganisationId> organisations;
    // Requests of an open service run as this organisation and count against its limit.
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

// A database group and its caps. Slots are counted per backend server; connections are capped over all servers and VMs together.
struct Database {
    DatabaseId id;
    uint32_t slots = 1;
    uint32_t maxConnections = 0;
    std::vector<BackendServer> servers;
};

// An organisation with its fleet-wide rate limit: rate in requests per second, burst in requests.
struct Organisation {
    OrganisationId id;
    double rate = 0;
    double burst = 0;
};

// A key that operators issued. Only its SHA-256 digest is stored.
struct Key {
    KeyId id;
    OrganisationId organisation;
    std::string digest;
    bool withdrawn = false;
};

// The VM that lends the limits of one shard. Every change of owner increases the epoch.
struct LimitShardOwner {
    VmId vm;
    uint64_t epoch = 0;
};

// The address at which a VM accepts calls from other VMs.
struct VmAddress {
    VmId id;
    std::string address;
    uint16_t peerPort = 0;
    auto operator<=>(const VmAddress&) const = default;
};

// One version of the configuration of the fleet.
struct Configuration {
    uint64_t version = 0;
    // Identifies the change that created this version. After a lost reply, reading it back shows whether the change was stored.
    std::string changeId;
    std::string author;
    // Signs consistency tokens.
    std::string fleetSecret;
    std::map<ServiceName, Service> services;
    std::map<DatabaseId, Database> databases;
    std::map<OrganisationId, Organisation> organisations;
    std::map<KeyId, Key> keys;
    // The limit shards that have an owner, by shard number.
    std::map<uint32_t, LimitShardOwner> limitShards;
    // At most five VMs. A majority of them confirms the version when the store cannot be reached.
    std::vector<VmAddress> witnesses;
    // The witnesses before the last replacement, kept until a majority of them is known to hold a newer version. While this list is
    // not empty, a version is accepted only when majorities of both lists acknowledge it.
    std::vector<VmAddress> previousWitnesses;
};

// Returns the limit shard of an organisation, or of one half of its limit.
uint32_t limitShardOf(const OrganisationId&);

// Returns the JSON text of the document, with members in a fixed order.
std::string serializeConfiguration(const Configuration&);

// Returns the SHA-256 digest of the document, which the store's row contains.
std::string configurationDigest(const Configuration&);

// Parses and validates a document. Fails with MalformedRequest; the error names the invalid member.
Result<Configuration> parseConfiguration(std::string_view text);

}
