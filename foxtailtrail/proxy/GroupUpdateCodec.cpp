#include "foxtailtrail/proxy/GroupUpdateCodec.h"

#include "foxtailtrail/server/Log.h"

#include <cmath>

namespace foxtail {

namespace {

    int64_t relativeMilliseconds(TimePoint time, TimePoint reference)
    {
        return std::chrono::floor<std::chrono::milliseconds>(time - reference).count();
    }

}

json::array encodeGroupUpdates(const std::vector<GroupUpdate>& updates, TimePoint reference)
{
    json::array list;
    for (const GroupUpdate& item : updates) {
        list.push_back(json::array { item.service.value, item.primaryServer.value, item.term.value,
            relativeMilliseconds(item.leaseRenewedAt, reference), item.position.term.value, item.position.position.value,
            relativeMilliseconds(item.sampledAt, reference) });
    }
    return list;
}

std::vector<GroupUpdate> decodeGroupUpdates(const json::array& list, TimePoint reference)
{
    std::vector<GroupUpdate> updates;
    for (const json::value& element : list) {
        try {
            const json::array& item = element.as_array();
            GroupUpdate update;
            update.service.value = std::string_view(item.at(0).as_string());
            update.primaryServer.value = std::string_view(item.at(1).as_string());
            update.term.value = item.at(2).to_number<uint64_t>();
            update.leaseRenewedAt = reference + std::chrono::milliseconds(item.at(3).to_number<int64_t>());
            update.position.term.value = item.at(4).to_number<uint64_t>();
            update.position.position.value = item.at(5).to_number<uint64_t>();
            update.sampledAt = reference + std::chrono::milliseconds(item.at(6).to_number<int64_t>());
            updates.push_back(std::move(update));
        } catch (const std::exception& error) {
            logEvent(LogLevel::Debug, "group update ignored: it cannot be decoded", { { "detail", error.what() } });
        }
    }
    return updates;
}

}
