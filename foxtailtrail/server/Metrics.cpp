#include "foxtailtrail/server/Metrics.h"

#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace foxtail {

namespace {

    // Upper bounds in seconds, from the duration of a local request to the default deadline.
    const prometheus::Histogram::BucketBoundaries durationBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5 };

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

class Metrics::Implementation {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                            .Name("foxtail_requests_total")
                                                            .Help("Finished requests by service, kind and result.")
                                                            .Register(this->registry);
    prometheus::Family<prometheus::Histogram>& durations = prometheus::BuildHistogram()
                                                               .Name("foxtail_request_duration_seconds")
                                                               .Help("Time from the arrival of a request to its answer.")
                                                               .Register(this->registry);
    prometheus::Family<prometheus::Counter>& reads = prometheus::BuildCounter()
                                                         .Name("foxtail_reads_total")
                                                         .Help("Reads answered, by the role of the backend server.")
                                                         .Register(this->registry);
    prometheus::Family<prometheus::Counter>& promotions
        = prometheus::BuildCounter().Name("foxtail_promotions_total").Help("Promotions that this VM completed.").Register(this->registry);
    prometheus::Family<prometheus::Gauge>& lastPromotionDuration
        = prometheus::BuildGauge()
              .Name("foxtail_last_promotion_seconds")
              .Help("Duration of the last promotion from its start, without detection.")
              .Register(this->registry);
    prometheus::Family<prometheus::Gauge>& traffic = prometheus::BuildGauge()
                                                         .Name("foxtail_peer_traffic_bytes")
                                                         .Help("Bytes exchanged with other VMs since the start, by purpose.")
                                                         .Register(this->registry);
    prometheus::Family<prometheus::Gauge>& configurationVersion = prometheus::BuildGauge()
                                                                      .Name("foxtail_configuration_version")
                                                                      .Help("The configuration version in force on this VM.")
                                                                      .Register(this->registry);
    prometheus::Family<prometheus::Gauge>& serving
        = prometheus::BuildGauge().Name("foxtail_serving").Help("1 while the configuration is confirmed, else 0.").Register(this->registry);
    prometheus::Family<prometheus::Gauge>& burn = prometheus::BuildGauge()
                                                      .Name("foxtail_slo_burn_rate")
                                                      .Help("Burn rate of the error budget by service and window.")
                                                      .Register(this->registry);
};

Metrics::Metrics()
    : implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(const RequestRecord& record)
{
    const std::string service = record.service.empty() ? "unknown" : record.service.value;
    const std::string result = record.error ? std::string(errorKindProperties(*record.error).name) : "Success";
    const std::string kind = record.isWrite ? "write" : "read";
    this->implementation->requests.Add({ { "service", service }, { "kind", kind }, { "result", result } }).Increment();
    this->implementation->durations.Add({ { "service", service }, { "kind", kind } }, durationBuckets).Observe(toSeconds(record.duration));
    if (!record.isWrite && !record.error)
        this->implementation->reads.Add({ { "service", service }, { "role", record.wasServedByReplica ? "replica" : "primary" } })
            .Increment();
}

void Metrics::countPromotion(const DatabaseId& database, Duration promotionDuration)
{
    this->implementation->promotions.Add({ { "database", database.value } }).Increment();
    this->implementation->lastPromotionDuration.Add({ { "database", database.value } }).Set(toSeconds(promotionDuration));
}

void Metrics::setPeerTrafficBytes(std::string_view purpose, uint64_t totalBytes)
{
    this->implementation->traffic.Add({ { "purpose", std::string(purpose) } }).Set(static_cast<double>(totalBytes));
}

void Metrics::setConfigurationVersion(uint64_t version)
{
    this->implementation->configurationVersion.Add({}).Set(static_cast<double>(version));
}

void Metrics::setServing(bool serving) { this->implementation->serving.Add({}).Set(serving ? 1 : 0); }

void Metrics::setBurnRate(const ServiceName& service, std::string_view window, double rate)
{
    this->implementation->burn.Add({ { "service", service.value }, { "window", std::string(window) } }).Set(rate);
}

std::string Metrics::exposition() const { return prometheus::TextSerializer().Serialize(this->implementation->registry.Collect()); }

}
