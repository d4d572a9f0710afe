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
    // Limits both the rate in requests per second and the burst in requests.
    constexpr double maximumRate = 1e9;

    auto malformed(const std::string& subject, const std::string& rule) { return fail(ErrorKind::MalformedRequest, subject + ": " + rule); }

    bool isIdCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
            || character == '-' || character == '_' || character == '.';
    }

    Result<void> checkId(const std::string& subject, std::string_view text)
    {
        if (!isValidId(text))
            return malformed(subject, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        return succeed();
    }

    Result<void> checkAddress(const std::string& subject, const std::string& address, uint16_t port)
    {
        if (!isIpAddress(address))
            return malformed(subject, "address must be an IPv4 or IPv6 address");
        if (port == 0)
            return malformed(subject, "port must be 1 to 65535");
        return succeed();
    }

    Result<void> checkOrganisation(const Organisation& organisation)
    {
        const std::string subject = "organisation " + organisation.id.value;
        BOOST_OUTCOME_TRY(checkId(subject, organisation.id.value));
        if (!std::isfinite(organisation.rate) || organisation.rate <= 0 || organisation.rate > maximumRate)
            return malformed(subject, "rate must be over 0 and at most 1e9 requests per second");
        if (!std::isfinite(organisation.burst) || organisation.burst < 1 || organisation.burst > maximumRate)
            return malformed(subject, "burst must be 1 to 1e9 requests");
        return succeed();
    }

    // Ids and endpoints that must be unique in the whole document.
    struct UsedIdentifiers {
        std::set<BackendServerId> servers;
        std::set<std::string> endpoints;
    };

    Result<void> checkServer(const BackendServer& server, UsedIdentifiers& used)
    {
        const std::string subject = "server " + server.id.value;
        BOOST_OUTCOME_TRY(checkId(subject, server.id.value));
        BOOST_OUTCOME_TRY(checkAddress(subject, server.address, server.port));
        BOOST_OUTCOME_TRY(checkId(subject + " region", server.region.value));
        BOOST_OUTCOME_TRY(checkId(subject + " data centre", server.dataCentre.value));
        if (!used.servers.insert(server.id).second)
            return malformed(subject, "the id is used twice");
        if (!used.endpoints.insert(server.address + " " + std::to_string(server.port)).second)
            return malformed(subject, "another server has the same address and port");
        return succeed();
    }

    Result<void> checkDatabase(const Database& database, UsedIdentifiers& used)
    {
        const std::string subject = "database " + database.id.value;
        BOOST_OUTCOME_TRY(checkId(subject, database.id.value));
        if (database.slots < 1 || database.slots > maximumSlots)
            return malformed(subject, "slots must be 1 to 1000");
        if (database.maxConnections > maximumConnections)
            return malformed(subject, "connections must be at most 100000");
        if (database.servers.size() > maximumServers)
            return malformed(subject, "must have at most 15 servers");
        // With fewer connections a server would have more slots than pooled connections.
        const size_t servers = std::max<size_t>(1, database.servers.size());
        const size_t minimumConnections = servers * (database.slots + reservedConnectionsPerServer);
        if (database.maxConnections < minimumConnections)
            return malformed(subject, "connections must be at least " + std::to_string(minimumConnections) + " (slots + 3 per server)");
        for (const BackendServer& server : database.servers) {
            BOOST_OUTCOME_TRY(checkServer(server, used));
        }
        return succeed();
    }

    Result<void> checkService(const Configuration& configuration, const Service& service)
    {
        const std::string subject = "service " + service.name.value;
        BOOST_OUTCOME_TRY(checkId(subject, service.name.value));
        if (!configuration.databases.contains(service.database))
            return malformed(subject, "there is no database " + service.database.value);
        if (service.access == ServiceAccess::Open) {
            if (!service.organisations.empty())
                return malformed(subject, "an open service must not have a list of organisations");
            if (!configuration.organisations.contains(service.openOrganisation))
                return malformed(subject, "there is no organisation " + service.openOrganisation.value);
            return succeed();
        }
        if (!service.openOrganisation.empty())
            return malformed(subject, "openOrganisation is allowed only for an open service");
        std::set<OrganisationId> used;
        for (const OrganisationId& organisation : service.organisations) {
            if (!configuration.organisations.contains(organisation))
                return malformed(subject, "there is no organisation " + organisation.value);
            if (!used.insert(organisation).second)
                return malformed(subject, "organisation " + organisation.value + " is listed twice");
        }
        return succeed();
    }

    Result<void> checkKey(const Configuration& configuration, const Key& key)
    {
        const std::string subject = "key " + key.id.value;
        BOOST_OUTCOME_TRY(checkId(subject, key.id.value));
        // The text of a key is ftk_<id>_<secret>, so the id ends at the first '_'.
        if (key.id.value.find('_') != std::string::npos)
            return malformed(subject, "the id must not contain '_'");
        if (!configuration.organisations.contains(key.organisation))
            return malformed(subject, "there is no organisation " + key.organisation.value);
        if (key.digest.size() != digestLength || key.digest.find_first_not_of("0123456789abcdef") != std::string::npos)
            return malformed(subject, "digest must be 64 lower-case hexadecimal digits");
        return succeed();
    }

    Result<void> checkWitnesses(const std::string& name, const std::vector<VmAddress>& witnesses)
    {
        if (witnesses.size() > maximumWitnesses)
            return malformed(name, "at most 5 VMs");
        std::set<VmId> ids;
        for (const VmAddress& witness : witnesses) {
            BOOST_OUTCOME_TRY(checkId(name, witness.id.value));
            BOOST_OUTCOME_TRY(checkAddress(name + " " + witness.id.value, witness.address, witness.peerPort));
            if (!ids.insert(witness.id).second)
                return malformed(name, "VM " + witness.id.value + " is listed twice");
        }
        return succeed();
    }

    Result<void> checkLimitShard(uint32_t shard, const LimitShardOwner& owner)
    {
        const std::string subject = "limit shard " + std::to_string(shard);
        if (shard >= limitShardCount)
            return malformed(subject, "the number must be below 64");
        if (owner.epoch == 0)
            return malformed(subject, "epoch must be at least 1");
        return checkId(subject + " vm", owner.vm.value);
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
        return malformed("version", "must be at least 1");
    BOOST_OUTCOME_TRY(checkId("changeId", configuration.changeId));
    BOOST_OUTCOME_TRY(checkId("author", configuration.author));
    if (configuration.fleetSecret.size() < minimumSecretLength)
        return malformed("fleetSecret", "must have at least 16 characters");
    for (const auto& [id, organisation] : configuration.organisations) {
        BOOST_OUTCOME_TRY(checkOrganisation(organisation));
    }
    UsedIdentifiers used;
    for (const auto& [id, database] : configuration.databases) {
        BOOST_OUTCOME_TRY(checkDatabase(database, used));
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
