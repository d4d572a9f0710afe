#include "foxtailtrail/proxy/FleetRows.h"

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/server/Log.h"

#include <cmath>
#include <cstdint>
#include <utility>

namespace foxtail {

namespace {

    constexpr std::string_view vmPrefix = "vm/";
    constexpr std::string_view primaryPrefix = "leader/";
    constexpr std::string_view promotionLockPrefix = "promotion/";

    // Returns the decoded row, or logs why it could not be decoded.
    template <typename T> std::optional<T> valueOrLog(std::string_view key, const Result<T>& decoded)
    {
        if (decoded)
            return decoded.value();
        logEvent(LogLevel::Warning, "store row ignored: it cannot be decoded", { { "key", key }, { "detail", decoded.error().detail } });
        return std::nullopt;
    }

    Result<uint16_t> portMember(const json::object& object, std::string_view name)
    {
        BOOST_OUTCOME_TRY(const uint64_t number, unsignedMember(object, name));
        if (number > UINT16_MAX)
            return fail(ErrorKind::MalformedRequest, "member \"" + std::string(name) + "\" must be a port");
        return static_cast<uint16_t>(number);
    }

    Result<PeerEntry> parsePeer(std::string_view id, std::string_view value)
    {
        BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(value));
        PeerEntry entry;
        entry.id = VmId(std::string(id));
        BOOST_OUTCOME_TRY(entry.configurationEndpoint.address, stringMember(object, "address"));
        BOOST_OUTCOME_TRY(entry.dataCentre.value, stringMember(object, "dataCentre"));
        BOOST_OUTCOME_TRY(entry.configurationEndpoint.port, portMember(object, "controlPort"));
        BOOST_OUTCOME_TRY(entry.datagramPort, portMember(object, "datagramPort"));
        BOOST_OUTCOME_TRY(entry.relayPort, portMember(object, "relayPort"));
        BOOST_OUTCOME_TRY(entry.processorShare, numberMember(object, "processorShare"));
        if (!std::isfinite(entry.processorShare) || entry.processorShare <= 0)
            return fail(ErrorKind::MalformedRequest, "member \"processorShare\" must be above 0");
        return entry;
    }

    Result<PrimaryRecord> parsePrimary(std::string_view service, std::string_view value)
    {
        BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(value));
        PrimaryRecord record;
        record.service = ServiceName(std::string(service));
        BOOST_OUTCOME_TRY(record.term.value, unsignedMember(object, "term"));
        BOOST_OUTCOME_TRY(record.server.value, stringMember(object, "server"));
        BOOST_OUTCOME_TRY(record.isSettled, booleanMember(object, "settled"));
        if (object.contains("predecessor")) {
            BOOST_OUTCOME_TRY(record.predecessor.value, stringMember(object, "predecessor"));
        }
        if (object.contains("members")) {
            BOOST_OUTCOME_TRY(const json::array members, arrayMember(object, "members"));
            for (const json::value& member : members) {
                if (!member.is_string())
                    return fail(ErrorKind::MalformedRequest, "member \"members\" must hold ids of servers");
                record.members.emplace_back(std::string(member.get_string()));
            }
            BOOST_OUTCOME_TRY(record.memberRevision, unsignedMember(object, "memberRevision"));
        }
        if (object.contains("startPoint")) {
            BOOST_OUTCOME_TRY(const json::object startPoint, objectMember(object, "startPoint"));
            record.startPoint.emplace();
            BOOST_OUTCOME_TRY(record.startPoint->term.value, unsignedMember(startPoint, "term"));
            BOOST_OUTCOME_TRY(record.startPoint->position.value, unsignedMember(startPoint, "position"));
        }
        return record;
    }

    Result<PromotionLockRecord> parsePromotionLock(std::string_view value)
    {
        BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(value));
        PromotionLockRecord record;
        BOOST_OUTCOME_TRY(record.holder.value, stringMember(object, "holder"));
        BOOST_OUTCOME_TRY(record.fencingToken, unsignedMember(object, "fence"));
        BOOST_OUTCOME_TRY(const uint64_t endsAt, unsignedMember(object, "endsAtMs"));
        if (endsAt > INT64_MAX)
            return fail(ErrorKind::MalformedRequest, "member \"endsAtMs\" is out of range");
        record.endsAtMs = static_cast<int64_t>(endsAt);
        return record;
    }

}

std::string vmRowKey(const VmId& id) { return std::string(vmPrefix) + id.value; }

std::string primaryRowKey(const ServiceName& service) { return std::string(primaryPrefix) + service.value; }

std::string promotionLockRowKey(uint64_t era) { return std::string(promotionLockPrefix) + std::to_string(era); }

std::string encodePeer(const PeerEntry& entry)
{
    return json::serialize(json::object { { "address", entry.configurationEndpoint.address },
        { "controlPort", entry.configurationEndpoint.port }, { "datagramPort", entry.datagramPort }, { "relayPort", entry.relayPort },
        { "dataCentre", entry.dataCentre.value }, { "processorShare", entry.processorShare } });
}

std::string encodePrimary(const PrimaryRecord& record)
{
    json::object object { { "term", record.term.value }, { "server", record.server.value }, { "settled", record.isSettled } };
    if (!record.predecessor.empty())
        object["predecessor"] = record.predecessor.value;
    if (!record.members.empty()) {
        json::array members;
        for (const BackendServerId& member : record.members)
            members.emplace_back(member.value);
        object["members"] = std::move(members);
        object["memberRevision"] = record.memberRevision;
    }
    if (record.startPoint)
        object["startPoint"]
            = json::object { { "term", record.startPoint->term.value }, { "position", record.startPoint->position.value } };
    return json::serialize(object);
}

std::string encodePromotionLock(const PromotionLockRecord& record)
{
    return json::serialize(
        json::object { { "holder", record.holder.value }, { "fence", record.fencingToken }, { "endsAtMs", record.endsAtMs } });
}

std::optional<PeerEntry> decodePeer(std::string_view key, std::string_view value)
{
    if (!key.starts_with(vmPrefix))
        return std::nullopt;
    return valueOrLog(key, parsePeer(key.substr(vmPrefix.size()), value));
}

std::optional<PrimaryRecord> decodePrimary(std::string_view key, std::string_view value)
{
    if (!key.starts_with(primaryPrefix))
        return std::nullopt;
    return valueOrLog(key, parsePrimary(key.substr(primaryPrefix.size()), value));
}

std::optional<PromotionLockRecord> decodePromotionLock(std::string_view key, std::string_view value)
{
    return valueOrLog(key, parsePromotionLock(value));
}

}
