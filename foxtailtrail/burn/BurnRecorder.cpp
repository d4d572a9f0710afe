#include "foxtailtrail/burn/BurnRecorder.h"

#include <cassert>
#include <cmath>
#include <set>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned firstServerStatus = 500;
    constexpr size_t minutesPerHour = 60;
    constexpr size_t minutesHeld = 6 * minutesPerHour;
    constexpr size_t hoursHeld = 30 * 24;

}

Result<void> validateObjectives(const std::vector<ServiceObjective>& objectives)
{
    std::set<ServiceName> seen;
    for (const ServiceObjective& objective : objectives) {
        const std::string place = "objective of service " + objective.service.value;
        if (objective.service.empty())
            return fail(ErrorKind::MalformedRequest, "an objective must name its service");
        if (!std::isfinite(objective.availabilityPercent) || objective.availabilityPercent <= 0 || objective.availabilityPercent >= 100)
            return fail(ErrorKind::MalformedRequest, place + ": availability must be over 0 and below 100 percent");
        if (objective.latencyThreshold.count() <= 0)
            return fail(ErrorKind::MalformedRequest, place + ": latency must be over 0");
        if (!seen.insert(objective.service).second)
            return fail(ErrorKind::MalformedRequest, place + ": given twice");
    }
    return succeed();
}

bool countsAsFailure(ErrorKind kind) { return errorKindProperties(kind).httpStatus >= firstServerStatus; }

BurnRecorder::BurnRecorder(const std::vector<ServiceObjective>& objectives)
{
    assert(validateObjectives(objectives).has_value());
    for (const ServiceObjective& objective : objectives) {
        ServiceCounters record { objective.latencyThreshold, CounterRing(1min, minutesHeld), CounterRing(1h, hoursHeld) };
        this->services.emplace(objective.service, std::move(record));
    }
}

void BurnRecorder::record(const RequestSample& sample, TimePoint now)
{
    const auto service = this->services.find(sample.service);
    const bool failed = sample.error && countsAsFailure(*sample.error);
    const bool slow = !sample.error && service != this->services.end() && sample.latency > service->second.latencyThreshold;
    const RequestCounts counts { 1, failed ? 1U : 0U, slow ? 1U : 0U };
    if (service != this->services.end()) {
        service->second.minuteBuckets.add(counts, now);
        service->second.hourBuckets.add(counts, now);
    }
    if (CounterRing* ring = this->organisationRing(sample.organisation))
        ring->add(counts, now);
}

BurnSnapshot BurnRecorder::snapshot(TimePoint now) const
{
    BurnSnapshot snapshot;
    for (const auto& [name, record] : this->services) {
        WindowCounts& windows = snapshot.services[name];
        for (size_t index = 0; index < burnWindowCount; ++index) {
            const auto window = static_cast<BurnWindow>(index);
            const CounterRing& ring = window == BurnWindow::ThirtyDays ? record.hourBuckets : record.minuteBuckets;
            windows.counts[index] = ring.sum(now, burnWindowLength(window));
        }
    }
    for (const auto& [id, ring] : this->organisations) {
        const RequestCounts counts = ring.sum(now, burnWindowLength(BurnWindow::Hour));
        if (counts.total > 0)
            snapshot.organisations[id] = counts;
    }
    return snapshot;
}

CounterRing* BurnRecorder::organisationRing(const OrganisationId& id)
{
    const auto found = this->organisations.find(id);
    if (found != this->organisations.end())
        return &found->second;
    if (id.empty() || this->organisations.size() >= maxOrganisations)
        return nullptr;
    return &this->organisations.emplace(id, CounterRing(1min, minutesPerHour)).first->second;
}

}
