#include "foxtailtrail/execution/Transaction.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <set>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    auto malformed(std::string detail) { return fail(ErrorKind::MalformedRequest, std::move(detail)); }

    Result<void> checkMembers(const json::object& object, std::initializer_list<std::string_view> allowedNames)
    {
        for (const auto& member : object) {
            if (std::find(allowedNames.begin(), allowedNames.end(), std::string_view(member.key())) == allowedNames.end())
                return malformed("unknown member \"" + std::string(member.key()) + "\"");
        }
        return succeed();
    }

    json::value encodeValue(const SqlValue& value) { return value ? json::value(*value) : json::value(nullptr); }

    json::array encodeValues(const std::vector<SqlValue>& values)
    {
        json::array array;
        array.reserve(values.size());
        for (const SqlValue& value : values)
            array.push_back(encodeValue(value));
        return array;
    }

    Result<std::vector<SqlValue>> decodeValues(const json::value* array, std::string_view what)
    {
        if (!array || !array->is_array())
            return malformed(std::string(what) + " must be an array");
        std::vector<SqlValue> values;
        for (const json::value& value : array->as_array()) {
            if (value.is_string()) {
                values.emplace_back(std::string(value.as_string()));
            } else if (value.is_null()) {
                values.emplace_back(std::nullopt);
            } else {
                return malformed("each of " + std::string(what) + " must be a string or null");
            }
        }
        return values;
    }

    json::object encodeStatement(const Statement& statement)
    {
        json::object object;
        object["sql"] = statement.sql;
        object["params"] = encodeValues(statement.params);
        if (statement.expectRows)
            object["expectRows"] = *statement.expectRows;
        return object;
    }

    Result<Statement> decodeStatement(const json::value& value)
    {
        if (!value.is_object())
            return malformed("each of \"statements\" must be an object");
        const json::object& object = value.as_object();
        BOOST_OUTCOME_TRY(checkMembers(object, { "sql", "params", "expectRows" }));
        Statement statement;
        BOOST_OUTCOME_TRY(statement.sql, stringMember(object, "sql"));
        if (const json::value* params = object.if_contains("params")) {
            BOOST_OUTCOME_TRY(statement.params, decodeValues(params, "\"params\""));
        }
        if (object.contains("expectRows")) {
            BOOST_OUTCOME_TRY(const uint64_t expectRows, unsignedMember(object, "expectRows"));
            statement.expectRows = expectRows;
        }
        return statement;
    }

    Result<std::vector<Statement>> decodeStatements(const json::object& object)
    {
        BOOST_OUTCOME_TRY(const json::array array, arrayMember(object, "statements"));
        std::vector<Statement> statements;
        for (const json::value& value : array) {
            BOOST_OUTCOME_TRY(Statement statement, decodeStatement(value));
            statements.push_back(std::move(statement));
        }
        return statements;
    }

    Result<void> checkLimits(const Statement& statement, const TransactionLimits& limits)
    {
        if (statement.sql.size() > limits.maxSqlBytes)
            return malformed("a statement may have at most " + std::to_string(limits.maxSqlBytes) + " bytes");
        if (statement.params.size() > limits.maxParams)
            return malformed("a statement may have at most " + std::to_string(limits.maxParams) + " parameters");
        for (const SqlValue& value : statement.params) {
            if (value && value->size() > limits.maxParamBytes)
                return malformed("a parameter may have at most " + std::to_string(limits.maxParamBytes) + " bytes");
            if (value && value->find('\0') != std::string::npos)
                return malformed("a parameter must not contain a zero byte");
        }
        return checkStatementText(statement.sql);
    }

    json::array encodeResultArray(const std::vector<StatementResult>& results)
    {
        json::array array;
        for (const StatementResult& result : results) {
            json::array rows;
            rows.reserve(result.rows.size());
            for (const auto& row : result.rows)
                rows.push_back(encodeValues(row));
            json::object object;
            object["columns"] = json::array(result.columns.begin(), result.columns.end());
            object["rows"] = std::move(rows);
            object["rowCount"] = result.rowCount;
            array.push_back(std::move(object));
        }
        return array;
    }

    Result<StatementResult> decodeResult(const json::value& value)
    {
        if (!value.is_object())
            return malformed("each result must be an object");
        StatementResult result;
        BOOST_OUTCOME_TRY(const std::vector<SqlValue> columns, decodeValues(value.as_object().if_contains("columns"), "\"columns\""));
        for (const SqlValue& column : columns)
            result.columns.push_back(column.value_or(""));
        BOOST_OUTCOME_TRY(const json::array rows, arrayMember(value.as_object(), "rows"));
        for (const json::value& row : rows) {
            BOOST_OUTCOME_TRY(std::vector<SqlValue> values, decodeValues(&row, "a row"));
            result.rows.push_back(std::move(values));
        }
        BOOST_OUTCOME_TRY(result.rowCount, unsignedMember(value.as_object(), "rowCount"));
        return result;
    }

    Result<std::vector<StatementResult>> decodeResultArray(const json::value& value)
    {
        if (!value.is_array())
            return malformed("the results must be an array");
        std::vector<StatementResult> results;
        for (const json::value& element : value.as_array()) {
            BOOST_OUTCOME_TRY(StatementResult result, decodeResult(element));
            results.push_back(std::move(result));
        }
        return results;
    }

    json::object encodePoint(const LogPoint& point) { return { { "term", point.term.value }, { "position", point.position.value } }; }

    Result<LogPoint> decodePoint(const json::object& object)
    {
        LogPoint point;
        BOOST_OUTCOME_TRY(point.term.value, unsignedMember(object, "term"));
        BOOST_OUTCOME_TRY(point.position.value, unsignedMember(object, "position"));
        return point;
    }

    Result<std::optional<LogPoint>> decodeOptionalPoint(const json::object& object, std::string_view name)
    {
        if (!object.contains(name))
            return std::optional<LogPoint>();
        BOOST_OUTCOME_TRY(const json::object member, objectMember(object, name));
        BOOST_OUTCOME_TRY(const LogPoint point, decodePoint(member));
        return std::optional<LogPoint>(point);
    }

    std::string_view sourceName(AnswerSource source) { return source == AnswerSource::Primary ? "primary" : "replica"; }

    json::object encodeAnswer(const TransactionAnswer& answer)
    {
        json::object object;
        object["results"] = encodeResultArray(answer.results);
        object["server"] = answer.server.value;
        object["source"] = sourceName(answer.source);
        return object;
    }

    Result<TransactionAnswer> decodeAnswer(const json::object& object)
    {
        TransactionAnswer answer;
        BOOST_OUTCOME_TRY(const json::array results, arrayMember(object, "results"));
        BOOST_OUTCOME_TRY(answer.results, decodeResultArray(results));
        BOOST_OUTCOME_TRY(answer.point, decodeOptionalPoint(object, "point"));
        BOOST_OUTCOME_TRY(answer.server.value, stringMember(object, "server"));
        BOOST_OUTCOME_TRY(const std::string source, stringMember(object, "source"));
        answer.source = source == sourceName(AnswerSource::Replica) ? AnswerSource::Replica : AnswerSource::Primary;
        return answer;
    }

}

