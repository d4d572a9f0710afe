#include "foxtailtrail/config/ConfigurationChange.h"

#include "foxtailtrail/config/ConfigurationValidation.h"

#include <algorithm>
#include <charconv>

namespace foxtail {

namespace {

    auto invalid(const std::string& detail) { return fail(ErrorKind::CommandInvalid, detail); }

    template <typename Map>
    Result<void> insertNew(Map& map, const typename Map::key_type& id, typename Map::mapped_type value, const char* what)
    {
        if (!map.emplace(id, std::move(value)).second)
            return invalid(std::string("there is already a ") + what + " " + id.value);
        return succeed();
    }

    template <typename Map> Result<typename Map::mapped_type*> findExisting(Map& map, const typename Map::key_type& id, const char* what)
    {
        const auto found = map.find(id);
        if (found == map.end())
            return invalid(std::string("there is no ") + what + " " + id.value);
        return &found->second;
    }

    template <typename Map> Result<void> erase(Map& map, const typename Map::key_type& id, const char* what)
    {
        if (map.erase(id) == 0)
            return invalid(std::string("there is no ") + what + " " + id.value);
        return succeed();
    }

    // A server together with the database that holds it.
    struct ServerPlace {
        Database* database = nullptr;
        BackendServer* server = nullptr;
    };

    Result<ServerPlace> findServer(Configuration& document, const BackendServerId& id)
    {
        for (auto& [name, database] : document.databases) {
            for (BackendServer& server : database.servers) {
                if (server.id == id)
                    return ServerPlace { &database, &server };
            }
        }
        return invalid("there is no server " + id.value);
    }

    // Applies one kind of change each to a copy of the document.
    struct Applier {
        Configuration& document;

        Result<void> operator()(const InitializeFleet& change) const
        {
            if (this->document.version > 0)
                return invalid("there is already a configuration");
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
                return invalid("database " + change.id.value + " still has servers");
            this->document.databases.erase(change.id);
            return succeed();
        }

        Result<void> operator()(const DeclareServer& change) const
        {
            BOOST_OUTCOME_TRY(Database * database, findExisting(this->document.databases, change.database, "database"));
            if (findServer(this->document, change.server.id).has_value())
                return invalid("there is already a server " + change.server.id.value);
            database->servers.push_back(change.server);
            return succeed();
        }

        Result<void> operator()(const ChangeServer& change) const
        {
            BOOST_OUTCOME_TRY(const ServerPlace place, findServer(this->document, change.id));
            place.server->address = change.address;
            place.server->port = change.port;
            return succeed();
        }

        Result<void> operator()(const RemoveServer& change) const
        {
            BOOST_OUTCOME_TRY(const ServerPlace place, findServer(this->document, change.id));
            // Removing a server that takes work would cut off the requests that run on it.
            if (!place.server->draining)
                return invalid("server " + change.id.value + " must be drained first");
            place.database->servers.erase(place.database->servers.begin() + (place.server - place.database->servers.data()));
            return succeed();
        }

        Result<void> operator()(const DrainServer& change) const
        {
            BOOST_OUTCOME_TRY(const ServerPlace place, findServer(this->document, change.id));
            if (place.server->draining == change.draining)
                return invalid("server " + change.id.value + (change.draining ? " is already draining" : " is not draining"));
            place.server->draining = change.draining;
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
                return invalid("key " + change.id.value + " is already withdrawn");
            key->withdrawn = true;
            return succeed();
        }

        Result<void> operator()(const MoveLimitShards& change) const
        {
            if (change.moves.empty())
                return invalid("no limit shard is named");
            for (const LimitShardMove& move : change.moves) {
                LimitShardOwner& owner = this->document.limitShards[move.shard];
                if (owner.epoch != move.expectedEpoch) {
                    const std::string held = " is at epoch " + std::to_string(owner.epoch) + ", owned by " + owner.vm.value;
                    return fail(ErrorKind::VersionConflict, "limit shard " + std::to_string(move.shard) + held);
                }
                owner = { move.vm, move.expectedEpoch + 1 };
            }
            return succeed();
        }

        Result<void> operator()(const ReplaceWitness& change) const
        {
            if (!change.leaving && !change.joining)
                return invalid("no witness is named");
            // A second replacement before the first is settled could leave a majority of the oldest list on an old version.
            if (!this->document.previousWitnesses.empty())
                return invalid("the last replacement of a witness is not settled yet");
            std::vector<VmAddress> witnesses = this->document.witnesses;
            if (change.leaving && std::erase_if(witnesses, [&](const VmAddress& vm) { return vm.id == *change.leaving; }) == 0)
                return invalid("VM " + change.leaving->value + " is not a witness");
            if (change.joining)
                witnesses.push_back(*change.joining);
            this->document.previousWitnesses = std::move(this->document.witnesses);
            this->document.witnesses = std::move(witnesses);
            return succeed();
        }

        Result<void> operator()(const CompleteWitnessReplacement& change) const
        {
            if (this->document.previousWitnesses.empty())
                return invalid("no replacement of a witness is open");
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
        return invalid("there is no configuration yet");
    Configuration next = base;
    BOOST_OUTCOME_TRY(std::visit(Applier { next }, change.action));
    next.version = base.version + 1;
    next.changeId = change.changeId;
    next.author = change.author;
    const Result<void> valid = validateConfiguration(next);
    if (valid.has_error())
        return invalid(valid.error().detail);
    return next;
}

KeyId nextKeyId(const Configuration& configuration)
{
    uint64_t highest = 0;
    for (const auto& [id, key] : configuration.keys) {
        uint64_t number = 0;
        const char* end = id.value.data() + id.value.size();
        if (id.value.front() == 'k' && std::from_chars(id.value.data() + 1, end, number).ptr == end)
            highest = std::max(highest, number);
    }
    return KeyId("k" + std::to_string(highest + 1));
}

}
