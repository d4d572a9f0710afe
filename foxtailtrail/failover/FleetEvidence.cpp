#include "foxtailtrail/failover/FleetEvidence.h"

#include <algorithm>
#include <utility>

namespace foxtail {

void FleetEvidence::expectReportsOf(std::set<VmId> vms) { this->expected = std::move(vms); }

void FleetEvidence::record(const GroupReport& report)
{
    GroupReport& known = this->reports[report.vm];
    GroupReport merged = report;
    if (merged.sampledAt < known.sampledAt) {
        merged.sampledAt = known.sampledAt;
        merged.sampledLogPoint = known.sampledLogPoint;
    }
    merged.acknowledged = std::max(merged.acknowledged, known.acknowledged);
    merged.commitSentAt = std::max(merged.commitSentAt, known.commitSentAt);
    merged.primaryLedAt = std::max(merged.primaryLedAt, known.primaryLedAt);
    known = merged;
}

bool FleetEvidence::hasCommitAfter(TimePoint time) const
{
    return std::any_of(this->reports.begin(), this->reports.end(),
        [&](const auto& each) { return each.second.commitSentAt && time < *each.second.commitSentAt; });
}

std::optional<TimePoint> FleetEvidence::primaryLedAt() const
{
    std::optional<TimePoint> newest;
    for (const auto& [vm, report] : this->reports)
        newest = std::max(newest, report.primaryLedAt);
    return newest;
}

std::optional<LogPoint> FleetEvidence::highestAcknowledged() const
{
    std::optional<LogPoint> highest;
    for (const auto& [vm, report] : this->reports)
        highest = std::max(highest, report.acknowledged);
    return highest;
}

std::optional<TimePoint> FleetEvidence::newestSampleAt() const
{
    std::optional<TimePoint> newest;
    for (const auto& [vm, report] : this->reports)
        newest = std::max(newest, report.sampledAt);
    return newest;
}

std::optional<LogPoint> FleetEvidence::highestPossible(const std::optional<LogPoint>& startPoint) const
{
    std::optional<LogPoint> highest = this->highestAcknowledged();
    for (const auto& [vm, report] : this->reports) {
        const bool isOfEarlierPrimary = startPoint && report.sampledLogPoint && report.sampledLogPoint->term <= startPoint->term;
        highest = std::max(highest, isOfEarlierPrimary ? std::min(report.sampledLogPoint, startPoint) : report.sampledLogPoint);
    }
    return highest;
}

bool FleetEvidence::isEveryCommitKnown(TimePoint now) const
{
    const std::optional<TimePoint> coveredUntil = this->newestSampleAt();
    if (this->expected.empty() || !coveredUntil)
        return false;
    return std::all_of(this->expected.begin(), this->expected.end(), [&](const VmId& vm) {
        const auto found = this->reports.find(vm);
        return found != this->reports.end() && now <= found->second.receivedAt + reportLifetime && found->second.holdsBackCommits
            && found->second.remembersFrom <= *coveredUntil;
    });
}

bool FleetEvidence::hasAnswer(const VmId& self) const
{
    return this->expected.size() <= 1
        || std::any_of(this->reports.begin(), this->reports.end(), [&](const auto& each) { return each.first != self; });
}

}
