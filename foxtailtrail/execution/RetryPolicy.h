#pragma once

#include "foxtailtrail/execution/ExecutionEvents.h"

namespace foxtail {

// The waits between two attempts at one request.
struct RetryPolicySettings {
    // The wait doubles with every attempt, from the first to the longest.
    Duration initialDelay = std::chrono::milliseconds(10);
    Duration maxDelay = std::chrono::milliseconds(200);
    // A conflicting transaction was rolled back; more attempts than this rarely help.
    uint32_t maxConflicts = 3;
    // The home gets this much less time than the caller gave, so that its answer arrives within the deadline.
    Duration answerMargin = std::chrono::milliseconds(20);
};

// Send the request to the home that serves it now. Attempts are numbered from 1.
struct StartAttempt {
    uint32_t attempt = 0;
    TimePoint startAt;
    // The deadline that the attempt gets.
    TimePoint deadline;
};

// Have the home of the current primary resolve the request id. The digest keeps the answer of another request under
// the same id from being taken for this one's.
struct ResolveById {
    uint32_t attempt = 0;
    RequestId requestId;
    std::string digest;
    TimePoint startAt;
    TimePoint deadline;
};

using RetryEffect = std::variant<StartAttempt, ResolveById, Answer>;

// Decides at the entry VM, for one request, whether an attempt's outcome is final. A write is tried again under its
// own id, so that the insert of the id decides between two attempts at the server. Once an attempt may have run, a
// refusal of a later one is no proof for the request as a whole: it is resolved by id first.
class RetryPolicy {
public:
    RetryPolicy(const TransactionRequest&, const RetryPolicySettings&);

    // The first attempt. Called once.
    RetryEffect start(TimePoint now);

    // An attempt answered. Returns nothing when the attempt is not the outstanding one.
    std::optional<RetryEffect> onAttemptFinished(uint32_t attempt, const TransactionOutcome&, TimePoint now);

    // The call to the home broke. Unless sent is false, the home may have the request.
    std::optional<RetryEffect> onAttemptLost(uint32_t attempt, bool sent, TimePoint now);

    // A resolution answered, or broke, which is Ran::Unknown.
    std::optional<RetryEffect> onResolutionFinished(uint32_t attempt, const ResolutionResult&, TimePoint now);

    // The caller's deadline passed.
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
    // When the next attempt may start. It is spread by request id, so that requests that failed together do not
    // return together.
    TimePoint nextStart(TimePoint now) const;
    TimePoint homeDeadline(TimePoint start) const;

    TransactionKind kind;
    RequestId requestId;
    std::string digest;
    TimePoint deadline;
    RetryPolicySettings settings;
    uint32_t attempt = 0;
    uint32_t conflicts = 0;
    // Set once an attempt may have run.
    bool mayHaveRun = false;
    // Whether an attempt is at a home at the moment.
    bool isAttemptOutstanding = false;
    bool hasFinished = false;
    // The newest refusal, which is the answer when nothing ran.
    Error refusal { ErrorKind::DeadlineExceeded, {} };
};

}
