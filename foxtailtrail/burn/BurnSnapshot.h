#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/burn/CounterRing.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace foxtail {

// The windows of a report. Burn rates are judged in the pairs 5 min with 1 h and 30 min with 6 h.
enum class BurnWindow : uint8_t {
    FiveMinutes,
    HalfHour,
    Hour,
    SixHours,
    ThirtyDays,
};
constexpr size_t burnWindowCount = 5;

// The length of a window.
Duration burnWindowLength(BurnWindow);

// The counts of one service over each window.
struct WindowCounts {
    std::array<RequestCounts, burnWindowCount> counts;

    const RequestCounts& countsFor(BurnWindow window) const { return this->counts[static_cast<size_t>(window)]; }
};

// What one VM has counted, or several together. Windows end at the moment of each VM's own snapshot, so snapshots
// can be added although the VMs' clocks can't be compared.
struct BurnSnapshot {
    std::map<ServiceName, WindowCounts> services;
    // Over the last hour.
    std::map<OrganisationId, RequestCounts> organisations;

    void merge(const BurnSnapshot&);
};

std::string serializeBurnSnapshot(const BurnSnapshot&);

// Fails with MalformedRequest, naming the member at fault.
Result<BurnSnapshot> parseBurnSnapshot(std::string_view text);

}
