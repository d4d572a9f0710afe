#include "foxtailtrail/commands/QueryEvaluator.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace foxtail {

namespace {

    double toNumber(uint64_t value) { return static_cast<double>(value); }

    std::string yesOrNo(bool value) { return value ? "yes" : "no"; }

    // Returns the activity with the given id, or a default activity if there is none.
    template <typename Activity, typename Id> Activity findActivity(const std::vector<Activity>& activities, const Id& id)
    {
        const auto found
            = std::find_if(activities.begin(), activities.end(), [&id](const Activity& activity) { return activity.id == id; });
        return found == activities.end() ? Activity {} : *found;
    }

    std::string formatEndpoint(const std::string& address, uint16_t port)
    {
        const bool isIpv6 = address.find(':') != std::string::npos;
        return (isIpv6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
    }

    void addOrganisations(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [id, organisation] : snapshot.configuration->organisations) {
            const OrganisationActivity activity = findActivity(snapshot.organisations, id);
            table.addRow(
                { id.value, organisation.rate, organisation.burst, toNumber(activity.admittedCount), toNumber(activity.refusedCount) });
        }
    }

    // Returns the lag of the replica that is furthest behind.
    uint64_t databaseLag(const Database& database, const FleetSnapshot& snapshot)
    {
        uint64_t lag = 0;
        for (const BackendServer& server : database.servers)
            lag = std::max(lag, findActivity(snapshot.servers, server.id).lagTransactions);
        return lag;
    }

