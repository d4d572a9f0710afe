#pragma once

#include "foxtailtrail/execution/ExecutionEvents.h"

namespace foxtail {

// Settings of RetryPolicy.
struct RetryPolicySettings {
    // The delay between two attempts doubles with every attempt, from the initial delay up to the maximum.
    Duration initialDelay = std::chrono::milliseconds(10);
    Duration maxDelay = std::chrono::milliseconds(200);
    // A transaction with a conflict was rolled back and is retried this many times; more attempts rarely help.
    uint32_t maxConflicts = 3;
    // The deadline of an attempt is this much earlier than the caller's, so that the answer of the home arrives in time.
    Duration answerMargin = std::chrono::milliseconds(20);
};

// Effect: sends the request to the VM that is its home now. Attempts are numbered from 1.
struct StartAttempt {
    uint32_t attempt = 0;
    TimePoint startAt;
    // The deadline of the attempt.
    TimePoint deadline;
};

// Effect: has the home of the current primary resolve the request id. The digest prevents the answer of another request under the
// same id from being returned for this one.
struct ResolveById {
    uint32_t attempt = 0;
    RequestId requestId;
    std::string digest;
    TimePoint startAt;
    TimePoint deadline;
};

using RetryEffect = std::variant<StartAttempt, ResolveById, Answer>;

// Decides at the entry VM, for one request, whether the outcome of an attempt is final. A write is retried under its own id, so
// that the insert of the id at the server decides between two attempts. Once an attempt may have run, a refusal of a later attempt
// does not prove that the request did not run, so its id is resolved first.
class RetryPolicy {
public:
    RetryPolicy(const TransactionRequest&, const RetryPolicySettings&);

    // Returns the first attempt. Called once.
    RetryEffect start(TimePoint now);

    // Handles the outcome of an attempt. Returns std::nullopt if the attempt is not the outstanding one.
    std::optional<RetryEffect> onAttemptFinished(uint32_t attempt, const TransactionOutcome&, TimePoint now);

    // Handles a call to the home that failed without a reply. If mayHaveBeenSent is false, the home certainly did not receive the
    // request.
    std::optional<RetryEffect> onAttemptLost(uint32_t attempt, bool mayHaveBeenSent, TimePoint now);

    // Handles the result of a resolution. A resolution that failed without a reply is reported as HasRun::Unknown.
    std::optional<RetryEffect> onResolutionFinished(uint32_t attempt, const ResolutionResult&, TimePoint now);

    // Handles the caller's deadline. Returns std::nullopt if the request has finished.
    std::optional<RetryEffect> onDeadlinePassed();

    bool isFinished() const { return this->hasFinished; }

private:
    bool isOutstanding(uint32_t number) const { return !this->hasFinished && number == this->attempt; }
    bool shouldRetry(const Error&) const;
    RetryEffect handleRefusal(const Error&, TimePoint now);
    RetryEffect scheduleRetry(TimePoint now);
    RetryEffect scheduleResolution(TimePoint now);
    RetryEffect finishWithError();
    RetryEffect finish(TransactionOutcome);
    // Returns when the next attempt may start. The jitter depends on the request id, so that requests that failed together do not
    // retry together.
    TimePoint nextStart(TimePoint now) const;
    TimePoint homeDeadline(TimePoint start) const;

    TransactionKind kind;
    RequestId requestId;
    std::string digest;
    TimePoint deadline;
    RetryPolicySettings settings;
    uint32_t attempt = 0;
    uint32_t conflicts = 0;
    // Whether an attempt may have run.
    bool mayHaveRun = false;
    // Whether an attempt is outstanding at a home.
    bool isAttemptOutstanding = false;
    bool hasFinished = false;
    // The most recent refusal, which is the outcome if no attempt ran.
    Error refusal { ErrorKind::DeadlineExceeded, {} };
};

}
