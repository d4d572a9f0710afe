#include "foxtailtrail/burn/BurnReport.h"

#include "foxtailtrail/base/Json.h"

#include <cmath>

namespace foxtail {

namespace {

    constexpr double fastBurn = 14.4;
    constexpr double slowBurn = 6;
    constexpr double percent = 100;
    constexpr std::array<std::string_view, 3> alertNames { "none", "slow", "fast" };
    constexpr std::array<const char*, burnWindowCount> windowNames { "5min", "30min", "1h", "6h", "30d" };
    constexpr const char* limitText
        = "The 30 days cover what the VMs that answered have counted since they started; counts of replaced VMs are not in them.";

    double rounded(double value) { return std::round(value * 1000) / 1000; }

    // The share of bad requests, relative to the share that the objective allows.
    double burnRate(const ServiceObjective& objective, const RequestCounts& counts)
    {
        return (1 - counts.goodShare()) / (1 - objective.availabilityPercent / percent);
    }

    BurnAlert alertOf(const ServiceBurn& burn)
    {
        const auto reaches = [&burn](BurnWindow window, double rate) { return burn.burnRates[static_cast<size_t>(window)] >= rate; };
        // The long window shows that the loss matters, the short one that it still goes on.
        if (reaches(BurnWindow::FiveMinutes, fastBurn) && reaches(BurnWindow::Hour, fastBurn))
            return BurnAlert::Fast;
        if (reaches(BurnWindow::HalfHour, slowBurn) && reaches(BurnWindow::SixHours, slowBurn))
            return BurnAlert::Slow;
        return BurnAlert::None;
    }

    ServiceBurn burnOf(const ServiceObjective& objective, const WindowCounts& windows)
    {
        ServiceBurn burn;
        burn.objective = objective;
        for (size_t index = 0; index < burnWindowCount; ++index)
            burn.burnRates[index] = burnRate(objective, windows.counts[index]);
        burn.requestCount = windows.countsFor(BurnWindow::ThirtyDays).total;
        burn.budgetLeft = 1 - burn.burnRates[static_cast<size_t>(BurnWindow::ThirtyDays)];
        burn.alert = alertOf(burn);
        return burn;
    }

    std::optional<WorstServedOrganisation> worstServedOf(const BurnSnapshot& snapshot)
    {
        std::optional<WorstServedOrganisation> worst;
        for (const auto& [id, counts] : snapshot.organisations) {
            if (counts.total >= minWorstServedRequests && (!worst || counts.goodShare() < worst->goodShare))
                worst = WorstServedOrganisation { id, counts.goodShare(), counts.total };
        }
        return worst;
    }

    json::object write(const ServiceBurn& burn)
    {
        json::object rates;
        for (size_t index = 0; index < burnWindowCount; ++index)
            rates[windowNames[index]] = rounded(burn.burnRates[index]);
        return { { "service", burn.objective.service.value }, { "availability", burn.objective.availabilityPercent },
            { "latencyMs", toMilliseconds(burn.objective.latencyThreshold) }, { "requests", burn.requestCount },
            { "burnRates", std::move(rates) }, { "budgetLeft", rounded(burn.budgetLeft) },
            { "alert", alertNames[static_cast<size_t>(burn.alert)] } };
    }

}

BurnReport makeBurnReport(const std::vector<ServiceObjective>& objectives, const BurnSnapshot& snapshot)
{
    BurnReport report;
    for (const ServiceObjective& objective : objectives) {
        const auto found = snapshot.services.find(objective.service);
        report.services.push_back(burnOf(objective, found == snapshot.services.end() ? WindowCounts {} : found->second));
    }
    report.worstServed = worstServedOf(snapshot);
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
            row.emplace_back(rounded(rate));
        row.emplace_back(rounded(burn.budgetLeft * percent));
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
            + formatNumber(rounded(report.worstServed->goodShare * percent)) + "% of " + std::to_string(report.worstServed->requestCount)
            + " requests served well.\n";
    }
    return text + limitText + "\n";
}

std::string renderBurnJson(const BurnReport& report)
{
    json::array services;
    for (const ServiceBurn& burn : report.services)
        services.push_back(write(burn));
    json::value worst;
    if (report.worstServed) {
        worst = json::object { { "organisation", report.worstServed->organisation.value },
            { "goodShare", rounded(report.worstServed->goodShare) }, { "requests", report.worstServed->requestCount } };
    }
    return json::serialize(
        json::object { { "services", std::move(services) }, { "worstServed", std::move(worst) }, { "limit", limitText } });
}

}
