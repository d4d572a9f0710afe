#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtail {

// The type of the cells of a column.
enum class ColumnKind : uint8_t {
    Text,
    Number,
};

// A column of a table. The name is a single word, so that queries can refer to it.
struct Column {
    std::string name;
    ColumnKind kind = ColumnKind::Text;
    bool operator==(const Column&) const = default;
};

// The value of a cell.
using Cell = std::variant<std::string, double>;
using Row = std::vector<Cell>;

// A table with typed columns. Each row has one cell for each column, of the kind of the column.
struct Table {
    std::vector<Column> columns;
    std::vector<Row> rows;

    // Appends a row. The cells must match the columns.
    void addRow(Row row);
};

// Formats a number with the fewest digits that parse back to the same value.
std::string formatNumber(double);

// Renders the table as text, with a line of column names and one line for each row. Columns of numbers are aligned right, columns of
// text left.
std::string renderText(const Table&);

// Renders {"columns":["name",...],"rows":[[...],...]}.
std::string renderJson(const Table&);

}
