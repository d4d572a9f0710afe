#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/limits/MemoryBudget.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// The state of a VM that its metrics page reports in addition to the request counters.
struct ProxyGauges {
    size_t sessions = 0;
    size_t backendConnections = 0;
    size_t waitingStatements = 0;
    size_t fleetSize = 0;
    uint64_t configurationVersion = 0;
    bool storeReachable = false;
    bool ready = false;
    size_t evacuatedDataCentres = 0;
    // What is held for callers, by CallerMemory.
    std::array<size_t, callerMemoryNames.size()> callerBytes {};
};

// Counters and histograms of the session path in the Prometheus text format. Label values come from fixed sets, which bounds the
// number of time series.
class ProxyMetrics {
public:
    ProxyMetrics();
    ~ProxyMetrics();

    ProxyMetrics(const ProxyMetrics&) = delete;
    ProxyMetrics& operator=(const ProxyMetrics&) = delete;

    // Counts a request by its outcome and records the duration of a successful one.
    void countRequest(const std::optional<ErrorKind>&, Duration);
    // Counts an opening of a connection to a backend server by its outcome: opened, refused, unreachable, full or misrouted.
    void countOpening(std::string_view outcome);
    // Counts an operation that the quotas have refused, by its cause.
    void countQuotaRefusal(std::string_view cause);
    // Counts tokens of quotas by what became of them: granted, used, returned or expired.
    void countQuotaTokens(std::string_view event, double count);
    // Counts a statement that the queue before a backend server has refused, by the reason.
    void countQueueRefusal(std::string_view reason);
    // Records how long a statement that had to wait before a backend server has waited.
    void observeQueueWait(Duration);
    // Counts the choice of a server for a read by its reason, and records the age of the report of the server's load.
    void countReadChoice(std::string_view reason, const std::optional<Duration>& reportAge);
    // Counts a caller's connection or statement that was refused to save memory or descriptors, by its reason.
    void countMemoryRefusal(std::string_view reason);
    // Counts a promotion that this VM has performed.
    void countPromotion();

    // Returns the metrics page, including the given state.
    std::string exposition(const ProxyGauges&);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
