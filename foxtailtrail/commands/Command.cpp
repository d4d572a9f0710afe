#include "foxtailtrail/commands/Command.h"

#include <array>
#include <cassert>

namespace foxtail {

namespace {

    struct TableDescription {
        QueryTable table;
        std::string_view name;
        std::vector<Column> columns;
    };

    constexpr auto textKind = ColumnKind::Text;
    constexpr auto numberKind = ColumnKind::Number;

    const std::array<TableDescription, 8>& tableDescriptions()
    {
        static const std::array<TableDescription, 8> allTables { {
            { QueryTable::Organisations, "organisations",
                { { "organisation", textKind }, { "rate", numberKind }, { "burst", numberKind }, { "admitted", numberKind },
                    { "refused", numberKind } } },
            { QueryTable::Databases, "databases",
                { { "database", textKind }, { "term", numberKind }, { "primary", textKind }, { "lag", numberKind },
                    { "servers", numberKind }, { "slots", numberKind }, { "connections", numberKind }, { "used", numberKind },
                    { "queue", numberKind } } },
            { QueryTable::Servers, "servers",
                { { "server", textKind }, { "database", textKind }, { "address", textKind }, { "region", textKind },
                    { "datacentre", textKind }, { "draining", textKind }, { "role", textKind }, { "reachable", textKind },
                    { "position", numberKind }, { "lag", numberKind } } },
            { QueryTable::Services, "services",
                { { "service", textKind }, { "database", textKind }, { "access", textKind }, { "organisations", textKind } } },
            { QueryTable::Keys, "keys", { { "key", textKind }, { "organisation", textKind }, { "state", textKind } } },
            { QueryTable::Vms, "vms",
                { { "vm", textKind }, { "region", textKind }, { "datacentre", textKind }, { "version", numberKind },
                    { "state", textKind } } },
            { QueryTable::Witnesses, "witnesses", { { "vm", textKind }, { "address", textKind }, { "list", textKind } } },
            { QueryTable::Configuration, "configuration", { { "item", textKind }, { "value", textKind } } },
        } };
        return allTables;
    }

    const TableDescription& describe(QueryTable table)
    {
        const TableDescription& description = tableDescriptions()[static_cast<size_t>(table)];
        assert(description.table == table);
        return description;
    }

}

const std::vector<Column>& columnsOf(QueryTable table) { return describe(table).columns; }

std::string_view queryTableName(QueryTable table) { return describe(table).name; }

}
