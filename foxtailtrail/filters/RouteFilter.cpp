#include "foxtailtrail/filters/RouteFilter.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/Log.h"

namespace foxtail {

namespace {

    void logAttempt(std::string_view event, const RequestId& id, uint32_t attempt, TimePoint sentAt, std::string_view result)
    {
        logEvent(LogLevel::Debug, event,
            { { "requestId", id.value }, { "attempt", attempt }, { "milliseconds", toMilliseconds(now() - sentAt) },
                { "result", result } });
    }

}

RouteFilter::RouteFilter(HomeClient& client, RetryPolicySettings settings)
    : homeClient(client)
    , settings(settings)
{
}

Result<void> RouteFilter::apply(RequestContext& context)
{
    return context.kind == RequestKind::Status ? this->queryStatus(context) : this->runTransaction(context);
}

Result<void> RouteFilter::runTransaction(RequestContext& context)
{
    RetryPolicy policy(context.request, this->settings);
    std::optional<RetryEffect> effect = policy.start(now());
    while (effect && !std::holds_alternative<Answer>(*effect)) {
        if (const auto* start = std::get_if<StartAttempt>(&*effect))
            effect = this->runAttempt(policy, *start, context.request);
        else
            effect = this->resolve(policy, std::get<ResolveById>(*effect), context.request);
    }
    if (!effect)
        return fail(ErrorKind::Internal, "the retry policy ended without an outcome");
    TransactionOutcome outcome = std::move(std::get<Answer>(*effect).outcome);
    if (!outcome)
        return outcome.error();
    context.answer = std::move(outcome.value());
    return succeed();
}

std::optional<RetryEffect> RouteFilter::runAttempt(RetryPolicy& policy, const StartAttempt& start, const TransactionRequest& request)
{
    sleepUntil(start.startAt);
    TransactionRequest attempted = request;
    attempted.deadline = start.deadline;
    const TimePoint sentAt = now();
    const HomeResponse response = this->homeClient.execute(attempted);
    logAttempt("attempt", request.requestId, start.attempt, sentAt,
        !response.outcome                   ? "call failed"
            : response.outcome->has_value() ? "Success"
                                            : errorKindProperties(response.outcome->error().kind).name);
    if (response.outcome)
        return policy.onAttemptFinished(start.attempt, *response.outcome, now());
    return policy.onAttemptLost(start.attempt, response.mayHaveBeenSent, now());
}

std::optional<RetryEffect> RouteFilter::resolve(RetryPolicy& policy, const ResolveById& resolution, const TransactionRequest& request)
{
    sleepUntil(resolution.startAt);
    const TimePoint sentAt = now();
    const ResolutionResult resolutionResult = this->homeClient.resolve(
        { request.database, request.organisation, resolution.requestId, resolution.digest, resolution.deadline });
    logAttempt("resolution", request.requestId, resolution.attempt, sentAt, hasRunName(resolutionResult.ran));
    return policy.onResolutionFinished(resolution.attempt, resolutionResult, now());
}

Result<void> RouteFilter::queryStatus(RequestContext& context)
{
    const ResolutionResult resolutionResult = this->homeClient.resolve(
        { context.request.database, context.request.organisation, context.request.requestId, std::nullopt, context.request.deadline });
    context.status = resolutionResult.ran;
    context.answer = resolutionResult.answer;
    context.statusDetail = resolutionResult.detail;
    return succeed();
}

}
