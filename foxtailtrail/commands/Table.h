#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtail {

enum class ColumnKind : uint8_t {
    Text,
    Number,
};

// A column of a table. The name is one word, so that a query can use it.
struct Column {
    std::string name;
    ColumnKind kind = ColumnKind::Text;
    bool operator==(const Column&) const = default;
};

// A text, or a number.
using Cell = std::variant<std::string, double>;
using Row = std::vector<Cell>;

// Rows of typed cells. Each row has one cell of the column's kind for each column.
struct Table {
    std::vector<Column> columns;
    std::vector<Row> rows;

    void addRow(Row row);
};

// A number without needless digits.
std::string formatNumber(double);

// The table with aligned columns, numbers to the right, one line each.
std::string renderText(const Table&);

// {"columns":["name",...],"rows":[[...],...]}.
std::string renderJson(const Table&);

}
