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
    const bool isServing = snapshot.configuration && now() < snapshot.servingDeadline;
    HttpResponse response;
    response.status = isServing ? httpOk : httpUnavailable;
    response.body = json::serialize(json::object {
        { "serving", isServing }, { "configurationVersion", snapshot.configuration ? snapshot.configuration->version : 0 } });
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
    // A client that sent no request id needs the generated one to query whether its write has run.
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
        const Result<json::value> decodedAnswer = parseJson(encodeAnswerBody(*context.answer, token));
        if (decodedAnswer)
            body["answer"] = decodedAnswer.value();
    }
    HttpResponse response;
    response.body = json::serialize(body);
    return response;
}

std::string ResponseBuilder::tokenFor(const RequestContext& context) const
{
    // The new token is never behind the client's: a read on a replica may return a log point that is lower than the client's.
    const std::optional<LogPoint>& requestedPoint = context.request.token;
    const std::optional<LogPoint>& servedPoint = context.answer->point;
    if (!requestedPoint && !servedPoint)
        return "";
    const LogPoint point
        = requestedPoint && servedPoint ? std::max(*requestedPoint, *servedPoint) : (requestedPoint ? *requestedPoint : *servedPoint);
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
