#include "foxtailtrail/server/OperatorClient.h"

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/net/Clock.h"

namespace foxtail {

namespace {

    // Longer than the VM takes for a change: 5 s to store it and 5 s to collect acknowledgements.
    constexpr Duration commandTimeout = std::chrono::seconds(15);
    constexpr unsigned httpOk = 200;

    // Converts the body of an error response to the error.
    Error reportedError(const std::string& body)
    {
        const Result<json::object> object = parseJsonObject(body);
        const Result<json::object> error = object ? objectMember(object.value(), "error") : Result<json::object>(object.error());
        const Result<std::string> kind = error ? stringMember(error.value(), "kind") : Result<std::string>(error.error());
        const std::optional<ErrorKind> errorKind = kind ? errorKindByName(kind.value()) : std::nullopt;
        if (!errorKind)
            return { ErrorKind::Internal, "the VM sent an unexpected error response: " + body };
        const Result<std::string> detail = stringMember(error.value(), "detail");
        return { *errorKind, detail ? detail.value() : "" };
    }

    Cell toCell(const json::value& value)
    {
        if (value.is_number())
            return value.to_number<double>();
        return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
    }

    std::optional<Table> toTable(const json::object& reply)
    {
        const Result<json::array> columns = arrayMember(reply, "columns");
        const Result<json::array> rows = arrayMember(reply, "rows");
        if (!columns || !rows)
            return std::nullopt;
        Table table;
        for (size_t index = 0; index < columns.value().size(); ++index) {
            const bool isNumber = !rows.value().empty() && rows.value()[0].is_array() && index < rows.value()[0].as_array().size()
                && rows.value()[0].as_array()[index].is_number();
            const json::value& name = columns.value()[index];
            table.columns.push_back(
                { name.is_string() ? std::string(name.as_string()) : "", isNumber ? ColumnKind::Number : ColumnKind::Text });
        }
        for (const json::value& row : rows.value()) {
            if (!row.is_array() || row.as_array().size() != table.columns.size())
                return std::nullopt;
            Row cells;
            for (const json::value& cell : row.as_array())
                cells.push_back(toCell(cell));
            table.rows.push_back(std::move(cells));
        }
        return table;
    }

}

OperatorClient::OperatorClient(Endpoint endpoint, std::string secret)
    : thread(FiberThread::start("client"))
    , endpoint(std::move(endpoint))
    , secret(std::move(secret))
{
}

Result<std::string> OperatorClient::send(const std::string& method, const std::string& target, const std::string& body)
{
    const HttpRequest request { method, target, { { "Authorization", "Bearer " + this->secret }, { "Content-Type", "application/json" } },
        body };
    const Result<HttpResponse> response
        = this->thread->call([&] { return HttpClient(this->endpoint).send(request, now() + commandTimeout); });
    if (!response)
        return response.error();
    if (response.value().status != httpOk)
        return reportedError(response.value().body);
    return response.value().body;
}

Result<OperatorResponse> OperatorClient::runCommand(const std::string& text)
{
    OperatorResponse reply;
    BOOST_OUTCOME_TRY(reply.jsonText, this->send("POST", "/v1/command", json::serialize(json::object { { "text", text } })));
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(reply.jsonText));
    reply.table = toTable(object);
    const Result<std::string> message = stringMember(object, "message");
    const Result<std::string> key = stringMember(object, "key");
    reply.message = message ? message.value() : "";
    reply.key = key ? key.value() : "";
    return reply;
}

Result<RenderedBurnReport> OperatorClient::fetchBurnReport()
{
    BOOST_OUTCOME_TRY(const std::string body, this->send("GET", "/v1/burn", ""));
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(body));
    BOOST_OUTCOME_TRY(const std::string text, stringMember(object, "text"));
    BOOST_OUTCOME_TRY(const json::object report, objectMember(object, "report"));
    return RenderedBurnReport { text, json::serialize(report) };
}

}
