#include "foxtailtrail/config/ConfigurationChange.h"

#include "foxtailtrail/config/ConfigurationValidation.h"

#include <algorithm>
#include <charconv>

namespace foxtail {

namespace {

    auto commandInvalid(const std::string& detail) { return fail(ErrorKind::CommandInvalid, detail); }

    template <typename Map>
    Result<void> insertNew(Map& map, const typename Map::key_type& id, typename Map::mapped_type value, const char* kind)
    {
        if (!map.emplace(id, std::move(value)).second)
            return commandInvalid(std::string("there is already a ") + kind + " " + id.value);
        return succeed();
    }

    template <typename Map> Result<typename Map::mapped_type*> findExisting(Map& map, const typename Map::key_type& id, const char* kind)
    {
        const auto found = map.find(id);
        if (found == map.end())
            return commandInvalid(std::string("there is no ") + kind + " " + id.value);
        return &found->second;
    }

    template <typename Map> Result<void> erase(Map& map, const typename Map::key_type& id, const char* kind)
    {
        if (map.erase(id) == 0)
            return commandInvalid(std::string("there is no ") + kind + " " + id.value);
        return succeed();
    }

    // A server and the database that contains it.
    struct ServerLocation {
        Database* database = nullptr;
        BackendServer* server = nullptr;
    };

    Result<ServerLocation> findServer(Configuration& document, const BackendServerId& id)
    {
        for (auto& [name, database] : document.databases) {
            for (BackendServer& server : database.servers) {
                if (server.id == id)
                    return ServerLocation { &database, &server };
            }
        }
        return commandInvalid("there is no server " + id.value);
    }

    // Applies a change to a copy of the document, with one overload for each kind of change.
    struct ChangeApplier {
        Configuration& document;

        Result<void> operator()(const InitializeFleet& change) const
        {
            if (this->document.version > 0)
                return commandInvalid("there is already a configuration");
            this->document.fleetSecret = change.fleetSecret;
            this->document.witnesses = change.witnesses;
            return succeed();
        }

        Result<void> operator()(const DeclareService& change) const
        {
            return insertNew(this->document.services, change.service.name, change.service, "service");
        }

        Result<void> operator()(const ChangeService& change) const
        {
            BOOST_OUTCOME_TRY(Service * service, findExisting(this->document.services, change.service.name, "service"));
            *service = change.service;
            return succeed();
        }

        Result<void> operator()(const RemoveService& change) const { return erase(this->document.services, change.name, "service"); }

        Result<void> operator()(const DeclareDatabase& change) const
        {
            return insertNew(this->document.databases, change.id, { change.id, change.slots, change.maxConnections, {} }, "database");
        }

        Result<void> operator()(const ChangeDatabase& change) const
        {
            BOOST_OUTCOME_TRY(Database * database, findExisting(this->document.databases, change.id, "database"));
            database->slots = change.slots.value_or(database->slots);
            database->maxConnections = change.maxConnections.value_or(database->maxConnections);
            return succeed();
        }

        Result<void> operator()(const RemoveDatabase& change) const
        {
            BOOST_OUTCOME_TRY(const Database* database, findExisting(this->document.databases, change.id, "database"));
            if (!database->servers.empty())
                return commandInvalid("database " + change.id.value + " still has servers");
            this->document.databases.erase(change.id);
            return succeed();
        }

        Result<void> operator()(const DeclareServer& change) const
        {
            BOOST_OUTCOME_TRY(Database * database, findExisting(this->document.databases, change.database, "database"));
            if (findServer(this->document, change.server.id).has_value())
                return commandInvalid("there is already a server " + change.server.id.value);
            database->servers.push_back(change.server);
            return succeed();
        }

        Result<void> operator()(const ChangeServer& change) const
        {
            BOOST_OUTCOME_TRY(const ServerLocation location, findServer(this->document, change.id));
            location.server->address = change.address;
            location.server->port = change.port;
            return succeed();
        }

        Result<void> operator()(const RemoveServer& change) const
        {
            BOOST_OUTCOME_TRY(const ServerLocation location, findServer(this->document, change.id));
            // Removing a server that is in use would abort the requests that run on it.
            if (!location.server->draining)
                return commandInvalid("server " + change.id.value + " must be drained first");
            location.database->servers.erase(location.database->servers.begin() + (location.server - location.database->servers.data()));
            return succeed();
        }

        Result<void> operator()(const DrainServer& change) const
        {
            BOOST_OUTCOME_TRY(const ServerLocation location, findServer(this->document, change.id));
            if (location.server->draining == change.draining)
                return commandInvalid("server " + change.id.value + (change.draining ? " is already draining" : " is not draining"));
            location.server->draining = change.draining;
            return succeed();
        }

