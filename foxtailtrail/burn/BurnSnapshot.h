#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/burn/CounterRing.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace foxtail {

// The time windows of a report. Alerts evaluate the burn rates in pairs of windows: 5 min with 1 h, and 30 min with 6 h.
enum class BurnWindow : uint8_t {
    FiveMinutes,
    HalfHour,
    Hour,
    SixHours,
    ThirtyDays,
};
constexpr size_t burnWindowCount = 5;

// Returns the length of a window.
Duration burnWindowLength(BurnWindow);

// The request counts of one service over each window.
struct WindowCounts {
    std::array<RequestCounts, burnWindowCount> counts;

    const RequestCounts& countsFor(BurnWindow window) const { return this->counts[static_cast<size_t>(window)]; }
};

// The counts of one VM, or the merged counts of several. The windows end when the VM takes its snapshot, so the snapshots of several VMs
// can be added although their clocks cannot be compared.
struct BurnSnapshot {
    std::map<ServiceName, WindowCounts> services;
    // The counts over the last hour.
    std::map<OrganisationId, RequestCounts> organisations;

    // Adds the counts of another snapshot to this one.
    void merge(const BurnSnapshot&);
};

// Serializes a snapshot as JSON.
std::string serializeBurnSnapshot(const BurnSnapshot&);

// Parses the output of serializeBurnSnapshot. Fails with MalformedRequest if the text is not a valid snapshot.
Result<BurnSnapshot> parseBurnSnapshot(std::string_view text);

}
