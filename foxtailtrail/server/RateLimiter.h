#pragma once

#include "foxtailtrail/limits/LimitStrategy.h"
#include "foxtailtrail/limits/TokenBorrower.h"
#include "foxtailtrail/server/ControlSnapshot.h"
#include "foxtailtrail/server/PeerClient.h"

#include <boost/fiber/future.hpp>
#include <functional>
#include <map>

namespace foxtail {

// Enforces the fleet-wide rate limits on one traffic thread: runs a TokenBorrower and exchanges its messages with the owners of limit
// shards.
class RateLimiter {
public:
    // Lends tokens of a shard that this VM owns itself. May block the calling fiber.
    using LocalLender = std::function<BorrowReply(const BorrowRequest&)>;
    using LocalLoanReturn = std::function<void(const LoanReturn&)>;

    RateLimiter(TokenBorrowerSettings, VmId self, VmId borrowerId, uint64_t incarnation, PeerClient&, const SnapshotHolder&, LocalLender,
        LocalLoanReturn);

    // Blocks the calling fiber until the request is admitted. Fails with RateLimited, LimitUnavailable, Overloaded or
    // DeadlineExceeded.
    Result<void> admit(const OrganisationId&, TimePoint deadline);

    // Sends due borrow requests and expires waits. Runs in a fiber until stop().
    void run();

    // Ends run() and returns all borrowed tokens.
    void stop();

private:
    Result<void> admitHalf(const OrganisationId& half, TimePoint deadline);
    void updateOwners();
    void sendDueRequests();
    void sendBorrowRequest(const OutgoingBorrowRequest&);
    void completeAdmissions(const std::vector<CompletedAdmission>&);

    VmId self;
    PeerClient& peers;
    const SnapshotHolder& snapshots;
    LocalLender lendLocally;
    LocalLoanReturn returnLocally;
    TokenBorrower borrower;
    uint64_t ownersVersion = 0;
    std::map<AdmissionTicket, boost::fibers::promise<Admission>> pendingAdmissions;
    bool isStopping = false;
};

}
