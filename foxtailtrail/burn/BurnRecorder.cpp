#include "foxtailtrail/burn/BurnRecorder.h"

#include <cassert>
#include <cmath>
#include <set>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned minServerErrorStatus = 500;
    constexpr size_t minutesPerHour = 60;
    constexpr size_t retainedMinutes = 6 * minutesPerHour;
    constexpr size_t retainedHours = 30 * 24;

}

Result<void> validateObjectives(const std::vector<ServiceObjective>& objectives)
{
    std::set<ServiceName> seen;
    for (const ServiceObjective& objective : objectives) {
        const std::string errorPrefix = "objective of service " + objective.service.value;
        if (objective.service.empty())
            return fail(ErrorKind::MalformedRequest, "an objective has no service name");
        if (!std::isfinite(objective.availabilityPercent) || objective.availabilityPercent <= 0 || objective.availabilityPercent >= 100)
            return fail(ErrorKind::MalformedRequest, errorPrefix + ": availability must be above 0 and below 100 percent");
        if (objective.latencyThreshold.count() <= 0)
            return fail(ErrorKind::MalformedRequest, errorPrefix + ": latency must be above 0");
        if (!seen.insert(objective.service).second)
            return fail(ErrorKind::MalformedRequest, errorPrefix + ": the service already has an objective");
    }
    return succeed();
}

bool countsAsFailure(ErrorKind kind) { return errorKindProperties(kind).httpStatus >= minServerErrorStatus; }

BurnRecorder::BurnRecorder(const std::vector<ServiceObjective>& objectives)
{
    assert(validateObjectives(objectives).has_value());
    for (const ServiceObjective& objective : objectives) {
        ServiceCounters counters { objective.latencyThreshold, CounterRing(1min, retainedMinutes), CounterRing(1h, retainedHours) };
        this->services.emplace(objective.service, std::move(counters));
    }
}

void BurnRecorder::record(const RequestSample& sample, TimePoint now)
{
    const auto service = this->services.find(sample.service);
    const bool isFailed = sample.error && countsAsFailure(*sample.error);
    const bool isSlow = !sample.error && service != this->services.end() && sample.latency > service->second.latencyThreshold;
    const RequestCounts counts { 1, isFailed ? 1U : 0U, isSlow ? 1U : 0U };
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
    for (const auto& [name, counters] : this->services) {
        WindowCounts& windows = snapshot.services[name];
        for (size_t index = 0; index < burnWindowCount; ++index) {
            const auto window = static_cast<BurnWindow>(index);
            const CounterRing& ring = window == BurnWindow::ThirtyDays ? counters.hourBuckets : counters.minuteBuckets;
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
