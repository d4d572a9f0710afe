#include "foxtailtrail/commands/QueryEvaluator.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace foxtail {

namespace {

    double number(uint64_t value) { return static_cast<double>(value); }

    std::string yesOrNo(bool value) { return value ? "yes" : "no"; }

    // The activity of an id, or one without any where nothing is known of it.
    template <typename Activity, typename Id> Activity activityOf(const std::vector<Activity>& activities, const Id& id)
    {
        const auto found
            = std::find_if(activities.begin(), activities.end(), [&id](const Activity& activity) { return activity.id == id; });
        return found == activities.end() ? Activity {} : *found;
    }

    std::string endpoint(const std::string& address, uint16_t port)
    {
        const bool isIpv6 = address.find(':') != std::string::npos;
        return (isIpv6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
    }

    void addOrganisations(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [id, organisation] : snapshot.configuration->organisations) {
            const OrganisationActivity activity = activityOf(snapshot.organisations, id);
            table.addRow(
                { id.value, organisation.rate, organisation.burst, number(activity.admittedCount), number(activity.refusedCount) });
        }
    }

    // The lag of a database is that of the replica that is furthest behind.
    uint64_t lagOf(const Database& database, const FleetSnapshot& snapshot)
    {
        uint64_t lag = 0;
        for (const BackendServer& server : database.servers)
            lag = std::max(lag, activityOf(snapshot.servers, server.id).lagTransactions);
        return lag;
    }

    void addDatabases(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [id, database] : snapshot.configuration->databases) {
            const DatabaseActivity activity = activityOf(snapshot.databases, id);
            table.addRow({ id.value, number(activity.term.value), activity.primary.value_or(BackendServerId("none")).value,
                number(lagOf(database, snapshot)), number(database.servers.size()), number(database.slots), number(database.maxConnections),
                number(activity.slotsInUse), number(activity.queueLength) });
        }
    }

    void addServers(Table& table, const FleetSnapshot& snapshot)
    {
        for (const auto& [id, database] : snapshot.configuration->databases) {
            for (const BackendServer& server : database.servers) {
                const ServerActivity activity = activityOf(snapshot.servers, server.id);
                table.addRow({ server.id.value, id.value, endpoint(server.address, server.port), server.region.value,
                    server.dataCentre.value, yesOrNo(server.draining), activity.role.empty() ? "unknown" : activity.role,
                    yesOrNo(activity.isReachable), number(activity.position.value), number(activity.lagTransactions) });
            }
        }
    }

    std::string organisationsOf(const Service& service)
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
            table.addRow({ name.value, service.database.value, access, organisationsOf(service) });
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
            table.addRow({ vm.id.value, vm.region.value, vm.dataCentre.value, number(vm.configurationVersion), vm.state });
    }

    void addWitnesses(Table& table, const FleetSnapshot& snapshot)
    {
        for (const VmAddress& vm : snapshot.configuration->witnesses)
            table.addRow({ vm.id.value, endpoint(vm.address, vm.peerPort), std::string("current") });
        for (const VmAddress& vm : snapshot.configuration->previousWitnesses)
            table.addRow({ vm.id.value, endpoint(vm.address, vm.peerPort), std::string("previous") });
    }

    void addConfiguration(Table& table, const FleetSnapshot& snapshot)
    {
        const Configuration& configuration = *snapshot.configuration;
        const auto add = [&table](const char* item, const std::string& value) { table.addRow({ std::string(item), value }); };
        add("version", std::to_string(configuration.version));
        add("change", configuration.changeId);
        add("author", configuration.author);
        add("services", std::to_string(configuration.services.size()));
        add("databases", std::to_string(configuration.databases.size()));
        add("organisations", std::to_string(configuration.organisations.size()));
        add("keys", std::to_string(configuration.keys.size()));
        add("witnesses", std::to_string(configuration.witnesses.size()));
    }

    using AddRows = void (*)(Table&, const FleetSnapshot&);
    constexpr std::array<AddRows, 8> rowSources { addOrganisations, addDatabases, addServers, addServices, addKeys, addVms, addWitnesses,
        addConfiguration };

    // Whether a text matches a pattern in which '%' stands for any characters.
    bool isLike(std::string_view text, std::string_view pattern)
    {
        size_t textPlace = 0;
        size_t patternPlace = 0;
        // The last '%' seen and where its text ends, to be lengthened when the rest does not match.
        size_t wildcard = std::string_view::npos;
        size_t wildcardEnd = 0;
        while (textPlace < text.size()) {
            if (patternPlace < pattern.size() && pattern[patternPlace] == '%') {
                wildcard = patternPlace++;
                wildcardEnd = textPlace;
            } else if (patternPlace < pattern.size() && pattern[patternPlace] == text[textPlace]) {
                ++patternPlace;
                ++textPlace;
            } else if (wildcard != std::string_view::npos) {
                patternPlace = wildcard + 1;
                textPlace = ++wildcardEnd;
            } else {
                return false;
            }
        }
        return pattern.find_first_not_of('%', patternPlace) == std::string_view::npos;
    }

    bool meets(const Row& row, const Condition& condition)
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
            return isLike(std::get<std::string>(cell), std::get<std::string>(condition.value));
        case Comparison::Contains:
            return std::get<std::string>(cell).find(std::get<std::string>(condition.value)) != std::string::npos;
        }
        assert(false);
        return false;
    }

    bool meetsAll(const Row& row, const std::vector<Condition>& conditions)
    {
        return std::all_of(conditions.begin(), conditions.end(), [&row](const Condition& condition) { return meets(row, condition); });
    }

    // Rows that compare equal keep their order, so that the answer is the same every time.
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
    // Without a configuration only the VMs are known.
    if (snapshot.configuration || query.table == QueryTable::Vms)
        rowSources[static_cast<size_t>(query.table)](table, snapshot);
    std::erase_if(table.rows, [&query](const Row& row) { return !meetsAll(row, query.conditions); });
    if (query.ordering)
        sortRows(table.rows, *query.ordering);
    if (query.limit && table.rows.size() > *query.limit)
        table.rows.resize(*query.limit);
    return table;
}

}
