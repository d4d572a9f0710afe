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

    constexpr auto text = ColumnKind::Text;
    constexpr auto number = ColumnKind::Number;

    const std::array<TableDescription, 8>& descriptions()
    {
        static const std::array<TableDescription, 8> table { {
            { QueryTable::Organisations, "organisations",
                { { "organisation", text }, { "rate", number }, { "burst", number }, { "admitted", number }, { "refused", number } } },
            { QueryTable::Databases, "databases",
                { { "database", text }, { "term", number }, { "primary", text }, { "lag", number }, { "servers", number },
                    { "slots", number }, { "connections", number }, { "used", number }, { "queue", number } } },
            { QueryTable::Servers, "servers",
                { { "server", text }, { "database", text }, { "address", text }, { "region", text }, { "datacentre", text },
                    { "draining", text }, { "role", text }, { "reachable", text }, { "position", number }, { "lag", number } } },
            { QueryTable::Services, "services",
                { { "service", text }, { "database", text }, { "access", text }, { "organisations", text } } },
            { QueryTable::Keys, "keys", { { "key", text }, { "organisation", text }, { "state", text } } },
            { QueryTable::Vms, "vms",
                { { "vm", text }, { "region", text }, { "datacentre", text }, { "version", number }, { "state", text } } },
            { QueryTable::Witnesses, "witnesses", { { "vm", text }, { "address", text }, { "list", text } } },
            { QueryTable::Configuration, "configuration", { { "item", text }, { "value", text } } },
        } };
        return table;
    }

    const TableDescription& describe(QueryTable table)
    {
        const TableDescription& description = descriptions()[static_cast<size_t>(table)];
        assert(description.table == table);
        return description;
    }

}

const std::vector<Column>& columnsOf(QueryTable table) { return describe(table).columns; }

std::string_view queryTableName(QueryTable table) { return describe(table).name; }

}
