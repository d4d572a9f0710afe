#pragma once

#include "foxtailtrail/limits/LimitStrategy.h"
#include "foxtailtrail/limits/TokenBorrower.h"
#include "foxtailtrail/server/ControlSnapshot.h"
#include "foxtailtrail/server/PeerClient.h"

#include <boost/fiber/future.hpp>
#include <functional>
#include <map>

namespace foxtail {

// Admits requests on one traffic thread within the fleet-wide limits: runs a ShareBorrower and carries its messages.
class RateLimiter {
public:
    // Lends tokens when this VM itself owns a shard. May block the calling fiber.
    using LocalLender = std::function<BorrowReply(const BorrowRequest&)>;
    using LocalLoanReturn = std::function<void(const LoanReturn&)>;

    RateLimiter(TokenBorrowerSettings, VmId self, VmId borrowerId, uint64_t incarnation, PeerClient&, const SnapshotHolder&, LocalLender,
        LocalLoanReturn);

    // Blocks the calling fiber until the request is admitted. Fails with RateLimited, LimitUnavailable, Overloaded or
    // DeadlineExceeded.
    Result<void> admit(const OrganisationId&, TimePoint deadline);

    // Sends due requests and ends waits. Runs in a fiber until stop().
    void run();

    // Ends run() and gives all tokens back.
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
