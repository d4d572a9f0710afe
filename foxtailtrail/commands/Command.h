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

enum class Comparison : uint8_t {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    // The pattern has '%' for any characters.
    Like,
    Contains,
};

// One filter of a query. The value has the kind of the column.
struct Condition {
    size_t columnIndex = 0;
    Comparison comparison = Comparison::Equal;
    Cell value;
};

struct Ordering {
    size_t columnIndex = 0;
    bool isDescending = false;
};

// Shows the rows of a table that meet all conditions.
struct Query {
    QueryTable table = QueryTable::Organisations;
    std::vector<Condition> conditions;
    std::optional<Ordering> ordering;
    std::optional<uint64_t> limit;
};

// Makes the first version of the configuration with a new secret.
struct InitializeFleetCommand { };

// Makes a new key for an organisation.
struct IssueKeyCommand {
    OrganisationId organisation;
};

// A command that changes the configuration.
struct ChangeCommand {
    std::variant<ChangeAction, InitializeFleetCommand, IssueKeyCommand> requestedAction;
    // From the suffix "if version N".
    std::optional<uint64_t> expectedVersion;
};

// Stops a VM gracefully.
struct StopVmCommand {
    VmId vm;
};

struct HelpCommand { };

using Command = std::variant<Query, ChangeCommand, StopVmCommand, HelpCommand>;

// The columns of a table, in the order in which they are shown.
const std::vector<Column>& columnsOf(QueryTable);

// The word for a table in the language.
std::string_view queryTableName(QueryTable);

}
