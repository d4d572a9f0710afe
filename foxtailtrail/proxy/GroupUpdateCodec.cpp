#include "foxtailtrail/proxy/GroupUpdateCodec.h"

#include "foxtailtrail/server/Log.h"

#include <cmath>
#include <stdexcept>

namespace foxtail {

namespace {

    // A VM reports what it knows at present, so a time outside of this range is not that of a renewal or a sample.
    constexpr std::chrono::milliseconds maxPast = std::chrono::hours(24);
    constexpr std::chrono::milliseconds maxFuture = std::chrono::minutes(1);

    // The place of the last acknowledged position in an encoded update.
    constexpr size_t acknowledgedIndex = 7;

    // Converts a time relative to the reference. Throws std::out_of_range.
    TimePoint absoluteTime(const json::value& relative, TimePoint reference)
    {
        const std::chrono::milliseconds offset(relative.to_number<int64_t>());
        if (offset < -maxPast || offset > maxFuture)
            throw std::out_of_range("a time is out of range");
        return reference + offset;
    }

    int64_t relativeMilliseconds(TimePoint time, TimePoint reference)
    {
        return std::chrono::floor<std::chrono::milliseconds>(time - reference).count();
    }

}

json::array encodeGroupUpdates(const std::vector<GroupUpdate>& updates, TimePoint reference)
{
    json::array list;
    for (const GroupUpdate& item : updates) {
        const LogPoint acknowledged = item.acknowledged.value_or(LogPoint {});
        list.push_back(json::array { item.service.value, item.primaryServer.value, item.term.value,
            relativeMilliseconds(item.leaseRenewedAt, reference), item.position.term.value, item.position.position.value,
            relativeMilliseconds(item.sampledAt, reference), acknowledged.term.value, acknowledged.position.value });
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
            update.leaseRenewedAt = absoluteTime(item.at(3), reference);
            update.position.term.value = item.at(4).to_number<uint64_t>();
            update.position.position.value = item.at(5).to_number<uint64_t>();
            update.sampledAt = absoluteTime(item.at(6), reference);
            // VMs of an earlier version of the program do not send the last acknowledged position.
            if (item.size() > acknowledgedIndex + 1) {
                const LogPoint acknowledged { Term { item.at(acknowledgedIndex).to_number<uint64_t>() },
                    Position { item.at(acknowledgedIndex + 1).to_number<uint64_t>() } };
                if (acknowledged.term != Term {})
                    update.acknowledged = acknowledged;
            }
            updates.push_back(std::move(update));
        } catch (const std::exception& error) {
            logEvent(LogLevel::Debug, "group update ignored: it cannot be decoded", { { "detail", error.what() } });
        }
    }
    return updates;
}

}
