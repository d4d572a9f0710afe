#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

// Creates the first version. Applies only while there is no configuration.
struct InitializeFleet {
    std::string fleetSecret;
    std::vector<VmAddress> witnesses;
};

// Adds a service.
struct DeclareService {
    Service service;
};

// Replaces the declaration of a service.
struct ChangeService {
    Service service;
};

struct RemoveService {
    ServiceName name;
};

// Adds a database without servers.
struct DeclareDatabase {
    DatabaseId id;
    uint32_t slots = 1;
    uint32_t maxConnections = 0;
};

// Changes those caps that have a value.
struct ChangeDatabase {
    DatabaseId id;
    std::optional<uint32_t> slots;
    std::optional<uint32_t> maxConnections;
};

// Removes a database without servers.
struct RemoveDatabase {
    DatabaseId id;
};

// Adds a backend server to a database.
struct DeclareServer {
    DatabaseId database;
    BackendServer server;
};

// Changes the address of a backend server.
struct ChangeServer {
    BackendServerId id;
    std::string address;
    uint16_t port = 0;
};

// Removes a backend server that has been drained.
struct RemoveServer {
    BackendServerId id;
};

// Starts or stops draining a backend server.
struct DrainServer {
    BackendServerId id;
    bool draining = true;
};

struct DeclareOrganisation {
    Organisation organisation;
};

// Changes those limits that have a value.
struct ChangeOrganisation {
    OrganisationId id;
    std::optional<double> rate;
    std::optional<double> burst;
};

// Removes an organisation together with its withdrawn keys. Services and valid keys must be removed first.
struct RemoveOrganisation {
    OrganisationId id;
};

// Adds a key that makeKey created.
struct IssueKey {
    Key key;
};

struct WithdrawKey {
    KeyId id;
};

// The move of one limit shard to a VM. Applies only while the shard has the expected epoch, which is 0 for a shard without an owner.
struct LimitShardMove {
    uint32_t shard = 0;
    VmId vm;
    uint64_t expectedEpoch = 0;
};

struct MoveLimitShards {
    std::vector<LimitShardMove> moves;
};

// Removes one witness, adds one, or both.
struct ReplaceWitness {
    std::optional<VmId> leaving;
    std::optional<VmAddress> joining;
};

// Completes a replacement of witnesses. Majorities of both lists must have acknowledged the given version. Without a version the
// operator asserts that the VMs that left the list have been stopped permanently.
struct CompleteWitnessReplacement {
    std::optional<uint64_t> acknowledgedVersion;
};

using ChangeAction = std::variant<InitializeFleet, DeclareService, ChangeService, RemoveService, DeclareDatabase, ChangeDatabase,
    RemoveDatabase, DeclareServer, ChangeServer, RemoveServer, DrainServer, DeclareOrganisation, ChangeOrganisation, RemoveOrganisation,
    IssueKey, WithdrawKey, MoveLimitShards, ReplaceWitness, CompleteWitnessReplacement>;

// A change with its author. After a lost reply, the unique id shows whether the change was stored.
struct ConfigurationChange {
    std::string changeId;
    std::string author;
    // If set, the change applies only to this version.
    std::optional<uint64_t> expectedVersion;
    ChangeAction action;
};

// Applies a change and returns the resulting document, whose version is one higher. Fails with VersionConflict if the expected version or
// an expected epoch differs from the actual one, and with CommandInvalid if the change is not valid for the document.
Result<Configuration> applyChange(const Configuration& base, const ConfigurationChange&);

// Returns the id for the next key: k1, k2 and so on, one above the highest number in use.
KeyId nextKeyId(const Configuration&);

}
