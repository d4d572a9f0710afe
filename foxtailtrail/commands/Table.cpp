#include "foxtailtrail/commands/Table.h"

#include "foxtailtrail/base/Json.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>

namespace foxtail {

namespace {

    constexpr size_t columnGapWidth = 2;
    // 2^53. A double represents every integer up to this value exactly.
    constexpr double maxExactInteger = 9007199254740992.0;

    std::string cellToText(const Cell& cell)
    {
        if (const auto* number = std::get_if<double>(&cell))
            return formatNumber(*number);
        return std::get<std::string>(cell);
    }

    // Converts integral numbers to JSON integers, since Boost.JSON writes each double with an exponent.
    json::value cellToJson(const Cell& cell)
    {
        if (const auto* text = std::get_if<std::string>(&cell))
            return json::value(*text);
        const double number = std::get<double>(cell);
        if (std::abs(number) < maxExactInteger && number == std::floor(number))
            return json::value(static_cast<int64_t>(number));
        return json::value(number);
    }

    // Returns the number of code points of a UTF-8 text. Counts all bytes except continuation bytes (10xxxxxx).
    size_t characterCount(std::string_view text)
    {
        return static_cast<size_t>(
            std::count_if(text.begin(), text.end(), [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0) != 0x80; }));
    }

    void appendAligned(std::string& line, const std::string& text, size_t width, ColumnKind kind)
    {
        const std::string padding(width - characterCount(text), ' ');
        line += kind == ColumnKind::Number ? padding + text : text + padding;
    }

    void appendLine(std::string& output, const std::vector<std::string>& texts, const std::vector<size_t>& widths, const Table& table)
    {
        std::string line;
        for (size_t index = 0; index < texts.size(); ++index) {
            if (index > 0)
                line.append(columnGapWidth, ' ');
            appendAligned(line, texts[index], widths[index], table.columns[index].kind);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        output += line + "\n";
    }

}

void Table::addRow(Row row)
{
    assert(row.size() == this->columns.size());
    for (size_t index = 0; index < row.size(); ++index)
        assert(std::holds_alternative<double>(row[index]) == (this->columns[index].kind == ColumnKind::Number));
    this->rows.push_back(std::move(row));
}

std::string formatNumber(double number)
{
    std::array<char, 64> buffer {};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return { buffer.data(), result.ptr };
}

std::string renderText(const Table& table)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const Column& column : table.columns)
        lines.front().push_back(column.name);
    for (const Row& row : table.rows) {
        std::vector<std::string> texts(row.size());
        std::transform(row.begin(), row.end(), texts.begin(), cellToText);
        lines.push_back(std::move(texts));
    }
    std::vector<size_t> widths(table.columns.size());
    for (const auto& texts : lines) {
        for (size_t index = 0; index < texts.size(); ++index)
            widths[index] = std::max(widths[index], characterCount(texts[index]));
    }
    std::string output;
    for (const auto& texts : lines)
        appendLine(output, texts, widths, table);
    return output;
}

std::string renderJson(const Table& table)
{
    json::array columns;
    for (const Column& column : table.columns)
        columns.emplace_back(column.name);
    json::array rows;
    for (const Row& row : table.rows) {
        json::array cells;
        for (const Cell& cell : row)
            cells.push_back(cellToJson(cell));
        rows.push_back(std::move(cells));
    }
    return json::serialize(json::object { { "columns", std::move(columns) }, { "rows", std::move(rows) } });
}

}
