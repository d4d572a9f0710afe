#pragma once

#include "foxtailtrail/commands/Table.h"
#include "foxtailtrail/config/ConfigurationChange.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

// The tables that a query can show.
enum class QueryTable : uint8_t {
    Organisations,
    Databases,
    Servers,
    Services,
    Keys,
    Vms,
    Witnesses,
    Configuration,
};

// The comparison operators of a condition.
enum class Comparison : uint8_t {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    // Matches a pattern in which '%' stands for any number of characters.
    Like,
    Contains,
};

// A condition of a query. The value has the kind of the column.
struct Condition {
    size_t columnIndex = 0;
    Comparison comparison = Comparison::Equal;
    Cell value;
};

// The column by which a query sorts the rows, and the direction.
struct Ordering {
    size_t columnIndex = 0;
    bool isDescending = false;
};

// A command that shows the rows of a table that meet all conditions.
struct Query {
    QueryTable table = QueryTable::Organisations;
    std::vector<Condition> conditions;
    std::optional<Ordering> ordering;
    std::optional<uint64_t> limit;
};

// A command that creates the first version of the configuration with a new fleet secret.
struct InitializeFleetCommand { };

// A command that issues a new key to an organisation.
struct IssueKeyCommand {
    OrganisationId organisation;
};

// A command that changes the configuration.
struct ChangeCommand {
    std::variant<ChangeAction, InitializeFleetCommand, IssueKeyCommand> requestedAction;
    // The version given by the suffix "if version N". Empty without the suffix.
    std::optional<uint64_t> expectedVersion;
};

// A command that stops a VM gracefully.
struct StopVmCommand {
    VmId vm;
};

// A command that lists the forms of commands.
struct HelpCommand { };

using Command = std::variant<Query, ChangeCommand, StopVmCommand, HelpCommand>;

// Returns the columns of a table in display order.
const std::vector<Column>& columnsOf(QueryTable);

// Returns the name of a table in the command language.
std::string_view queryTableName(QueryTable);

}
