#pragma once

#include "foxtailtrail/burn/BurnRecorder.h"
#include "foxtailtrail/commands/Table.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// How urgent the loss of a service's error budget is.
enum class BurnAlert : uint8_t {
    None,
    // 30 min and 6 h both burn at least 6 times the rate that the objective allows: the budget lasts 5 days.
    Slow,
    // 5 min and 1 h both burn at least 14.4 times: 2% of a 30-day budget is gone in an hour.
    Fast,
};

// The state of one service's objective.
struct ServiceBurn {
    ServiceObjective objective;
    // By BurnWindow. 1 uses up the budget of 30 days in exactly 30 days.
    std::array<double, burnWindowCount> burnRates {};
    // The share of the error budget of 30 days that is left. Below 0 when it is overspent.
    double budgetLeft = 1;
    uint64_t requestCount = 0;
    BurnAlert alert = BurnAlert::None;
};

// The organisation with the smallest share of requests served well in the last hour.
struct WorstServedOrganisation {
    OrganisationId organisation;
    double goodShare = 1;
    uint64_t requestCount = 0;
};

// The service-level report. VMs hold their counts in memory, so the 30 days cover only what the VMs that answered have
// counted since their start; counts of a VM that has been replaced are lost.
struct BurnReport {
    std::vector<ServiceBurn> services;
    std::optional<WorstServedOrganisation> worstServed;
};

// An organisation with fewer requests in the last hour is not named as the worst served: one failure would decide.
constexpr uint64_t minWorstServedRequests = 20;

BurnReport makeBurnReport(const std::vector<ServiceObjective>&, const BurnSnapshot&);

// One row for each service.
Table burnTable(const BurnReport&);

// The table with the worst-served organisation and the limit of the figures in lines below it.
std::string renderBurnText(const BurnReport&);

// {"services":[...],"worstServed":{...}|null,"limit":"..."}.
std::string renderBurnJson(const BurnReport&);

}
