#include "standins/LogFormat.h"

#include <boost/json.hpp>

namespace foxtail::standins {

namespace json = boost::json;

std::string formatStatements(const std::vector<LoggedStatement>& statements)
{
    json::array list;
    for (const LoggedStatement& statement : statements) {
        json::array parameters;
        for (const SqlValue& value : statement.parameters)
            parameters.push_back(value ? json::value(*value) : json::value(nullptr));
        list.push_back(json::object { { "sql", statement.sql }, { "parameters", std::move(parameters) } });
    }
    return json::serialize(list);
}

std::vector<LoggedStatement> parseStatements(std::string_view text)
{
    std::vector<LoggedStatement> statements;
    const json::value document = json::parse(json::string_view(text.data(), text.size()));
    for (const json::value& item : document.as_array()) {
        LoggedStatement statement { std::string(item.at("sql").as_string()), {} };
        for (const json::value& value : item.at("parameters").as_array())
            statement.parameters.push_back(value.is_null() ? SqlValue() : SqlValue(std::string(value.as_string())));
        statements.push_back(std::move(statement));
    }
    return statements;
}

}