    void addDatabases(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [id, database] : snapshot.configuration->databases) {
            const DatabaseActivity activity = findActivity(snapshot.databases, id);
            table.addRow({ id.value, toNumber(activity.term.value), activity.primary.value_or(BackendServerId("none")).value,
                toNumber(databaseLag(database, snapshot)), toNumber(database.servers.size()), toNumber(database.slots),
                toNumber(database.maxConnections), toNumber(activity.slotsInUse), toNumber(activity.queueLength) });
        }
    }

    void addServers(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [id, database] : snapshot.configuration->databases) {
            for (const BackendServer& server : database.servers) {
                const ServerActivity activity = findActivity(snapshot.servers, server.id);
                table.addRow({ server.id.value, id.value, formatEndpoint(server.address, server.port), server.region.value,
                    server.dataCentre.value, yesOrNo(server.draining), activity.role.empty() ? "unknown" : activity.role,
                    yesOrNo(activity.isReachable), toNumber(activity.position.value), toNumber(activity.lagTransactions) });
            }
        }
    }

    std::string formatOrganisations(const Service& service)
    {
        if (service.access == ServiceAccess::Open)
            return service.openOrganisation.value;
        std::string list;
        for (const OrganisationId& organisation : service.organisations)
            list += (list.empty() ? "" : ", ") + organisation.value;
        return list.empty() ? "all" : list;
    }

    void addServices(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [name, service] : snapshot.configuration->services) {
            const std::string access = service.access == ServiceAccess::Open ? "open" : "keyed";
            table.addRow({ name.value, service.database.value, access, formatOrganisations(service) });
        }
    }

    void addKeys(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [id, key] : snapshot.configuration->keys)
            table.addRow({ id.value, key.organisation.value, std::string(key.withdrawn ? "withdrawn" : "valid") });
    }

    void addVms(Table& table, const FleetSnapshot& snapshot)
    {
        for (const VmActivity& vm : snapshot.vms)
            table.addRow({ vm.id.value, vm.region.value, vm.dataCentre.value, toNumber(vm.configurationVersion), vm.state });
    }

    void addWitnesses(Table& table, const FleetSnapshot& snapshot)
    {
        for (const VmAddress& vm : snapshot.configuration->witnesses)
            table.addRow({ vm.id.value, formatEndpoint(vm.address, vm.peerPort), std::string("current") });
        for (const VmAddress& vm : snapshot.configuration->previousWitnesses)
            table.addRow({ vm.id.value, formatEndpoint(vm.address, vm.peerPort), std::string("previous") });
    }

    void addConfiguration(Table& table, const FleetSnapshot& snapshot)
    {
        const Configuration& configuration = *snapshot.configuration;
        const auto addItem = [&table](const char* item, const std::string& value) { table.addRow({ std::string(item), value }); };
        addItem("version", std::to_string(configuration.version));
        addItem("change", configuration.changeId);
        addItem("author", configuration.author);
        addItem("services", std::to_string(configuration.services.size()));
        addItem("databases", std::to_string(configuration.databases.size()));
        addItem("organisations", std::to_string(configuration.organisations.size()));
        addItem("keys", std::to_string(configuration.keys.size()));
        addItem("witnesses", std::to_string(configuration.witnesses.size()));
    }

    using AddRows = void (*)(Table&, const FleetSnapshot&);
    // The functions that add the rows of a table, indexed by QueryTable.
    constexpr std::array<AddRows, 8> rowAdders { addOrganisations, addDatabases, addServers, addServices, addKeys, addVms, addWitnesses,
        addConfiguration };

    // Returns whether a text matches a pattern in which '%' stands for any number of characters.
    bool matchesPattern(std::string_view text, std::string_view pattern)
    {
        size_t textIndex = 0;
        size_t patternIndex = 0;
        // The index of the last '%', and the end of the text that it matches. If the rest of the pattern does not match, the loop
        // extends this text by one character and tries again.
        size_t wildcardIndex = std::string_view::npos;
        size_t wildcardMatchEnd = 0;
        while (textIndex < text.size()) {
            if (patternIndex < pattern.size() && pattern[patternIndex] == '%') {
                wildcardIndex = patternIndex++;
                wildcardMatchEnd = textIndex;
            } else if (patternIndex < pattern.size() && pattern[patternIndex] == text[textIndex]) {
                ++patternIndex;
                ++textIndex;
            } else if (wildcardIndex != std::string_view::npos) {
                patternIndex = wildcardIndex + 1;
                textIndex = ++wildcardMatchEnd;
            } else {
                return false;
            }
        }
        return pattern.find_first_not_of('%', patternIndex) == std::string_view::npos;
    }

    bool meetsCondition(const Row& row, const Condition& condition)
    {
        const Cell& cell = row[condition.columnIndex];
        switch (condition.comparison) {
        case Comparison::Equal:
            return cell == condition.value;
        case Comparison::NotEqual:
            return cell != condition.value;
        case Comparison::Less:
            return cell < condition.value;
        case Comparison::LessOrEqual:
            return cell <= condition.value;
        case Comparison::Greater:
            return cell > condition.value;
        case Comparison::GreaterOrEqual:
            return cell >= condition.value;
        case Comparison::Like:
            return matchesPattern(std::get<std::string>(cell), std::get<std::string>(condition.value));
        case Comparison::Contains:
            return std::get<std::string>(cell).find(std::get<std::string>(condition.value)) != std::string::npos;
        }
        assert(false);
        return false;
    }

    bool meetsAllConditions(const Row& row, const std::vector<Condition>& conditions)
    {
        return std::all_of(
            conditions.begin(), conditions.end(), [&row](const Condition& condition) { return meetsCondition(row, condition); });
    }

    // Uses a stable sort, so that rows with equal cells have the same order each time.
    void sortRows(std::vector<Row>& rows, const Ordering& ordering)
    {
        std::stable_sort(rows.begin(), rows.end(), [&ordering](const Row& left, const Row& right) {
            const Cell& leftCell = left[ordering.columnIndex];
            const Cell& rightCell = right[ordering.columnIndex];
            return ordering.isDescending ? rightCell < leftCell : leftCell < rightCell;
        });
    }

}

Table evaluateQuery(const Query& query, const FleetSnapshot& snapshot)
{
    Table table { columnsOf(query.table), {} };
    // All tables except that of the VMs are built from the configuration and stay empty without one.
    if (snapshot.configuration || query.table == QueryTable::Vms)
        rowAdders[static_cast<size_t>(query.table)](table, snapshot);
    std::erase_if(table.rows, [&query](const Row& row) { return !meetsAllConditions(row, query.conditions); });
    if (query.ordering)
        sortRows(table.rows, *query.ordering);
    if (query.limit && table.rows.size() > *query.limit)
        table.rows.resize(*query.limit);
    return table;
}

}
