#include "foxtailtrail/server/ActivityCodec.h"

#include <algorithm>

namespace foxtail {

namespace {

    json::object encodeDatabase(const DatabaseActivity& database)
    {
        return { { "id", database.id.value }, { "term", database.term.value },
            { "primary", database.primary ? database.primary->value : "" }, { "slotsInUse", database.slotsInUse },
            { "queueLength", database.queueLength } };
    }

    Result<DatabaseActivity> decodeDatabase(const json::object& object)
    {
        DatabaseActivity database;
        BOOST_OUTCOME_TRY(database.id.value, stringMember(object, "id"));
        BOOST_OUTCOME_TRY(database.term.value, unsignedMember(object, "term"));
        BOOST_OUTCOME_TRY(const std::string primary, stringMember(object, "primary"));
        if (!primary.empty())
            database.primary = BackendServerId(primary);
        BOOST_OUTCOME_TRY(const uint64_t slots, unsignedMember(object, "slotsInUse"));
        BOOST_OUTCOME_TRY(const uint64_t queue, unsignedMember(object, "queueLength"));
        database.slotsInUse = static_cast<uint32_t>(slots);
        database.queueLength = static_cast<uint32_t>(queue);
        return database;
    }

    json::object encodeServer(const ServerActivity& server)
    {
        return { { "id", server.id.value }, { "role", server.role }, { "reachable", server.isReachable },
            { "position", server.position.value }, { "lag", server.lagTransactions } };
    }

    Result<ServerActivity> decodeServer(const json::object& object)
    {
        ServerActivity server;
        BOOST_OUTCOME_TRY(server.id.value, stringMember(object, "id"));
        BOOST_OUTCOME_TRY(server.role, stringMember(object, "role"));
        BOOST_OUTCOME_TRY(server.isReachable, booleanMember(object, "reachable"));
        BOOST_OUTCOME_TRY(server.position.value, unsignedMember(object, "position"));
        BOOST_OUTCOME_TRY(server.lagTransactions, unsignedMember(object, "lag"));
        return server;
    }

    json::object encodeOrganisation(const OrganisationActivity& organisation)
    {
        return { { "id", organisation.id.value }, { "admitted", organisation.admittedCount }, { "refused", organisation.refusedCount } };
    }

    Result<OrganisationActivity> decodeOrganisation(const json::object& object)
    {
        OrganisationActivity organisation;
        BOOST_OUTCOME_TRY(organisation.id.value, stringMember(object, "id"));
        BOOST_OUTCOME_TRY(organisation.admittedCount, unsignedMember(object, "admitted"));
        BOOST_OUTCOME_TRY(organisation.refusedCount, unsignedMember(object, "refused"));
        return organisation;
    }

    void merge(std::vector<OrganisationActivity>& merged, const OrganisationActivity& added)
    {
        const auto existing = std::find_if(merged.begin(), merged.end(), [&](const auto& entry) { return entry.id == added.id; });
        if (existing == merged.end()) {
            merged.push_back(added);
            return;
        }
        existing->admittedCount += added.admittedCount;
        existing->refusedCount += added.refusedCount;
    }

    void merge(std::vector<DatabaseActivity>& merged, const DatabaseActivity& added)
    {
        const auto existing = std::find_if(merged.begin(), merged.end(), [&](const auto& entry) { return entry.id == added.id; });
        if (existing == merged.end()) {
            merged.push_back(added);
            return;
        }
        // Each home reports only the load of the servers that it holds, so the loads are summed.
        const uint32_t slots = existing->slotsInUse + added.slotsInUse;
        const uint32_t queue = existing->queueLength + added.queueLength;
        if (added.term > existing->term)
            *existing = added;
        existing->slotsInUse = slots;
        existing->queueLength = queue;
    }

    void merge(std::vector<ServerActivity>& merged, const ServerActivity& added)
    {
        const auto existing = std::find_if(merged.begin(), merged.end(), [&](const auto& entry) { return entry.id == added.id; });
        if (existing == merged.end())
            merged.push_back(added);
        else if (added.isReachable && added.position >= existing->position)
            *existing = added;
    }

    template <typename Entry>
    Result<void> mergeAll(
        const json::object& object, std::string_view name, Result<Entry> (*decode)(const json::object&), std::vector<Entry>& merged)
    {
        BOOST_OUTCOME_TRY(const json::array entries, arrayMember(object, name));
        for (const json::value& value : entries) {
            if (!value.is_object())
                return fail(ErrorKind::MalformedRequest, "an entry of \"" + std::string(name) + "\" must be an object");
            BOOST_OUTCOME_TRY(const Entry entry, decode(value.as_object()));
            merge(merged, entry);
        }
        return succeed();
    }

    template <typename Entry> json::array encodeAll(const std::vector<Entry>& entries, json::object (*encode)(const Entry&))
    {
        json::array array;
        for (const Entry& entry : entries)
            array.push_back(encode(entry));
        return array;
    }

}

json::object encodeActivity(const FleetSnapshot& fleet)
{
    return { { "organisations", encodeAll(fleet.organisations, encodeOrganisation) },
        { "databases", encodeAll(fleet.databases, encodeDatabase) }, { "servers", encodeAll(fleet.servers, encodeServer) } };
}

Result<void> mergeActivity(const json::object& object, FleetSnapshot& fleet)
{
    BOOST_OUTCOME_TRY(mergeAll(object, "organisations", decodeOrganisation, fleet.organisations));
    BOOST_OUTCOME_TRY(mergeAll(object, "databases", decodeDatabase, fleet.databases));
    return mergeAll(object, "servers", decodeServer, fleet.servers);
}

}
