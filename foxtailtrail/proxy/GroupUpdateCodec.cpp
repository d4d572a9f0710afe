#include "foxtailtrail/proxy/GroupUpdateCodec.h"

#include "foxtailtrail/server/Log.h"

#include <cmath>

namespace foxtail {

namespace {

    int64_t relative(TimePoint time, TimePoint reference)
    {
        return std::chrono::floor<std::chrono::milliseconds>(time - reference).count();
    }

}

json::array encodeGroupUpdates(const std::vector<GroupUpdate>& news, TimePoint reference)
{
    json::array list;
    for (const GroupUpdate& item : news) {
        list.push_back(
            json::array { item.service.value, item.primaryServer.value, item.term.value, relative(item.leaseRenewedAt, reference),
                item.position.term.value, item.position.position.value, relative(item.sampledAt, reference) });
    }
    return list;
}

std::vector<GroupUpdate> decodeGroupUpdates(const json::array& list, TimePoint reference)
{
    std::vector<GroupUpdate> news;
    for (const json::value& each : list) {
        try {
            const json::array& item = each.as_array();
            GroupUpdate read;
            read.service.value = std::string_view(item.at(0).as_string());
            read.primaryServer.value = std::string_view(item.at(1).as_string());
            read.term.value = item.at(2).to_number<uint64_t>();
            read.leaseRenewedAt = reference + std::chrono::milliseconds(item.at(3).to_number<int64_t>());
            read.position.term.value = item.at(4).to_number<uint64_t>();
            read.position.position.value = item.at(5).to_number<uint64_t>();
            read.sampledAt = reference + std::chrono::milliseconds(item.at(6).to_number<int64_t>());
            news.push_back(std::move(read));
        } catch (const std::exception& error) {
            logEvent(LogLevel::Debug, "news skipped", { { "detail", error.what() } });
        }
    }
    return news;
}

}
