#include "foxtailtrail/proxy/ProxyMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace foxtail {

namespace {

    // Upper bucket bounds in seconds, from a reply without a backend server to the longest statement timeout.
    const prometheus::Histogram::BucketBoundaries durationBucketBoundsSeconds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5 };
    // Upper bucket bounds in seconds, from the way back of an answer to the lifetime of a report.
    const prometheus::Histogram::BucketBoundaries reportAgeBucketBoundsSeconds { 0.025, 0.1, 0.25, 0.5, 1, 2, 5 };

}

class ProxyMetrics::Implementation {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests
        = prometheus::BuildCounter().Name("foxtail_session_requests_total").Help("Requests of sessions by outcome").Register(registry);
    prometheus::Family<prometheus::Histogram>& durations
        = prometheus::BuildHistogram().Name("foxtail_session_request_seconds").Help("Time from a request to its answer").Register(registry);
    prometheus::Family<prometheus::Counter>& openings = prometheus::BuildCounter()
                                                            .Name("foxtail_backend_openings_total")
                                                            .Help("Openings of backend connections by end")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter>& quotaRefusals = prometheus::BuildCounter()
                                                                 .Name("foxtail_quota_refusals_total")
                                                                 .Help("Operations that the quotas have refused, by cause")
                                                                 .Register(registry);
    prometheus::Family<prometheus::Counter>& quotaTokens
        = prometheus::BuildCounter().Name("foxtail_quota_tokens_total").Help("Tokens of quotas on this VM, by event").Register(registry);
    prometheus::Family<prometheus::Counter>& queueRefusals = prometheus::BuildCounter()
                                                                 .Name("foxtail_queue_refusals_total")
                                                                 .Help("Statements refused before a backend server, by reason")
                                                                 .Register(registry);
    prometheus::Family<prometheus::Histogram>& queueWaits = prometheus::BuildHistogram()
                                                                .Name("foxtail_queue_wait_seconds")
                                                                .Help("Time that statements have waited before a backend server")
                                                                .Register(registry);
    prometheus::Family<prometheus::Counter>& readChoices = prometheus::BuildCounter()
                                                               .Name("foxtail_read_choices_total")
                                                               .Help("Choices of a backend server for a read, by reason")
                                                               .Register(registry);
    prometheus::Family<prometheus::Histogram>& loadReportAges = prometheus::BuildHistogram()
                                                                    .Name("foxtail_load_report_age_seconds")
                                                                    .Help("Age of the report of the chosen server's load")
                                                                    .Register(registry);
    prometheus::Family<prometheus::Counter>& memoryRefusals = prometheus::BuildCounter()
                                                                  .Name("foxtail_memory_refusals_total")
                                                                  .Help("Callers refused to save memory or descriptors, by reason")
                                                                  .Register(registry);
    prometheus::Family<prometheus::Gauge>& callerBytes
        = prometheus::BuildGauge().Name("foxtail_caller_bytes").Help("Bytes held for callers, by kind").Register(registry);
    prometheus::Family<prometheus::Counter>& promotions
        = prometheus::BuildCounter().Name("foxtail_session_promotions_total").Help("Promotions carried out by this VM").Register(registry);
    prometheus::Family<prometheus::Gauge>& state
        = prometheus::BuildGauge().Name("foxtail_vm_state").Help("State of this VM by name").Register(registry);
};

ProxyMetrics::ProxyMetrics()
    : implementation(std::make_unique<Implementation>())
{
}

ProxyMetrics::~ProxyMetrics() = default;

void ProxyMetrics::countRequest(const std::optional<ErrorKind>& error, Duration duration)
{
    const std::string outcome = error ? std::string(errorKindProperties(*error).name) : "served";
    this->implementation->requests.Add({ { "outcome", outcome } }).Increment();
    if (!error)
        this->implementation->durations.Add({}, durationBucketBoundsSeconds).Observe(std::chrono::duration<double>(duration).count());
}

void ProxyMetrics::countOpening(std::string_view outcome)
{
    this->implementation->openings.Add({ { "end", std::string(outcome) } }).Increment();
}

void ProxyMetrics::countQuotaRefusal(std::string_view cause)
{
    this->implementation->quotaRefusals.Add({ { "cause", std::string(cause) } }).Increment();
}

void ProxyMetrics::countQuotaTokens(std::string_view event, double count)
{
    this->implementation->quotaTokens.Add({ { "event", std::string(event) } }).Increment(count);
}

void ProxyMetrics::countQueueRefusal(std::string_view reason)
{
    this->implementation->queueRefusals.Add({ { "reason", std::string(reason) } }).Increment();
}

void ProxyMetrics::observeQueueWait(Duration waited)
{
    this->implementation->queueWaits.Add({}, durationBucketBoundsSeconds).Observe(std::chrono::duration<double>(waited).count());
}

void ProxyMetrics::countReadChoice(std::string_view reason, const std::optional<Duration>& reportAge)
{
    this->implementation->readChoices.Add({ { "reason", std::string(reason) } }).Increment();
    if (reportAge)
        this->implementation->loadReportAges.Add({}, reportAgeBucketBoundsSeconds)
            .Observe(std::chrono::duration<double>(*reportAge).count());
}

void ProxyMetrics::countMemoryRefusal(std::string_view reason)
{
    this->implementation->memoryRefusals.Add({ { "reason", std::string(reason) } }).Increment();
}

void ProxyMetrics::countPromotion() { this->implementation->promotions.Add({}).Increment(); }

std::string ProxyMetrics::exposition(const ProxyGauges& gauges)
{
    const auto setGauge = [&](const char* name, double value) { this->implementation->state.Add({ { "name", name } }).Set(value); };
    setGauge("sessions", static_cast<double>(gauges.sessions));
    setGauge("backend_connections", static_cast<double>(gauges.backendConnections));
    setGauge("waiting_statements", static_cast<double>(gauges.waitingStatements));
    setGauge("fleet_size", static_cast<double>(gauges.fleetSize));
    setGauge("configuration_version", static_cast<double>(gauges.configurationVersion));
    setGauge("store_reachable", gauges.storeReachable ? 1 : 0);
    setGauge("ready", gauges.ready ? 1 : 0);
    setGauge("evacuated_data_centres", static_cast<double>(gauges.evacuatedDataCentres));
    for (size_t kind = 0; kind < callerMemoryNames.size(); ++kind)
        this->implementation->callerBytes.Add({ { "kind", std::string(callerMemoryNames[kind]) } })
            .Set(static_cast<double>(gauges.callerBytes[kind]));
    return prometheus::TextSerializer().Serialize(this->implementation->registry.Collect());
}

}
