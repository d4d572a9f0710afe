#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// What a VM shows of its state beside the counts of requests.
struct ProxyGauges {
    size_t sessions = 0;
    size_t backendConnections = 0;
    size_t fleetSize = 0;
    uint64_t configurationVersion = 0;
    bool storeReachable = false;
    bool ready = false;
};

// Counters and histograms of the session path, in the text format of Prometheus. Labels take values of closed lists only.
class ProxyMetrics {
public:
    ProxyMetrics();
    ~ProxyMetrics();

    ProxyMetrics(const ProxyMetrics&) = delete;
    ProxyMetrics& operator=(const ProxyMetrics&) = delete;

    // Counts a request by its outcome.
    void countRequest(const std::optional<ErrorKind>&, Duration);
    // Counts an opening of a connection to a backend server by its end: opened, refused, unreachable, full or misrouted.
    void countOpening(std::string_view outcome);
    // Counts a promotion that this VM has carried out.
    void countPromotion();

    // The page, with the state as it is now.
    std::string exposition(const ProxyGauges&);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
