#include "foxtailtrail/execution/RetryPolicy.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

RetryPolicy::RetryPolicy(const TransactionRequest& request, const RetryPolicySettings& settings)
    : kind(request.kind)
    , requestId(request.requestId)
    , digest(request.kind == TransactionKind::Write ? requestDigest(request) : std::string())
    , deadline(request.deadline)
    , settings(settings)
{
}

RetryEffect RetryPolicy::start(TimePoint now)
{
    assert(this->attempt == 0);
    this->attempt = 1;
    this->isAttemptOutstanding = true;
    return StartAttempt { this->attempt, now, this->homeDeadline(now) };
}

std::optional<RetryEffect> RetryPolicy::onAttemptFinished(uint32_t number, const TransactionOutcome& outcome, TimePoint now)
{
    if (!this->isOutstanding(number))
        return std::nullopt;
    this->isAttemptOutstanding = false;
    if (outcome.has_value())
        return this->finish(outcome);
    const HasRun ran = errorKindProperties(outcome.error().kind).ran;
    if (ran == HasRun::Yes)
        return this->finish(outcome);
    if (ran == HasRun::No)
        return this->handleRefusal(outcome.error(), now);
    this->mayHaveRun = this->kind == TransactionKind::Write;
    return this->scheduleRetry(now);
}

std::optional<RetryEffect> RetryPolicy::onAttemptLost(uint32_t number, bool sent, TimePoint now)
{
    if (!this->isOutstanding(number))
        return std::nullopt;
    this->isAttemptOutstanding = false;
    this->refusal = { ErrorKind::PeerUnavailable, "the VM that serves the database cannot be reached" };
    this->mayHaveRun = this->mayHaveRun || (sent && this->kind == TransactionKind::Write);
    return this->scheduleRetry(now);
}

std::optional<RetryEffect> RetryPolicy::onResolutionFinished(uint32_t number, const ResolutionResult& resolved, TimePoint now)
{
    if (!this->isOutstanding(number))
        return std::nullopt;
    if (resolved.ran == HasRun::Unknown)
        return this->scheduleResolution(now);
    if (resolved.ran == HasRun::Yes && resolved.answer)
        return this->finish(*resolved.answer);
    if (resolved.ran == HasRun::Yes)
        return this->finish(fail(ErrorKind::AnswerTooLarge, resolved.detail));
    this->mayHaveRun = false;
    this->refusal.detail += std::string(this->refusal.detail.empty() ? "" : "; ") + "the request id is given up, use a new one";
    return this->finishWithError();
}

std::optional<RetryEffect> RetryPolicy::onDeadlinePassed()
{
    if (this->hasFinished)
        return std::nullopt;
    // An attempt that is still at a home may yet commit.
    this->mayHaveRun = this->mayHaveRun || (this->isAttemptOutstanding && this->kind == TransactionKind::Write);
    return this->finishWithError();
}

bool RetryPolicy::shouldRetry(const Error& error) const
{
    switch (error.kind) {
    case ErrorKind::NoPrimary:
    case ErrorKind::NotHome:
    case ErrorKind::PeerUnavailable:
    case ErrorKind::Stopping:
        return true;
    case ErrorKind::ReadNotCurrent:
        return this->kind == TransactionKind::Read;
    case ErrorKind::Conflict:
        return this->conflicts <= this->settings.maxConflicts;
    default:
        return false;
    }
}

RetryEffect RetryPolicy::handleRefusal(const Error& error, TimePoint now)
{
    this->refusal = error;
    this->conflicts += error.kind == ErrorKind::Conflict ? 1 : 0;
    // Giving the id up is the last resort, since a caller who repeats it is then refused for good.
    const bool mayPass = this->mayHaveRun && error.kind != ErrorKind::DeadlineExceeded && errorKindProperties(error.kind).isRetryable;
    if (mayPass || this->shouldRetry(error))
        return this->scheduleRetry(now);
    if (this->mayHaveRun)
        return this->scheduleResolution(now);
    return this->finishWithError();
}

RetryEffect RetryPolicy::scheduleRetry(TimePoint now)
{
    const TimePoint start = this->nextStart(now);
    if (start >= this->deadline)
        return this->finishWithError();
    ++this->attempt;
    this->isAttemptOutstanding = true;
    return StartAttempt { this->attempt, start, this->homeDeadline(start) };
}

RetryEffect RetryPolicy::scheduleResolution(TimePoint now)
{
    const TimePoint start = this->nextStart(now);
    if (start >= this->deadline)
        return this->finishWithError();
    ++this->attempt;
    return ResolveById { this->attempt, this->requestId, this->digest, start, this->homeDeadline(start) };
}

RetryEffect RetryPolicy::finishWithError()
{
    if (this->mayHaveRun)
        return this->finish(fail(ErrorKind::OutcomeUnknown, "ask for the outcome of request " + this->requestId.value));
    return this->finish(fail(this->refusal.kind, this->refusal.detail));
}

RetryEffect RetryPolicy::finish(TransactionOutcome outcome)
{
    this->hasFinished = true;
    return Answer { std::move(outcome) };
}

TimePoint RetryPolicy::nextStart(TimePoint now) const
{
    constexpr uint32_t maxDoublings = 16;
    const Duration doubled = this->settings.initialDelay * (uint64_t { 1 } << std::min(this->attempt - 1, maxDoublings));
    const Duration wait = std::min(doubled, this->settings.maxDelay);
    const uint64_t spread = stableHash(this->requestId.value + "/" + std::to_string(this->attempt));
    // Between half of the wait and the whole of it.
    const auto half = static_cast<uint64_t>(wait.count()) / 2;
    return now + Duration(half + spread % (half + 1));
}

TimePoint RetryPolicy::homeDeadline(TimePoint start) const
{
    const TimePoint earlier = this->deadline - this->settings.answerMargin;
    // A short deadline keeps half of its time.
    return std::max(earlier, start + (this->deadline - start) / 2);
}

}
