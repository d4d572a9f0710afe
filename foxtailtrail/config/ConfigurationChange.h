#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

// Makes the first version. It applies only while there is no configuration.
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

// Changes the caps that are given.
struct ChangeDatabase {
    DatabaseId id;
    std::optional<uint32_t> slots;
    std::optional<uint32_t> maxConnections;
};

// Removes a database that has no servers left.
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

// Starts or ends the draining of a backend server.
struct DrainServer {
    BackendServerId id;
    bool draining = true;
};

struct DeclareOrganisation {
    Organisation organisation;
};

// Changes the limits that are given.
struct ChangeOrganisation {
    OrganisationId id;
    std::optional<double> rate;
    std::optional<double> burst;
};

// Removes an organisation together with its withdrawn keys. Services and valid keys must be removed first.
struct RemoveOrganisation {
    OrganisationId id;
};

// Adds a key that makeKey made.
struct IssueKey {
    Key key;
};

struct WithdrawKey {
    KeyId id;
};

// One limit shard's move to a VM. It applies only while the shard has the expected epoch, 0 for a shard without owner.
struct LimitShardMove {
    uint32_t shard = 0;
    VmId vm;
    uint64_t expectedEpoch = 0;
};

struct MoveLimitShards {
    std::vector<LimitShardMove> moves;
};

// Takes one witness out, one in, or both.
struct ReplaceWitness {
    std::optional<VmId> leaving;
    std::optional<VmAddress> joining;
};

// Ends a replacement of witnesses. The version is one that majorities of both lists have acknowledged. Without a
// version the operator vouches that the VMs that left the list are stopped for good.
struct CompleteWitnessReplacement {
    std::optional<uint64_t> acknowledgedVersion;
};

using ChangeAction = std::variant<InitializeFleet, DeclareService, ChangeService, RemoveService, DeclareDatabase, ChangeDatabase,
    RemoveDatabase, DeclareServer, ChangeServer, RemoveServer, DrainServer, DeclareOrganisation, ChangeOrganisation, RemoveOrganisation,
    IssueKey, WithdrawKey, MoveLimitShards, ReplaceWitness, CompleteWitnessReplacement>;

// One change with its author. The id is unique, so that a lost reply can be resolved by it.
struct ConfigurationChange {
    std::string changeId;
    std::string author;
    // When given, the change applies only to this version.
    std::optional<uint64_t> expectedVersion;
    ChangeAction action;
};

// The document that follows from a change, one version higher. Fails with VersionConflict when ifVersion or an expected
// epoch does not hold, and with CommandInvalid when the change does not fit the document.
Result<Configuration> applyChange(const Configuration& base, const ConfigurationChange&);

// The id for the next key: k1, k2 and so on, one above the highest in use.
KeyId nextKeyId(const Configuration&);

}
