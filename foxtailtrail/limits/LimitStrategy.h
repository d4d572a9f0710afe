#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/limits/LoanMessages.h"

#include <vector>

namespace foxtail {

// Identifies a request that waits for a token.
struct AdmissionTicket {
    uint64_t value = 0;
    bool operator==(const AdmissionTicket&) const = default;
    bool operator<(const AdmissionTicket& other) const { return this->value < other.value; }
};

// Whether a request may proceed.
enum class AdmissionState : uint8_t {
    Admitted,
    Refused,
    // The request waits: receive() and expire() return the decision on its ticket.
    Waiting,
};

// The decision on one request.
struct Admission {
    AdmissionState state = AdmissionState::Refused;
    // Set if the state is Refused: RateLimited, LimitUnavailable, Overloaded or DeadlineExceeded, all "not run".
    ErrorKind refusalReason = ErrorKind::RateLimited;
    // Set if the state is Waiting.
    AdmissionTicket ticket;
};

// The final decision, Admitted or Refused, on a request that waited.
struct CompletedAdmission {
    AdmissionTicket ticket;
    Admission admission;
};

// A request for tokens, and the VM to send it to.
struct OutgoingBorrowRequest {
    VmId owner;
    BorrowRequest request;
};

// A return of loans, and the VM to send it to.
struct OutgoingLoanReturn {
    VmId owner;
    LoanReturn message;
};

// Decides on one VM whether a request is within its organisation's rate and burst across the fleet.
class LimitStrategy {
public:
    LimitStrategy() = default;
    LimitStrategy(const LimitStrategy&) = delete;
    LimitStrategy& operator=(const LimitStrategy&) = delete;
    virtual ~LimitStrategy() = default;

    // Decides on one request with the given deadline.
    virtual Admission admit(const OrganisationId&, TimePoint requestDeadline, TimePoint now) = 0;

    // Returns the messages to send now, at most one per owner with up to 64 organisations. Must be called after an admit() that
    // waits and every 5 ms.
    virtual std::vector<OutgoingBorrowRequest> collectRequests(TimePoint now) = 0;

    // Handles an owner's reply. Late, repeated and unknown replies are harmless.
    virtual std::vector<CompletedAdmission> receive(const VmId& owner, const BorrowReply&, TimePoint now) = 0;

    // Refuses the requests that have waited until their deadline. Must be called every 5 ms.
    virtual std::vector<CompletedAdmission> expire(TimePoint now) = 0;

    // Removes a waiting request whose caller has disconnected.
    virtual void cancel(AdmissionTicket) = 0;
};

}
