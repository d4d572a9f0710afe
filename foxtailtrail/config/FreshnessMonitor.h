#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/Configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// How long a confirmed version may be served without a new confirmation.
struct FreshnessSettings {
    Duration freshnessLifetime = std::chrono::seconds(3);
    // The share by which this VM's clock may run slow. The time that it allows itself is shortened by it.
    double maxClockDrift = 0.01;
};

// A version together with the digest of its document.
struct VersionReport {
    uint64_t version = 0;
    std::string digest;
    bool operator==(const VersionReport&) const = default;
};

// Decides until when this VM may serve what depends on the configuration. The send time of a check counts, because
// a newer version may have been accepted at any time after it.
class FreshnessMonitor {
public:
    explicit FreshnessMonitor(FreshnessSettings settings = {})
        : settings(settings)
    {
    }

    // The follower has installed a document with this digest.
    void recordInstallation(const Configuration&, const std::string& digest);

    // A read of the store's row, sent at the given time, named this version.
    void recordStoreReport(const VersionReport&, TimePoint sentAt);

    // A witness answered a question sent at the given time. It reports nothing while it may not report a version.
    // A VM that is a witness itself also passes in its own report.
    void recordWitnessReport(const VmId&, const std::optional<VersionReport>&, TimePoint sentAt);

    // What this VM may report as a witness: the installed version once any version has been confirmed since this
    // process started. Until then it may hold an old copy and confirms nothing for others.
    std::optional<VersionReport> ownReport() const;

    // The end of the time in which this VM may serve, or nothing before the first confirmation.
    std::optional<TimePoint> servingDeadline() const { return this->deadline; }

    // Fails with ConfigurationStale when this VM may not serve at the given time.
    Result<void> checkFreshness(TimePoint now) const;

    // The highest version that anyone has named. The document is to be fetched when it is above the installed one.
    uint64_t highestReportedVersion() const { return this->highestReported; }

private:
    // An answer with the send time of its question.
    struct TimedReport {
        VersionReport report;
        TimePoint sentAt;
    };

    bool isWitness(const VmId&) const;
    void extendDeadline(TimePoint sentAt);
    void evaluateStore();
    void evaluateWitnesses();

    FreshnessSettings settings;
    VersionReport installed;
    std::vector<VmId> witnesses;
    std::optional<TimedReport> storeReport;
    std::map<VmId, TimedReport> witnessReports;
    std::optional<TimePoint> deadline;
    uint64_t highestReported = 0;
};

}