Result<std::vector<Statement>> parseTransactionBody(std::string_view body, const TransactionLimits& limits)
{
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(body));
    BOOST_OUTCOME_TRY(checkMembers(object, { "statements" }));
    BOOST_OUTCOME_TRY(std::vector<Statement> statements, decodeStatements(object));
    if (statements.empty() || statements.size() > limits.maxStatements)
        return malformed("a request must have 1 to " + std::to_string(limits.maxStatements) + " statements");
    for (const Statement& statement : statements) {
        BOOST_OUTCOME_TRY(checkLimits(statement, limits));
    }
    return statements;
}

std::string requestDigest(const TransactionRequest& request)
{
    json::array statements;
    for (const Statement& statement : request.statements)
        statements.push_back(encodeStatement(statement));
    json::array digestInput;
    digestInput.emplace_back(request.service.value);
    digestInput.emplace_back(request.database.value);
    digestInput.push_back(std::move(statements));
    return sha256Hex(json::serialize(digestInput));
}

size_t resultBytes(const StatementResult& result)
{
    size_t bytes = 0;
    for (const std::string& column : result.columns)
        bytes += column.size();
    for (const auto& row : result.rows) {
        for (const SqlValue& value : row)
            bytes += value ? value->size() : 0;
    }
    return bytes;
}

