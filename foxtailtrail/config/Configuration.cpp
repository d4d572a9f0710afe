#include "foxtailtrail/config/Configuration.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/config/ConfigurationValidation.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>

namespace foxtail {

namespace {

    constexpr std::array<std::string_view, 2> accessNames { "keyed", "open" };

    auto malformed(std::string_view path, std::string_view reason)
    {
        return fail(ErrorKind::MalformedRequest, std::string(path) + ": " + std::string(reason));
    }

    // Rejects unknown members, because a newer build may have written a rule that this build would violate by ignoring it.
    Result<void> checkMembers(const json::object& object, std::initializer_list<std::string_view> knownMembers)
    {
        for (const auto& member : object) {
            if (std::find(knownMembers.begin(), knownMembers.end(), std::string_view(member.key())) == knownMembers.end())
                return malformed(std::string(member.key()), "unknown member");
        }
        return succeed();
    }

    template <typename Id> Result<Id> idMember(const json::object& object, std::string_view name)
    {
        BOOST_OUTCOME_TRY(std::string text, stringMember(object, name));
        return Id { std::move(text) };
    }

    template <typename Number> Result<Number> numberMember(const json::object& object, std::string_view name)
    {
        BOOST_OUTCOME_TRY(const uint64_t value, unsignedMember(object, name));
        if (value > std::numeric_limits<Number>::max())
            return malformed(name, "the number is too large");
        return static_cast<Number>(value);
    }

    Result<double> realMember(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains(name);
        if (!value || !value->is_number())
            return malformed(name, "must be a number");
        return value->to_number<double>();
    }

    // Reads each element of an array member with the given function, which adds it to the document.
    template <typename ReadFunction> Result<void> readEach(const json::object& object, std::string_view name, ReadFunction read)
    {
        BOOST_OUTCOME_TRY(const json::array array, arrayMember(object, name));
        for (const json::value& element : array) {
            if (!element.is_object())
                return malformed(name, "each element must be an object");
            Result<void> result = read(element.get_object());
            if (result.has_error())
                return malformed(name, result.error().detail);
        }
        return succeed();
    }

    // Adds an element under its id. Fails if there already is an element with that id.
    template <typename Map, typename Value> Result<void> addUnique(Map& map, typename Map::key_type id, Value value, std::string_view name)
    {
        if (!map.emplace(std::move(id), std::move(value)).second)
            return malformed(name, "the id is used twice");
        return succeed();
    }

    json::array toJson(const std::vector<OrganisationId>& organisations)
    {
        json::array array;
        for (const OrganisationId& organisation : organisations)
            array.emplace_back(organisation.value);
        return array;
    }

    json::object toJson(const Service& service)
    {
        return { { "name", service.name.value }, { "database", service.database.value },
            { "access", accessNames[static_cast<size_t>(service.access)] }, { "organisations", toJson(service.organisations) },
            { "openOrganisation", service.openOrganisation.value } };
    }

    json::object toJson(const BackendServer& server)
    {
        return { { "id", server.id.value }, { "address", server.address }, { "port", server.port }, { "region", server.region.value },
            { "dataCentre", server.dataCentre.value }, { "draining", server.draining } };
    }

    json::object toJson(const Database& database)
    {
        json::array servers;
        for (const BackendServer& server : database.servers)
            servers.push_back(toJson(server));
        return { { "id", database.id.value }, { "slots", database.slots }, { "connections", database.maxConnections },
            { "servers", std::move(servers) } };
    }

    json::object toJson(const Organisation& organisation)
    {
        return { { "id", organisation.id.value }, { "rate", organisation.rate }, { "burst", organisation.burst } };
    }

    json::object toJson(const Key& key)
    {
        return { { "id", key.id.value }, { "organisation", key.organisation.value }, { "digest", key.digest },
            { "withdrawn", key.withdrawn } };
    }

    json::array toJson(const std::vector<VmAddress>& vms)
    {
        json::array array;
        for (const VmAddress& vm : vms)
            array.push_back(json::object { { "id", vm.id.value }, { "address", vm.address }, { "peerPort", vm.peerPort } });
        return array;
    }

    template <typename Map> json::array toJsonArray(const Map& map)
    {
        json::array array;
        for (const auto& [id, value] : map)
            array.push_back(toJson(value));
        return array;
    }

