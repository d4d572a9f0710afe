#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/limits/LoanMessages.h"

#include <vector>

namespace foxtail {

// Names a request that waits for a token.
struct AdmissionTicket {
    uint64_t value = 0;
    bool operator==(const AdmissionTicket&) const = default;
    bool operator<(const AdmissionTicket& other) const { return this->value < other.value; }
};

// Whether a request may go on.
enum class AdmissionState : uint8_t {
    Admitted,
    Refused,
    // The request waits: settle its ticket with the results of receive() and expire().
    Waiting,
};

// The decision on one request.
struct Admission {
    AdmissionState state = AdmissionState::Refused;
    // Set when the state is Refused: RateLimited, LimitUnavailable, Overloaded or DeadlineExceeded, all "not run".
    ErrorKind refusalReason = ErrorKind::RateLimited;
    // Set when the state is Waiting.
    AdmissionTicket ticket;
};

// The final decision, Admitted or Refused, on a request that waited.
struct CompletedAdmission {
    AdmissionTicket ticket;
    Admission admission;
};

// A request for tokens with the VM it goes to.
struct OutgoingBorrowRequest {
    VmId owner;
    BorrowRequest request;
};

// A return of loans with the VM it goes to.
struct OutgoingLoanReturn {
    VmId owner;
    LoanReturn message;
};

// How one VM decides whether a request is within its organisation's rate and burst across the fleet.
class LimitStrategy {
public:
    LimitStrategy() = default;
    LimitStrategy(const LimitStrategy&) = delete;
    LimitStrategy& operator=(const LimitStrategy&) = delete;
    virtual ~LimitStrategy() = default;

    // Decides on one request with the given deadline.
    virtual Admission admit(const OrganisationId&, TimePoint requestDeadline, TimePoint now) = 0;

    // The messages to send now, at most one per owner and 64 organisations. Call it after an admit() that waits and every 5 ms.
    virtual std::vector<OutgoingBorrowRequest> collectRequests(TimePoint now) = 0;

    // Takes an owner's answer. Answers that are late, repeated or unknown are harmless.
    virtual std::vector<CompletedAdmission> receive(const VmId& owner, const BorrowReply&, TimePoint now) = 0;

    // Refuses the requests that have waited long enough. Call it every 5 ms.
    virtual std::vector<CompletedAdmission> expire(TimePoint now) = 0;

    // Forgets a waiting request whose caller has gone.
    virtual void cancel(AdmissionTicket) = 0;
};

}