std::string encodeAnswerBody(const TransactionAnswer& answer, std::string_view tokenText)
{
    json::object object = encodeAnswer(answer);
    if (!tokenText.empty())
        object["token"] = tokenText;
    return json::serialize(object);
}

std::string encodeErrorBody(const Error& error)
{
    const ErrorKindProperties& properties = errorKindProperties(error.kind);
    json::object object;
    object["kind"] = properties.name;
    object["ran"] = hasRunName(properties.ran);
    object["retry"] = properties.isRetryable;
    object["detail"] = error.detail.empty() ? properties.defaultDetail : std::string_view(error.detail);
    json::object body;
    body["error"] = std::move(object);
    return json::serialize(body);
}

std::string encodeResults(const std::vector<StatementResult>& results) { return json::serialize(encodeResultArray(results)); }

Result<std::vector<StatementResult>> decodeResults(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json::value value, parseJson(text));
    return decodeResultArray(value);
}

json::object encodeRequest(const TransactionRequest& request, TimePoint now)
{
    json::object object;
    object["service"] = request.service.value;
    object["database"] = request.database.value;
    object["organisation"] = request.organisation.value;
    object["requestId"] = request.requestId.value;
    object["write"] = request.kind == TransactionKind::Write;
    json::array statements;
    for (const Statement& statement : request.statements)
        statements.push_back(encodeStatement(statement));
    object["statements"] = std::move(statements);
    if (request.token)
        object["token"] = encodePoint(*request.token);
    if (request.maxStaleness)
        object["maxStalenessMs"] = static_cast<uint64_t>(toMilliseconds(*request.maxStaleness));
    object["deadlineMs"] = static_cast<uint64_t>(std::max<int64_t>(toMilliseconds(request.deadline - now), 0));
    return object;
}

Result<TransactionRequest> decodeRequest(const json::object& object, TimePoint now)
{
    TransactionRequest request;
    BOOST_OUTCOME_TRY(request.service.value, stringMember(object, "service"));
    BOOST_OUTCOME_TRY(request.database.value, stringMember(object, "database"));
    BOOST_OUTCOME_TRY(request.organisation.value, stringMember(object, "organisation"));
    BOOST_OUTCOME_TRY(request.requestId.value, stringMember(object, "requestId"));
    BOOST_OUTCOME_TRY(const bool isWrite, booleanMember(object, "write"));
    request.kind = isWrite ? TransactionKind::Write : TransactionKind::Read;
    BOOST_OUTCOME_TRY(request.statements, decodeStatements(object));
    BOOST_OUTCOME_TRY(request.token, decodeOptionalPoint(object, "token"));
    if (object.contains("maxStalenessMs")) {
        BOOST_OUTCOME_TRY(const uint64_t staleness, unsignedMember(object, "maxStalenessMs"));
        request.maxStaleness = std::chrono::milliseconds(std::min<uint64_t>(staleness, std::chrono::milliseconds(24h).count()));
    }
    BOOST_OUTCOME_TRY(const uint64_t remaining, unsignedMember(object, "deadlineMs"));
    request.deadline = now + std::chrono::milliseconds(std::min<uint64_t>(remaining, std::chrono::milliseconds(1min).count()));
    return request;
}

json::object encodeOutcome(const TransactionOutcome& outcome)
{
    if (outcome.has_value()) {
        json::object object = encodeAnswer(outcome.value());
        if (outcome.value().point)
            object["point"] = encodePoint(*outcome.value().point);
        return object;
    }
    json::object error;
    error["kind"] = errorKindProperties(outcome.error().kind).name;
    error["detail"] = outcome.error().detail;
    json::object object;
    object["error"] = std::move(error);
    return object;
}

TransactionOutcome decodeOutcome(const json::object& object)
{
    if (const json::value* error = object.if_contains("error")) {
        if (error->is_object()) {
            const auto name = stringMember(error->as_object(), "kind");
            const auto detail = stringMember(error->as_object(), "detail");
            const auto kind = name ? errorKindByName(name.value()) : std::nullopt;
            if (kind)
                return fail(*kind, detail ? detail.value() : "");
        }
        return fail(ErrorKind::Internal, "a peer returned an error that cannot be decoded");
    }
    TransactionOutcome outcome = decodeAnswer(object);
    if (!outcome)
        return fail(ErrorKind::Internal, "a peer returned an answer that cannot be decoded: " + outcome.error().detail);
    return outcome;
}

}