    json::array limitShardsToJson(const std::map<uint32_t, LimitShardOwner>& shards)
    {
        json::array array;
        for (const auto& [shard, owner] : shards)
            array.push_back(json::object { { "shard", shard }, { "vm", owner.vm.value }, { "epoch", owner.epoch } });
        return array;
    }

    Result<void> readService(const json::object& object, Configuration& configuration)
    {
        BOOST_OUTCOME_TRY(checkMembers(object, { "name", "database", "access", "organisations", "openOrganisation" }));
        Service service;
        BOOST_OUTCOME_TRY(service.name, idMember<ServiceName>(object, "name"));
        BOOST_OUTCOME_TRY(service.database, idMember<DatabaseId>(object, "database"));
        BOOST_OUTCOME_TRY(const std::string access, stringMember(object, "access"));
        const auto* name = std::find(accessNames.begin(), accessNames.end(), access);
        if (name == accessNames.end())
            return malformed("access", "must be keyed or open");
        service.access = static_cast<ServiceAccess>(name - accessNames.begin());
        BOOST_OUTCOME_TRY(const json::array organisations, arrayMember(object, "organisations"));
        for (const json::value& organisation : organisations) {
            if (!organisation.is_string())
                return malformed("organisations", "each element must be a string");
            service.organisations.emplace_back(std::string(organisation.get_string()));
        }
        BOOST_OUTCOME_TRY(service.openOrganisation, idMember<OrganisationId>(object, "openOrganisation"));
        const ServiceName id = service.name;
        return addUnique(configuration.services, id, std::move(service), id.value);
    }

    Result<void> readServer(const json::object& object, Database& database)
    {
        BOOST_OUTCOME_TRY(checkMembers(object, { "id", "address", "port", "region", "dataCentre", "draining" }));
        BackendServer server;
        BOOST_OUTCOME_TRY(server.id, idMember<BackendServerId>(object, "id"));
        BOOST_OUTCOME_TRY(server.address, stringMember(object, "address"));
        BOOST_OUTCOME_TRY(server.port, numberMember<uint16_t>(object, "port"));
        BOOST_OUTCOME_TRY(server.region, idMember<Region>(object, "region"));
        BOOST_OUTCOME_TRY(server.dataCentre, idMember<DataCentre>(object, "dataCentre"));
        BOOST_OUTCOME_TRY(server.draining, booleanMember(object, "draining"));
        database.servers.push_back(std::move(server));
        return succeed();
    }

    Result<void> readDatabase(const json::object& object, Configuration& configuration)
    {
        BOOST_OUTCOME_TRY(checkMembers(object, { "id", "slots", "connections", "servers" }));
        Database database;
        BOOST_OUTCOME_TRY(database.id, idMember<DatabaseId>(object, "id"));
        BOOST_OUTCOME_TRY(database.slots, numberMember<uint32_t>(object, "slots"));
        BOOST_OUTCOME_TRY(database.maxConnections, numberMember<uint32_t>(object, "connections"));
        BOOST_OUTCOME_TRY(readEach(object, "servers", [&database](const json::object& server) { return readServer(server, database); }));
        const DatabaseId id = database.id;
        return addUnique(configuration.databases, id, std::move(database), id.value);
    }

    Result<void> readOrganisation(const json::object& object, Configuration& configuration)
    {
        BOOST_OUTCOME_TRY(checkMembers(object, { "id", "rate", "burst" }));
        Organisation organisation;
        BOOST_OUTCOME_TRY(organisation.id, idMember<OrganisationId>(object, "id"));
        BOOST_OUTCOME_TRY(organisation.rate, realMember(object, "rate"));
        BOOST_OUTCOME_TRY(organisation.burst, realMember(object, "burst"));
        const OrganisationId id = organisation.id;
        return addUnique(configuration.organisations, id, std::move(organisation), id.value);
    }

    Result<void> readKey(const json::object& object, Configuration& configuration)
    {
        BOOST_OUTCOME_TRY(checkMembers(object, { "id", "organisation", "digest", "withdrawn" }));
        Key key;
        BOOST_OUTCOME_TRY(key.id, idMember<KeyId>(object, "id"));
        BOOST_OUTCOME_TRY(key.organisation, idMember<OrganisationId>(object, "organisation"));
        BOOST_OUTCOME_TRY(key.digest, stringMember(object, "digest"));
        BOOST_OUTCOME_TRY(key.withdrawn, booleanMember(object, "withdrawn"));
        const KeyId id = key.id;
        return addUnique(configuration.keys, id, std::move(key), id.value);
    }

