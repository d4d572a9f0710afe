#include "foxtailtrail/config/FreshnessMonitor.h"

#include <algorithm>

namespace foxtail {

void FreshnessMonitor::install(const Configuration& configuration, const std::string& digest)
{
    this->installed = { configuration.version, digest };
    this->confirm(TimePoint());
}

void FreshnessMonitor::storeReported(const VersionReport& report, TimePoint)
{
    this->highestNamed = std::max(this->highestNamed, report.version);
}

void FreshnessMonitor::witnessReported(const VmId&, const std::optional<VersionReport>& report, TimePoint)
{
    if (report)
        this->highestNamed = std::max(this->highestNamed, report->version);
}

std::optional<VersionReport> FreshnessMonitor::ownReport() const { return this->installed; }

Result<void> FreshnessMonitor::check(TimePoint now) const
{
    if (!this->deadline || now >= *this->deadline)
        return fail(ErrorKind::ConfigurationStale);
    return succeed();
}

void FreshnessMonitor::confirm(TimePoint) { this->deadline = TimePoint::max(); }

void FreshnessMonitor::evaluateStore() { }

void FreshnessMonitor::evaluateWitnesses() { }

}
