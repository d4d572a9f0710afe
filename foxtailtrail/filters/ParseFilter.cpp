#include "foxtailtrail/filters/ParseFilter.h"

#include <array>
#include <string_view>
#include <vector>

namespace foxtail {

namespace {

    constexpr std::string_view servicePrefix = "/v1/services/";

    struct OperationRow {
        std::string_view name;
        std::string_view method;
        RequestKind kind;
    };

    constexpr std::array<OperationRow, 3> operationTable { {
        { "read", "POST", RequestKind::Read },
        { "write", "POST", RequestKind::Write },
        { "requests", "GET", RequestKind::Status },
    } };

    // Removes the part before the next '/', and the '/' itself, and returns that part.
    std::string_view takeSegment(std::string_view& remaining)
    {
        const size_t slash = remaining.find('/');
        const std::string_view segment = remaining.substr(0, slash);
        remaining = slash == std::string_view::npos ? std::string_view() : remaining.substr(slash + 1);
        return segment;
    }

}

ParseFilter::ParseFilter(RequestParserSettings parserSettings, TransactionLimits limits, std::string requestIdPrefix)
    : parserSettings(parserSettings)
    , limits(limits)
    , requestIdPrefix(std::move(requestIdPrefix))
{
}

Result<void> ParseFilter::apply(RequestContext& context)
{
    BOOST_OUTCOME_TRY(this->readTarget(context));
    BOOST_OUTCOME_TRY(this->readHeaders(context));
    if (context.kind == RequestKind::Status)
        return succeed();
    BOOST_OUTCOME_TRY(context.request.statements, parseTransactionBody(context.http.body, this->limits));
    return succeed();
}

Result<void> ParseFilter::readTarget(RequestContext& context) const
{
    std::string_view remaining = context.http.target;
    if (!remaining.starts_with(servicePrefix))
        return fail(ErrorKind::UnknownRoute, "the supported targets are /v1/services/SERVICE/read, /write and /requests/ID");
    remaining.remove_prefix(servicePrefix.size());
    context.serviceName = ServiceName(std::string(takeSegment(remaining)));
    const std::string_view operation = takeSegment(remaining);
    for (const OperationRow& row : operationTable) {
        if (row.name != operation || (row.kind == RequestKind::Status) == remaining.empty())
            continue;
        if (row.method != context.http.method)
            return fail(ErrorKind::MethodNotAllowed, std::string(operation) + " requires method " + std::string(row.method));
        context.kind = row.kind;
        if (row.kind == RequestKind::Status) {
            BOOST_OUTCOME_TRY(context.request.requestId, parseRequestId(remaining));
        }
        return succeed();
    }
    return fail(ErrorKind::UnknownRoute, "the operations of a service are read, write and requests/ID");
}

Result<void> ParseFilter::readHeaders(RequestContext& context)
{
    std::vector<HeaderField> fields;
    fields.reserve(context.http.headers.size());
    for (const HttpHeader& header : context.http.headers)
        fields.push_back({ header.name, header.value });
    BOOST_OUTCOME_TRY(context.headers, parseRequestHeaders(fields, this->parserSettings, context.arrivedAt));

    context.request.service = context.serviceName;
    context.request.kind = context.kind == RequestKind::Write ? TransactionKind::Write : TransactionKind::Read;
    context.request.maxStaleness = context.headers.maxStaleness;
    context.request.deadline = context.headers.deadline;
    if (context.kind == RequestKind::Status)
        return succeed();
    context.request.requestId = context.headers.requestId;
    if (context.request.requestId.empty())
        context.request.requestId = RequestId(this->requestIdPrefix + "-" + std::to_string(++this->lastRequestId));
    return succeed();
}

}
