#include "foxtailtrail/config/ConfigurationValidation.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <set>

namespace foxtail {

namespace {

    constexpr size_t maximumIdLength = 64;
    constexpr size_t digestLength = 64;
    constexpr size_t maximumServers = 15;
    constexpr uint32_t maximumSlots = 1000;
    constexpr uint32_t maximumConnections = 100000;
    // Requests per second, and requests of a burst.
    constexpr double maximumRate = 1e9;

    auto fault(const std::string& place, const std::string& allowed) { return fail(ErrorKind::MalformedRequest, place + ": " + allowed); }

    bool isIdCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
            || character == '-' || character == '_' || character == '.';
    }

    Result<void> checkId(const std::string& place, std::string_view text)
    {
        if (!isValidId(text))
            return fault(place, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        return succeed();
    }

    Result<void> checkAddress(const std::string& place, const std::string& address, uint16_t port)
    {
        if (!isIpAddress(address))
            return fault(place, "address must be an IPv4 or IPv6 address");
        if (port == 0)
            return fault(place, "port must be 1 to 65535");
        return succeed();
    }

    Result<void> checkOrganisation(const Organisation& organisation)
    {
        const std::string place = "organisation " + organisation.id.value;
        BOOST_OUTCOME_TRY(checkId(place, organisation.id.value));
        if (!std::isfinite(organisation.rate) || organisation.rate <= 0 || organisation.rate > maximumRate)
            return fault(place, "rate must be over 0 and at most 1e9 requests per second");
        if (!std::isfinite(organisation.burst) || organisation.burst < 1 || organisation.burst > maximumRate)
            return fault(place, "burst must be 1 to 1e9 requests");
        return succeed();
    }

    // Ids and ports that must differ over the whole document.
    struct Seen {
        std::set<BackendServerId> servers;
        std::set<std::string> endpoints;
    };

    Result<void> checkServer(const BackendServer& server, Seen& seen)
    {
        const std::string place = "server " + server.id.value;
        BOOST_OUTCOME_TRY(checkId(place, server.id.value));
        BOOST_OUTCOME_TRY(checkAddress(place, server.address, server.port));
        BOOST_OUTCOME_TRY(checkId(place + " region", server.region.value));
        BOOST_OUTCOME_TRY(checkId(place + " data centre", server.dataCentre.value));
        if (!seen.servers.insert(server.id).second)
            return fault(place, "the id is used twice");
        if (!seen.endpoints.insert(server.address + " " + std::to_string(server.port)).second)
            return fault(place, "another server has the same address and port");
        return succeed();
    }

    Result<void> checkDatabase(const Database& database, Seen& seen)
    {
        const std::string place = "database " + database.id.value;
        BOOST_OUTCOME_TRY(checkId(place, database.id.value));
        if (database.slots < 1 || database.slots > maximumSlots)
            return fault(place, "slots must be 1 to 1000");
        if (database.maxConnections > maximumConnections)
            return fault(place, "connections must be at most 100000");
        if (database.servers.size() > maximumServers)
            return fault(place, "must have at most 15 servers");
        // Fewer connections than this would leave a server with more slots than pooled connections.
        const size_t servers = std::max<size_t>(1, database.servers.size());
        const size_t needed = servers * (database.slots + reservedConnectionsPerServer);
        if (database.maxConnections < needed)
            return fault(place, "connections must be at least " + std::to_string(needed) + " (slots + 3 per server)");
        for (const BackendServer& server : database.servers) {
            BOOST_OUTCOME_TRY(checkServer(server, seen));
        }
        return succeed();
    }

    Result<void> checkService(const Configuration& configuration, const Service& service)
    {
        const std::string place = "service " + service.name.value;
        BOOST_OUTCOME_TRY(checkId(place, service.name.value));
        if (!configuration.databases.contains(service.database))
            return fault(place, "there is no database " + service.database.value);
        if (service.access == ServiceAccess::Open) {
            if (!service.organisations.empty())
                return fault(place, "an open service has no list of organisations");
            if (!configuration.organisations.contains(service.openOrganisation))
                return fault(place, "there is no organisation " + service.openOrganisation.value);
            return succeed();
        }
        if (!service.openOrganisation.empty())
            return fault(place, "only an open service runs as an organisation");
        std::set<OrganisationId> seen;
        for (const OrganisationId& organisation : service.organisations) {
            if (!configuration.organisations.contains(organisation))
                return fault(place, "there is no organisation " + organisation.value);
            if (!seen.insert(organisation).second)
                return fault(place, "organisation " + organisation.value + " is named twice");
        }
        return succeed();
    }

    Result<void> checkKey(const Configuration& configuration, const Key& key)
    {
        const std::string place = "key " + key.id.value;
        BOOST_OUTCOME_TRY(checkId(place, key.id.value));
        // The text of a key is ftk_<id>_<secret>, so the id ends at the first '_'.
        if (key.id.value.find('_') != std::string::npos)
            return fault(place, "the id must not contain '_'");
        if (!configuration.organisations.contains(key.organisation))
            return fault(place, "there is no organisation " + key.organisation.value);
        if (key.digest.size() != digestLength || key.digest.find_first_not_of("0123456789abcdef") != std::string::npos)
            return fault(place, "digest must be 64 lower-case hexadecimal digits");
        return succeed();
    }

    Result<void> checkWitnesses(const std::string& name, const std::vector<VmAddress>& witnesses)
    {
        if (witnesses.size() > maximumWitnesses)
            return fault(name, "at most 5 VMs");
        std::set<VmId> ids;
        for (const VmAddress& witness : witnesses) {
            BOOST_OUTCOME_TRY(checkId(name, witness.id.value));
            BOOST_OUTCOME_TRY(checkAddress(name + " " + witness.id.value, witness.address, witness.peerPort));
            if (!ids.insert(witness.id).second)
                return fault(name, "VM " + witness.id.value + " is named twice");
        }
        return succeed();
    }

    Result<void> checkLimitShard(uint32_t shard, const LimitShardOwner& owner)
    {
        const std::string place = "limit shard " + std::to_string(shard);
        if (shard >= limitShardCount)
            return fault(place, "the number must be below 64");
        if (owner.epoch == 0)
            return fault(place, "epoch must be at least 1");
        return checkId(place + " vm", owner.vm.value);
    }

}

bool isValidId(std::string_view text)
{
    return !text.empty() && text.size() <= maximumIdLength && std::all_of(text.begin(), text.end(), isIdCharacter);
}

bool isIpAddress(const std::string& text)
{
    in6_addr parsed {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1 || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

Result<void> validateConfiguration(const Configuration& configuration)
{
    if (configuration.version == 0)
        return fault("version", "must be at least 1");
    BOOST_OUTCOME_TRY(checkId("changeId", configuration.changeId));
    BOOST_OUTCOME_TRY(checkId("author", configuration.author));
    if (configuration.fleetSecret.size() < minimumSecretLength)
        return fault("fleetSecret", "must have at least 16 characters");
    for (const auto& [id, organisation] : configuration.organisations) {
        BOOST_OUTCOME_TRY(checkOrganisation(organisation));
    }
    Seen seen;
    for (const auto& [id, database] : configuration.databases) {
        BOOST_OUTCOME_TRY(checkDatabase(database, seen));
    }
    for (const auto& [name, service] : configuration.services) {
        BOOST_OUTCOME_TRY(checkService(configuration, service));
    }
    for (const auto& [id, key] : configuration.keys) {
        BOOST_OUTCOME_TRY(checkKey(configuration, key));
    }
    for (const auto& [shard, owner] : configuration.limitShards) {
        BOOST_OUTCOME_TRY(checkLimitShard(shard, owner));
    }
    BOOST_OUTCOME_TRY(checkWitnesses("witnesses", configuration.witnesses));
    return checkWitnesses("previousWitnesses", configuration.previousWitnesses);
}

}
