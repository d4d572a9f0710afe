#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/burn/BurnSnapshot.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// The service level objective of a service.
struct ServiceObjective {
    ServiceName service;
    // The share of requests that must be good, which means served within the latency threshold, in percent.
    double availabilityPercent = 99;
    // A request that takes longer counts as slow, even if it succeeds.
    Duration latencyThreshold = std::chrono::milliseconds(100);
};

// Fails with MalformedRequest if a value of an objective is out of range or a service has two objectives. The availability must be
// above 0 and below 100 percent, since 100 leaves an error budget of 0 and the burn rate divides by the budget.
Result<void> validateObjectives(const std::vector<ServiceObjective>&);

// The outcome of one request.
struct RequestSample {
    ServiceName service;
    OrganisationId organisation;
    // Empty if the request succeeded.
    std::optional<ErrorKind> error;
    Duration latency { 0 };
};

// Returns whether an error counts against the objective of the service. Errors with an HTTP status of 500 or more do; the others are
// due to the caller or to a limit.
bool countsAsFailure(ErrorKind);

// Counts the requests of one VM. Requests of a service are counted in buckets of one minute for 6 hours and of one hour for 30 days,
// requests of an organisation in buckets of one minute for one hour. The number of objectives and a maximum number of organisations
// bound the memory.
class BurnRecorder {
public:
    // When this number of organisations is reached, requests of further organisations count for their service only.
    static constexpr size_t maxOrganisations = 1000;

    // The objectives must pass validateObjectives.
    explicit BurnRecorder(const std::vector<ServiceObjective>&);

    // Counts a request. A request of a service without an objective counts for its organisation only, and never as slow, since there is
    // no latency threshold.
    void record(const RequestSample&, TimePoint now);

    // Returns the counts of all windows that end now.
    BurnSnapshot snapshot(TimePoint now) const;

private:
    struct ServiceCounters {
        Duration latencyThreshold;
        CounterRing minuteBuckets;
        CounterRing hourBuckets;
    };

    // Returns the counters of an organisation and creates them if needed. Returns null if the id is empty or the maximum number of
    // organisations is reached.
    CounterRing* organisationRing(const OrganisationId&);

    std::map<ServiceName, ServiceCounters> services;
    std::map<OrganisationId, CounterRing> organisations;
};

}
