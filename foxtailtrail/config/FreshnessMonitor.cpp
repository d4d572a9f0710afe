#include "foxtailtrail/config/FreshnessMonitor.h"

#include <algorithm>
#include <functional>

namespace foxtail {

void FreshnessMonitor::recordInstallation(const Configuration& configuration, const std::string& digest)
{
    this->installed = { configuration.version, digest };
    this->highestReported = std::max(this->highestReported, configuration.version);
    this->witnesses.clear();
    for (const VmAddress& witness : configuration.witnesses)
        this->witnesses.push_back(witness.id);
    std::erase_if(this->witnessReports, [this](const auto& entry) { return !this->isWitness(entry.first); });
    // The deadline that a lower version obtained stays valid: at the send time of its check no higher version had been accepted, so
    // none above the newly installed one had been accepted either. Earlier reports of the new version now confirm it.
    this->evaluateStore();
    this->evaluateWitnesses();
}

void FreshnessMonitor::recordStoreReport(const VersionReport& report, TimePoint sentAt)
{
    this->highestReported = std::max(this->highestReported, report.version);
    if (this->storeReport && this->storeReport->sentAt > sentAt)
        return;
    this->storeReport = TimedReport { report, sentAt };
    this->evaluateStore();
}

void FreshnessMonitor::recordWitnessReport(const VmId& witness, const std::optional<VersionReport>& report, TimePoint sentAt)
{
    if (!report)
        return;
    this->highestReported = std::max(this->highestReported, report->version);
    if (!this->isWitness(witness))
        return;
    const auto lastReport = this->witnessReports.find(witness);
    // The version of a witness never decreases, so a report with a lower version has arrived late.
    if (lastReport != this->witnessReports.end() && lastReport->second.report.version > report->version)
        return;
    if (lastReport != this->witnessReports.end() && lastReport->second.report == *report && lastReport->second.sentAt > sentAt)
        return;
    this->witnessReports.insert_or_assign(witness, TimedReport { *report, sentAt });
    this->evaluateWitnesses();
}

std::optional<VersionReport> FreshnessMonitor::ownReport() const
{
    if (!this->deadline)
        return std::nullopt;
    return this->installed;
}

Result<void> FreshnessMonitor::checkFreshness(TimePoint now) const
{
    if (!this->deadline || now >= *this->deadline)
        return fail(ErrorKind::ConfigurationStale);
    return succeed();
}

bool FreshnessMonitor::isWitness(const VmId& vm) const
{
    return std::find(this->witnesses.begin(), this->witnesses.end(), vm) != this->witnesses.end();
}

void FreshnessMonitor::extendDeadline(TimePoint sentAt)
{
    const Duration usableLifetime(
        static_cast<Duration::rep>(static_cast<double>(this->settings.freshnessLifetime.count()) * (1 - this->settings.maxClockDrift)));
    this->deadline = std::max(this->deadline.value_or(TimePoint::min()), sentAt + usableLifetime);
}

void FreshnessMonitor::evaluateStore()
{
    if (this->installed.version > 0 && this->storeReport && this->storeReport->report == this->installed)
        this->extendDeadline(this->storeReport->sentAt);
}

void FreshnessMonitor::evaluateWitnesses()
{
    std::vector<TimePoint> sendTimes;
    for (const VmId& witness : this->witnesses) {
        const auto lastReport = this->witnessReports.find(witness);
        if (lastReport != this->witnessReports.end() && lastReport->second.report == this->installed)
            sendTimes.push_back(lastReport->second.sentAt);
    }
    const size_t majority = this->witnesses.size() / 2 + 1;
    if (sendTimes.size() < majority)
        return;
    // A majority is only as fresh as its oldest report, so the majority with the latest send times is used.
    std::sort(sendTimes.begin(), sendTimes.end(), std::greater<>());
    this->extendDeadline(sendTimes[majority - 1]);
}

}
