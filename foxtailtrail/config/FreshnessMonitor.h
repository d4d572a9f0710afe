#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/Configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// Bounds the time for which a confirmed version may be served without a new confirmation.
struct FreshnessSettings {
    Duration freshnessLifetime = std::chrono::seconds(3);
    // The fraction by which this VM's clock may run slow. The freshness lifetime is shortened by this fraction.
    double maxClockDrift = 0.01;
};

// A version together with the digest of its document.
struct VersionReport {
    uint64_t version = 0;
    std::string digest;
    bool operator==(const VersionReport&) const = default;
};

// Computes the deadline until which this VM may serve requests under its installed configuration. A confirmation counts from the send
// time of its check, because a newer version may have been accepted at any later time.
class FreshnessMonitor {
public:
    explicit FreshnessMonitor(FreshnessSettings settings = {})
        : settings(settings)
    {
    }

    // Records that this VM has installed a document with the given digest.
    void recordInstallation(const Configuration&, const std::string& digest);

    // Records the version that the store's row contained. The read was sent at the given time.
    void recordStoreReport(const VersionReport&, TimePoint sentAt);

    // Records the report of a witness to a query sent at the given time. The report is empty while the witness may not report a
    // version. A VM that is itself a witness also records its own report.
    void recordWitnessReport(const VmId&, const std::optional<VersionReport>&, TimePoint sentAt);

    // Returns the installed version, which this VM reports as a witness, or std::nullopt while no version has been confirmed since
    // this process started. Until then its copy may be old and must not confirm a version for others.
    std::optional<VersionReport> ownReport() const;

    // Returns the time until which this VM may serve, or std::nullopt before the first confirmation.
    std::optional<TimePoint> servingDeadline() const { return this->deadline; }

    // Fails with ConfigurationStale if this VM may not serve at the given time.
    Result<void> checkFreshness(TimePoint now) const;

    // Returns the highest version reported by the store or a VM. If it is above the installed version, its document must be fetched.
    uint64_t highestReportedVersion() const { return this->highestReported; }

private:
    // A report with the send time of its query.
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