    Result<void> readLimitShard(const json::object& object, Configuration& configuration)
    {
        BOOST_OUTCOME_TRY(checkMembers(object, { "shard", "vm", "epoch" }));
        LimitShardOwner owner;
        BOOST_OUTCOME_TRY(const auto shard, numberMember<uint32_t>(object, "shard"));
        BOOST_OUTCOME_TRY(owner.vm, idMember<VmId>(object, "vm"));
        BOOST_OUTCOME_TRY(owner.epoch, unsignedMember(object, "epoch"));
        return addUnique(configuration.limitShards, shard, std::move(owner), "shard");
    }

    Result<void> readVm(const json::object& object, std::vector<VmAddress>& vms)
    {
        BOOST_OUTCOME_TRY(checkMembers(object, { "id", "address", "peerPort" }));
        VmAddress vm;
        BOOST_OUTCOME_TRY(vm.id, idMember<VmId>(object, "id"));
        BOOST_OUTCOME_TRY(vm.address, stringMember(object, "address"));
        BOOST_OUTCOME_TRY(vm.peerPort, numberMember<uint16_t>(object, "peerPort"));
        vms.push_back(std::move(vm));
        return succeed();
    }

    using ReadElement = Result<void> (*)(const json::object&, Configuration&);

    // An array member of a document and the function that reads its elements.
    struct ArrayMember {
        std::string_view name;
        ReadElement read;
    };

    constexpr std::array<ArrayMember, 7> arrayMembers { {
        { "services", readService },
        { "databases", readDatabase },
        { "organisations", readOrganisation },
        { "keys", readKey },
        { "limitShards", readLimitShard },
        { "witnesses", [](const json::object& vm, Configuration& configuration) { return readVm(vm, configuration.witnesses); } },
        { "previousWitnesses",
            [](const json::object& vm, Configuration& configuration) { return readVm(vm, configuration.previousWitnesses); } },
    } };

    Result<void> readHeader(const json::object& object, Configuration& configuration)
    {
        BOOST_OUTCOME_TRY(configuration.version, unsignedMember(object, "version"));
        BOOST_OUTCOME_TRY(configuration.changeId, stringMember(object, "changeId"));
        BOOST_OUTCOME_TRY(configuration.author, stringMember(object, "author"));
        BOOST_OUTCOME_TRY(configuration.fleetSecret, stringMember(object, "fleetSecret"));
        return succeed();
    }

}

uint32_t limitShardOf(const OrganisationId& organisation)
{
    // An id with a '/' denotes one half of a limit. The shards of the two halves are half the number of shards apart.
    const size_t separator = organisation.value.find('/');
    if (separator != std::string::npos) {
        const uint32_t firstHalfShard = limitShardOf(OrganisationId(organisation.value.substr(0, separator)));
        return organisation.value.ends_with("/1") ? (firstHalfShard + limitShardCount / 2) % limitShardCount : firstHalfShard;
    }
    return static_cast<uint32_t>(stableHash(organisation.value) % limitShardCount);
}

std::string serializeConfiguration(const Configuration& configuration)
{
    const json::object object { { "version", configuration.version }, { "changeId", configuration.changeId },
        { "author", configuration.author }, { "fleetSecret", configuration.fleetSecret },
        { "services", toJsonArray(configuration.services) }, { "databases", toJsonArray(configuration.databases) },
        { "organisations", toJsonArray(configuration.organisations) }, { "keys", toJsonArray(configuration.keys) },
        { "limitShards", limitShardsToJson(configuration.limitShards) }, { "witnesses", toJson(configuration.witnesses) },
        { "previousWitnesses", toJson(configuration.previousWitnesses) } };
    return json::serialize(object);
}

std::string configurationDigest(const Configuration& configuration) { return sha256Hex(serializeConfiguration(configuration)); }

Result<Configuration> parseConfiguration(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(text));
    BOOST_OUTCOME_TRY(checkMembers(object,
        { "version", "changeId", "author", "fleetSecret", "services", "databases", "organisations", "keys", "limitShards", "witnesses",
            "previousWitnesses" }));
    Configuration configuration;
    BOOST_OUTCOME_TRY(readHeader(object, configuration));
    for (const ArrayMember& member : arrayMembers) {
        BOOST_OUTCOME_TRY(readEach(object, member.name, [&](const json::object& element) { return member.read(element, configuration); }));
    }
    BOOST_OUTCOME_TRY(validateConfiguration(configuration));
    return configuration;
}

}