        Result<void> operator()(const DeclareOrganisation& change) const
        {
            return insertNew(this->document.organisations, change.organisation.id, change.organisation, "organisation");
        }

        Result<void> operator()(const ChangeOrganisation& change) const
        {
            BOOST_OUTCOME_TRY(Organisation * organisation, findExisting(this->document.organisations, change.id, "organisation"));
            organisation->rate = change.rate.value_or(organisation->rate);
            organisation->burst = change.burst.value_or(organisation->burst);
            return succeed();
        }

        Result<void> operator()(const RemoveOrganisation& change) const
        {
            std::erase_if(this->document.keys,
                [&change](const auto& entry) { return entry.second.withdrawn && entry.second.organisation == change.id; });
            return erase(this->document.organisations, change.id, "organisation");
        }

        Result<void> operator()(const IssueKey& change) const { return insertNew(this->document.keys, change.key.id, change.key, "key"); }

        Result<void> operator()(const WithdrawKey& change) const
        {
            BOOST_OUTCOME_TRY(Key * key, findExisting(this->document.keys, change.id, "key"));
            if (key->withdrawn)
                return commandInvalid("key " + change.id.value + " is already withdrawn");
            key->withdrawn = true;
            return succeed();
        }

        Result<void> operator()(const MoveLimitShards& change) const
        {
            if (change.moves.empty())
                return commandInvalid("no limit shard is given");
            for (const LimitShardMove& move : change.moves) {
                LimitShardOwner& owner = this->document.limitShards[move.shard];
                if (owner.epoch != move.expectedEpoch) {
                    const std::string currentState = " is at epoch " + std::to_string(owner.epoch) + ", owned by " + owner.vm.value;
                    return fail(ErrorKind::VersionConflict, "limit shard " + std::to_string(move.shard) + currentState);
                }
                owner = { move.vm, move.expectedEpoch + 1 };
            }
            return succeed();
        }

        Result<void> operator()(const ReplaceWitness& change) const
        {
            if (!change.leaving && !change.joining)
                return commandInvalid("no witness is given");
            // A second replacement before the first is complete could leave a majority of the oldest list on an old version.
            if (!this->document.previousWitnesses.empty())
                return commandInvalid("the last replacement of a witness is not settled yet");
            std::vector<VmAddress> witnesses = this->document.witnesses;
            if (change.leaving && std::erase_if(witnesses, [&](const VmAddress& vm) { return vm.id == *change.leaving; }) == 0)
                return commandInvalid("VM " + change.leaving->value + " is not a witness");
            if (change.joining)
                witnesses.push_back(*change.joining);
            this->document.previousWitnesses = std::move(this->document.witnesses);
            this->document.witnesses = std::move(witnesses);
            return succeed();
        }

        Result<void> operator()(const CompleteWitnessReplacement& change) const
        {
            if (this->document.previousWitnesses.empty())
                return commandInvalid("no replacement of a witness is in progress");
            if (change.acknowledgedVersion && *change.acknowledgedVersion != this->document.version)
                return fail(ErrorKind::VersionConflict, "version " + std::to_string(this->document.version) + " has not been acknowledged");
            this->document.previousWitnesses.clear();
            return succeed();
        }
    };

}

Result<Configuration> applyChange(const Configuration& base, const ConfigurationChange& change)
{
    if (change.expectedVersion && *change.expectedVersion != base.version)
        return fail(ErrorKind::VersionConflict, "the version is " + std::to_string(base.version) + ", made by " + base.author);
    if (base.version == 0 && !std::holds_alternative<InitializeFleet>(change.action))
        return commandInvalid("there is no configuration yet");
    Configuration next = base;
    BOOST_OUTCOME_TRY(std::visit(ChangeApplier { next }, change.action));
    next.version = base.version + 1;
    next.changeId = change.changeId;
    next.author = change.author;
    const Result<void> valid = validateConfiguration(next);
    if (valid.has_error())
        return commandInvalid(valid.error().detail);
    return next;
}

KeyId nextKeyId(const Configuration& configuration)
{
    uint64_t highestNumber = 0;
    for (const auto& [id, key] : configuration.keys) {
        uint64_t number = 0;
        const char* end = id.value.data() + id.value.size();
        if (id.value.front() == 'k' && std::from_chars(id.value.data() + 1, end, number).ptr == end)
            highestNumber = std::max(highestNumber, number);
    }
    return KeyId("k" + std::to_string(highestNumber + 1));
}

}
