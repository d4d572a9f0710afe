#include "foxtailtrail/burn/BurnReport.h"

#include "foxtailtrail/base/Json.h"

#include <cmath>

namespace foxtail {

namespace {

    constexpr double fastBurnRate = 14.4;
    constexpr double slowBurnRate = 6;
    constexpr double percentPerUnit = 100;
    constexpr std::array<std::string_view, 3> alertNames { "none", "slow", "fast" };
    constexpr std::array<const char*, burnWindowCount> windowNames { "5min", "30min", "1h", "6h", "30d" };
    constexpr const char* coverageNote
        = "The 30 days cover what the VMs that answered have counted since they started; counts of replaced VMs are not in them.";

    double roundToThousandths(double value) { return std::round(value * 1000) / 1000; }

    // Returns the share of bad requests divided by the share that the objective allows.
    double computeBurnRate(const ServiceObjective& objective, const RequestCounts& counts)
    {
        return (1 - counts.goodShare()) / (1 - objective.availabilityPercent / percentPerUnit);
    }

    BurnAlert alertFor(const ServiceBurn& burn)
    {
        const auto isBurnRateAtLeast
            = [&burn](BurnWindow window, double rate) { return burn.burnRates[static_cast<size_t>(window)] >= rate; };
        // The long window shows that the loss is significant, the short window that it is still going on.
        if (isBurnRateAtLeast(BurnWindow::FiveMinutes, fastBurnRate) && isBurnRateAtLeast(BurnWindow::Hour, fastBurnRate))
            return BurnAlert::Fast;
        if (isBurnRateAtLeast(BurnWindow::HalfHour, slowBurnRate) && isBurnRateAtLeast(BurnWindow::SixHours, slowBurnRate))
            return BurnAlert::Slow;
        return BurnAlert::None;
    }

    ServiceBurn computeServiceBurn(const ServiceObjective& objective, const WindowCounts& windows)
    {
        ServiceBurn burn;
        burn.objective = objective;
        for (size_t index = 0; index < burnWindowCount; ++index)
            burn.burnRates[index] = computeBurnRate(objective, windows.counts[index]);
        burn.requestCount = windows.countsFor(BurnWindow::ThirtyDays).total;
        burn.budgetLeft = 1 - burn.burnRates[static_cast<size_t>(BurnWindow::ThirtyDays)];
        burn.alert = alertFor(burn);
        return burn;
    }

    std::optional<WorstServedOrganisation> findWorstServed(const BurnSnapshot& snapshot)
    {
        std::optional<WorstServedOrganisation> worst;
        for (const auto& [id, counts] : snapshot.organisations) {
            if (counts.total >= minWorstServedRequests && (!worst || counts.goodShare() < worst->goodShare))
                worst = WorstServedOrganisation { id, counts.goodShare(), counts.total };
        }
        return worst;
    }

    json::object serviceBurnToJson(const ServiceBurn& burn)
    {
        json::object rates;
        for (size_t index = 0; index < burnWindowCount; ++index)
            rates[windowNames[index]] = roundToThousandths(burn.burnRates[index]);
        return { { "service", burn.objective.service.value }, { "availability", burn.objective.availabilityPercent },
            { "latencyMs", toMilliseconds(burn.objective.latencyThreshold) }, { "requests", burn.requestCount },
            { "burnRates", std::move(rates) }, { "budgetLeft", roundToThousandths(burn.budgetLeft) },
            { "alert", alertNames[static_cast<size_t>(burn.alert)] } };
    }

}

BurnReport makeBurnReport(const std::vector<ServiceObjective>& objectives, const BurnSnapshot& snapshot)
{
    BurnReport report;
    for (const ServiceObjective& objective : objectives) {
        const auto found = snapshot.services.find(objective.service);
        report.services.push_back(computeServiceBurn(objective, found == snapshot.services.end() ? WindowCounts {} : found->second));
    }
    report.worstServed = findWorstServed(snapshot);
    return report;
}

Table burnTable(const BurnReport& report)
{
    Table table;
    table.columns = { { "service", ColumnKind::Text }, { "target%", ColumnKind::Number }, { "latency_ms", ColumnKind::Number },
        { "requests", ColumnKind::Number } };
    for (const char* window : windowNames)
        table.columns.push_back({ std::string("burn_") + window, ColumnKind::Number });
    table.columns.push_back({ "budget_left%", ColumnKind::Number });
    table.columns.push_back({ "alert", ColumnKind::Text });
    for (const ServiceBurn& burn : report.services) {
        Row row { burn.objective.service.value, burn.objective.availabilityPercent,
            static_cast<double>(toMilliseconds(burn.objective.latencyThreshold)), static_cast<double>(burn.requestCount) };
        for (const double rate : burn.burnRates)
            row.emplace_back(roundToThousandths(rate));
        row.emplace_back(roundToThousandths(burn.budgetLeft * percentPerUnit));
        row.emplace_back(std::string(alertNames[static_cast<size_t>(burn.alert)]));
        table.addRow(std::move(row));
    }
    return table;
}

std::string renderBurnText(const BurnReport& report)
{
    std::string text = renderText(burnTable(report));
    if (report.worstServed) {
        text += "Worst-served organisation of the last hour: " + report.worstServed->organisation.value + ", "
            + formatNumber(roundToThousandths(report.worstServed->goodShare * percentPerUnit)) + "% of "
            + std::to_string(report.worstServed->requestCount) + " requests served well.\n";
    }
    return text + coverageNote + "\n";
}

std::string renderBurnJson(const BurnReport& report)
{
    json::array services;
    for (const ServiceBurn& burn : report.services)
        services.push_back(serviceBurnToJson(burn));
    json::value worst;
    if (report.worstServed) {
        worst = json::object { { "organisation", report.worstServed->organisation.value },
            { "goodShare", roundToThousandths(report.worstServed->goodShare) }, { "requests", report.worstServed->requestCount } };
    }
    return json::serialize(
        json::object { { "services", std::move(services) }, { "worstServed", std::move(worst) }, { "limit", coverageNote } });
}

}
