#pragma once

#include "foxtailtrail/burn/BurnRecorder.h"
#include "foxtailtrail/commands/Table.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// The severity of an alert on the burn rate of a service's error budget.
enum class BurnAlert : uint8_t {
    None,
    // The burn rates over 30 min and 6 h are both at least 6, at which the 30-day budget lasts 5 days.
    Slow,
    // The burn rates over 5 min and 1 h are both at least 14.4, at which one hour uses up 2% of the 30-day budget.
    Fast,
};

// The burn rates and the remaining error budget of a service.
struct ServiceBurn {
    ServiceObjective objective;
    // Indexed by BurnWindow. At a burn rate of 1 the 30-day budget lasts exactly 30 days.
    std::array<double, burnWindowCount> burnRates {};
    // The share of the 30-day error budget that is left. Negative if more than the budget has been used.
    double budgetLeft = 1;
    uint64_t requestCount = 0;
    BurnAlert alert = BurnAlert::None;
};

// The organisation with the smallest share of good requests in the last hour.
struct WorstServedOrganisation {
    OrganisationId organisation;
    double goodShare = 1;
    uint64_t requestCount = 0;
};

// The report on the service level objectives. VMs keep their counts in memory, so the 30-day window covers only what the VMs that
// replied have counted since they started. The counts of a replaced VM are lost.
struct BurnReport {
    std::vector<ServiceBurn> services;
    std::optional<WorstServedOrganisation> worstServed;
};

// The fewest requests in the last hour with which an organisation can be the worst served. With fewer requests, a single failure would
// determine the result.
constexpr uint64_t minWorstServedRequests = 20;

// Computes the report from the merged counts of the VMs. A service without counts is reported with a burn rate of 0.
BurnReport makeBurnReport(const std::vector<ServiceObjective>&, const BurnSnapshot&);

// Returns a table with one row for each service.
Table burnTable(const BurnReport&);

// Renders the table, followed by a line about the worst-served organisation, if there is one, and a line that says what the 30-day
// window covers.
std::string renderBurnText(const BurnReport&);

// Renders {"services":[...],"worstServed":{...}|null,"limit":"..."}.
std::string renderBurnJson(const BurnReport&);

}
