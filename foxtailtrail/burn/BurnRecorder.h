#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/burn/BurnSnapshot.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// The service level that a service promises.
struct ServiceObjective {
    ServiceName service;
    // The share of requests to be served well, in percent.
    double availabilityPercent = 99;
    // A request that takes longer is not served well.
    Duration latencyThreshold = std::chrono::milliseconds(100);
};

// Fails with MalformedRequest when an objective is out of range or a service has two. Availability must be over 0 and
// below 100, since 100 leaves no error budget to divide by.
Result<void> validateObjectives(const std::vector<ServiceObjective>&);

// One answered request.
struct RequestSample {
    ServiceName service;
    OrganisationId organisation;
    // Nothing when the request was served.
    std::optional<ErrorKind> error;
    Duration latency { 0 };
};

// Whether an error is held against the service. Errors with a status of 500 or more are; the others are the caller's
// or a limit's.
bool countsAsFailure(ErrorKind);

// Counts the requests of one VM: services in buckets of a minute for 6 hours and of an hour for 30 days, and
// organisations in buckets of a minute for an hour. Memory is bounded by the objectives and a cap on organisations.
class BurnRecorder {
public:
    // Requests of organisations beyond this number count for their service only.
    static constexpr size_t maxOrganisations = 1000;

    // The objectives must be valid.
    explicit BurnRecorder(const std::vector<ServiceObjective>&);

    // Counts a request. A service without objective counts for its organisation only, by errors alone.
    void record(const RequestSample&, TimePoint now);

    // The counts of all windows up to now.
    BurnSnapshot snapshot(TimePoint now) const;

private:
    struct ServiceCounters {
        Duration latencyThreshold;
        CounterRing minuteBuckets;
        CounterRing hourBuckets;
    };

    CounterRing* organisationRing(const OrganisationId&);

    std::map<ServiceName, ServiceCounters> services;
    std::map<OrganisationId, CounterRing> organisations;
};

}
