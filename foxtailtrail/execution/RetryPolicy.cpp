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

std::optional<RetryEffect> RetryPolicy::onAttemptLost(uint32_t number, bool mayHaveBeenSent, TimePoint now)
{
    if (!this->isOutstanding(number))
        return std::nullopt;
    this->isAttemptOutstanding = false;
    this->refusal = { ErrorKind::PeerUnavailable, "the VM that serves the database cannot be reached" };
    this->mayHaveRun = this->mayHaveRun || (mayHaveBeenSent && this->kind == TransactionKind::Write);
    return this->scheduleRetry(now);
}

std::optional<RetryEffect> RetryPolicy::onResolutionFinished(uint32_t number, const ResolutionResult& result, TimePoint now)
{
    if (!this->isOutstanding(number))
        return std::nullopt;
    if (result.ran == HasRun::Unknown)
        return this->scheduleResolution(now);
    if (result.ran == HasRun::Yes && result.answer)
        return this->finish(*result.answer);
    if (result.ran == HasRun::Yes)
        return this->finish(fail(ErrorKind::AnswerTooLarge, result.detail));
    this->mayHaveRun = false;
    this->refusal.detail += std::string(this->refusal.detail.empty() ? "" : "; ") + "the request id was abandoned; use a new one";
    return this->finishWithError();
}

std::optional<RetryEffect> RetryPolicy::onDeadlinePassed()
{
    if (this->hasFinished)
        return std::nullopt;
    // An attempt that is outstanding at a home may still commit.
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
    // Abandoning the id is the last resort: a caller who repeats the request under this id is then refused permanently.
    const bool isWorthRetrying
        = this->mayHaveRun && error.kind != ErrorKind::DeadlineExceeded && errorKindProperties(error.kind).isRetryable;
    if (isWorthRetrying || this->shouldRetry(error))
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
        return this->finish(fail(ErrorKind::OutcomeUnknown, "query the outcome of request " + this->requestId.value));
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
    const Duration doubledDelay = this->settings.initialDelay * (uint64_t { 1 } << std::min(this->attempt - 1, maxDoublings));
    const Duration delay = std::min(doubledDelay, this->settings.maxDelay);
    const uint64_t jitterHash = stableHash(this->requestId.value + "/" + std::to_string(this->attempt));
    // The jitter spreads the start over the second half of the delay.
    const auto halfDelay = static_cast<uint64_t>(delay.count()) / 2;
    return now + Duration(halfDelay + jitterHash % (halfDelay + 1));
}

TimePoint RetryPolicy::homeDeadline(TimePoint start) const
{
    const TimePoint reducedDeadline = this->deadline - this->settings.answerMargin;
    // An attempt gets at least half of the time that remains.
    return std::max(reducedDeadline, start + (this->deadline - start) / 2);
}

}
