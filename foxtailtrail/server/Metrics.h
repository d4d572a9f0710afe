#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// A finished request of a caller, as counted by the metrics and the burn report.
struct RequestRecord {
    // Empty if the request named no service of the configuration.
    ServiceName service;
    OrganisationId organisation;
    bool isWrite = false;
    // Empty if the request succeeded.
    std::optional<ErrorKind> error;
    Duration duration { 0 };
    // Whether a replica served the request. Only set for reads that succeeded.
    bool wasServedByReplica = false;
};

// The VM's Prometheus metrics. Safe to use from any thread. Label values come only from the configuration and from fixed lists, so the
// number of series is bounded.
class Metrics {
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void countRequest(const RequestRecord&);
    void countPromotion(const DatabaseId&, Duration promotionDuration);
    void setPeerTrafficBytes(std::string_view purpose, uint64_t totalBytes);
    void setConfigurationVersion(uint64_t);
    void setServing(bool);
    void setBurnRate(const ServiceName&, std::string_view window, double rate);

    // Returns all metrics in the Prometheus text exposition format.
    std::string exposition() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
