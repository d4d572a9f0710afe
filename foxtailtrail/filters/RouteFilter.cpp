#include "foxtailtrail/filters/RouteFilter.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"

namespace foxtail {

RouteFilter::RouteFilter(HomeCaller& caller, RetryPolicySettings settings)
    : caller(caller)
    , settings(settings)
{
}

Result<void> RouteFilter::apply(RequestContext& context)
{
    return context.kind == RequestKind::Status ? this->askForStatus(context) : this->runTransaction(context);
}

Result<void> RouteFilter::runTransaction(RequestContext& context)
{
    RetryPolicy policy(context.request, this->settings);
    std::optional<RetryEffect> effect = policy.start(now());
    while (effect && !std::holds_alternative<Answer>(*effect)) {
        if (const auto* start = std::get_if<StartAttempt>(&*effect))
            effect = this->attempt(policy, *start, context.request);
        else
            effect = this->resolve(policy, std::get<ResolveById>(*effect), context.request);
    }
    if (!effect)
        return fail(ErrorKind::Internal, "the request ended without an answer");
    TransactionOutcome outcome = std::move(std::get<Answer>(*effect).outcome);
    if (!outcome)
        return outcome.error();
    context.answer = std::move(outcome.value());
    return succeed();
}

std::optional<RetryEffect> RouteFilter::attempt(RetryPolicy& policy, const StartAttempt& start, const TransactionRequest& request)
{
    sleepUntil(start.notBefore);
    TransactionRequest attempted = request;
    attempted.deadline = start.deadline;
    const HomeAnswer answer = this->caller.execute(attempted);
    if (answer.outcome)
        return policy.attemptFinished(start.attempt, *answer.outcome, now());
    return policy.attemptLost(start.attempt, answer.sent, now());
}

std::optional<RetryEffect> RouteFilter::resolve(RetryPolicy& policy, const ResolveById& resolution, const TransactionRequest& request)
{
    sleepUntil(resolution.notBefore);
    const Resolved resolved
        = this->caller.resolve({ request.database, request.organisation, resolution.requestId, resolution.digest, resolution.deadline });
    return policy.resolutionFinished(resolution.attempt, resolved, now());
}

Result<void> RouteFilter::askForStatus(RequestContext& context)
{
    const Resolved resolved = this->caller.resolve(
        { context.request.database, context.request.organisation, context.request.requestId, std::nullopt, context.request.deadline });
    context.status = resolved.ran;
    context.answer = resolved.answer;
    context.statusDetail = resolved.detail;
    return succeed();
}

}
