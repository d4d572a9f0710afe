#include "foxtailtrail/filters/ResponseBuilder.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/session/ConsistencyToken.h"

#include <algorithm>

namespace foxtail {

namespace {

    constexpr unsigned httpOk = 200;
    constexpr unsigned httpUnavailable = 503;
    constexpr const char* tokenHeader = "Foxtail-Token";
    constexpr const char* requestIdHeader = "Foxtail-Request-Id";

}

HttpResponse ResponseBuilder::errorResponse(const Error& error)
{
    HttpResponse response;
    response.status = errorKindProperties(error.kind).httpStatus;
    response.body = encodeErrorBody(error);
    return response;
}

HttpResponse ResponseBuilder::healthResponse(const ControlSnapshot& snapshot)
{
    const bool serving = snapshot.configuration && now() < snapshot.servingDeadline;
    HttpResponse response;
    response.status = serving ? httpOk : httpUnavailable;
    response.body = json::serialize(
        json::object { { "serving", serving }, { "configurationVersion", snapshot.configuration ? snapshot.configuration->version : 0 } });
    return response;
}

HttpResponse ResponseBuilder::response(const RequestContext& context, const Result<void>& result) const
{
    HttpResponse response;
    if (!result) {
        response = errorResponse(result.error());
    } else if (context.kind == RequestKind::Status) {
        response = this->statusResponse(context);
    } else {
        const std::string token = this->tokenFor(context);
        response.body = encodeAnswerBody(*context.answer, token);
        if (!token.empty())
            response.headers.push_back({ tokenHeader, token });
    }
    // A caller that gave no id needs it to ask afterwards whether its write ran.
    if (context.kind == RequestKind::Write && !context.request.requestId.empty())
        response.headers.push_back({ requestIdHeader, context.request.requestId.value });
    return response;
}

HttpResponse ResponseBuilder::statusResponse(const RequestContext& context) const
{
    json::object body { { "ran", hasRunName(*context.status) } };
    if (!context.statusDetail.empty())
        body["detail"] = context.statusDetail;
    if (context.answer) {
        const std::string token = this->tokenFor(context);
        const Result<json::value> answer = parseJson(encodeAnswerBody(*context.answer, token));
        if (answer)
            body["answer"] = answer.value();
    }
    HttpResponse response;
    response.body = json::serialize(body);
    return response;
}

std::string ResponseBuilder::tokenFor(const RequestContext& context) const
{
    // The next token never goes back: a read on a replica may report less than the caller has seen.
    const std::optional<LogPoint>& seen = context.request.token;
    const std::optional<LogPoint>& reached = context.answer->point;
    if (!seen && !reached)
        return "";
    const LogPoint point = seen && reached ? std::max(*seen, *reached) : (seen ? *seen : *reached);
    return ConsistencyToken { context.request.database, point }.encode(context.snapshot->configuration->fleetSecret);
}

RequestRecord ResponseBuilder::makeRequestRecord(const RequestContext& context, const Result<void>& result) const
{
    RequestRecord record;
    if (context.service)
        record.service = context.service->name;
    record.organisation = context.request.organisation;
    record.isWrite = context.kind == RequestKind::Write;
    if (!result)
        record.error = result.error().kind;
    record.duration = now() - context.arrivedAt;
    record.wasServedByReplica = context.answer && context.answer->source == AnswerSource::Replica;
    return record;
}

}
