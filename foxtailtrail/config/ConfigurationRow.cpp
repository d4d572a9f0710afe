#include "foxtailtrail/config/ConfigurationRow.h"

#include "foxtailtrail/base/Json.h"

namespace foxtail {

namespace {

    Result<ChangeRecord> readRecord(const json::value& value)
    {
        if (!value.is_object())
            return fail(ErrorKind::MalformedRequest, "recent: each element must be an object");
        const json::object& object = value.get_object();
        ChangeRecord record;
        BOOST_OUTCOME_TRY(record.version, unsignedMember(object, "version"));
        BOOST_OUTCOME_TRY(record.changeId, stringMember(object, "changeId"));
        BOOST_OUTCOME_TRY(record.author, stringMember(object, "author"));
        return record;
    }

}

ConfigurationRow makeConfigurationRow(const Configuration& configuration, const ConfigurationRow& previous)
{
    ConfigurationRow row { configurationDigest(configuration), previous.recentChanges };
    row.recentChanges.insert(
        row.recentChanges.begin(), ChangeRecord { configuration.version, configuration.changeId, configuration.author });
    if (row.recentChanges.size() > maxRecentChanges)
        row.recentChanges.resize(maxRecentChanges);
    return row;
}

std::string configurationObjectName(uint64_t version, std::string_view digest)
{
    return "configuration-" + std::to_string(version) + "-" + std::string(digest);
}

std::string serializeConfigurationRow(const ConfigurationRow& row)
{
    json::array recent;
    for (const ChangeRecord& record : row.recentChanges)
        recent.push_back(json::object { { "version", record.version }, { "changeId", record.changeId }, { "author", record.author } });
    return json::serialize(json::object { { "digest", row.digest }, { "recent", std::move(recent) } });
}

Result<ConfigurationRow> parseConfigurationRow(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(text));
    ConfigurationRow row;
    BOOST_OUTCOME_TRY(row.digest, stringMember(object, "digest"));
    BOOST_OUTCOME_TRY(const json::array recent, arrayMember(object, "recent"));
    for (const json::value& value : recent) {
        BOOST_OUTCOME_TRY(ChangeRecord record, readRecord(value));
        row.recentChanges.push_back(std::move(record));
    }
    if (row.recentChanges.empty())
        return fail(ErrorKind::MalformedRequest, "recent: must not be empty");
    return row;
}

}
