#include "foxtailtrail/burn/BurnSnapshot.h"

#include "foxtailtrail/base/Json.h"

namespace foxtail {

namespace {

    // Larger counts are rejected, so that the sums over all VMs cannot overflow.
    constexpr uint64_t maxCount = uint64_t(1) << 48;

    json::object countsToJson(const RequestCounts& counts)
    {
        return { { "total", counts.total }, { "failed", counts.failed }, { "slow", counts.slow } };
    }

    Result<RequestCounts> parseCounts(const json::value& value)
    {
        if (!value.is_object())
            return fail(ErrorKind::MalformedRequest, "counts must be an object");
        RequestCounts counts;
        BOOST_OUTCOME_TRY(counts.total, unsignedMember(value.get_object(), "total"));
        BOOST_OUTCOME_TRY(counts.failed, unsignedMember(value.get_object(), "failed"));
        BOOST_OUTCOME_TRY(counts.slow, unsignedMember(value.get_object(), "slow"));
        if (counts.total > maxCount || counts.failed > counts.total || counts.slow > counts.total - counts.failed)
            return fail(ErrorKind::MalformedRequest, "the sum of failed and slow must be at most total, and total at most 2^48");
        return counts;
    }

    Result<WindowCounts> parseWindowCounts(const json::value& value)
    {
        if (!value.is_array() || value.get_array().size() != burnWindowCount)
            return fail(ErrorKind::MalformedRequest, "a service must have the counts of 5 windows");
        WindowCounts windows;
        for (size_t index = 0; index < burnWindowCount; ++index) {
            BOOST_OUTCOME_TRY(windows.counts[index], parseCounts(value.get_array()[index]));
        }
        return windows;
    }

}

Duration burnWindowLength(BurnWindow window)
{
    using namespace std::chrono_literals;
    constexpr std::array<Duration, burnWindowCount> lengths { 5min, 30min, 1h, 6h, 24h * 30 };
    return lengths[static_cast<size_t>(window)];
}

void BurnSnapshot::merge(const BurnSnapshot& other)
{
    for (const auto& [name, windows] : other.services) {
        WindowCounts& mergedWindows = this->services[name];
        for (size_t index = 0; index < burnWindowCount; ++index)
            mergedWindows.counts[index] += windows.counts[index];
    }
    for (const auto& [id, counts] : other.organisations)
        this->organisations[id] += counts;
}

std::string serializeBurnSnapshot(const BurnSnapshot& snapshot)
{
    json::object services;
    for (const auto& [name, windows] : snapshot.services) {
        json::array counts;
        for (const RequestCounts& window : windows.counts)
            counts.push_back(countsToJson(window));
        services[name.value] = std::move(counts);
    }
    json::object organisations;
    for (const auto& [id, counts] : snapshot.organisations)
        organisations[id.value] = countsToJson(counts);
    return json::serialize(json::object { { "services", std::move(services) }, { "organisations", std::move(organisations) } });
}

Result<BurnSnapshot> parseBurnSnapshot(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(text));
    BOOST_OUTCOME_TRY(const json::object services, objectMember(object, "services"));
    BOOST_OUTCOME_TRY(const json::object organisations, objectMember(object, "organisations"));
    BurnSnapshot snapshot;
    for (const auto& member : services) {
        BOOST_OUTCOME_TRY(WindowCounts windows, parseWindowCounts(member.value()));
        snapshot.services[ServiceName(std::string(member.key()))] = windows;
    }
    for (const auto& member : organisations) {
        BOOST_OUTCOME_TRY(RequestCounts counts, parseCounts(member.value()));
        snapshot.organisations[OrganisationId(std::string(member.key()))] = counts;
    }
    return snapshot;
}

}
