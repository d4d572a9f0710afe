#pragma once

#include "foxtailtrail/limits/LimitStrategy.h"
#include "foxtailtrail/limits/ShareBorrower.h"
#include "foxtailtrail/server/PeerClient.h"
#include "foxtailtrail/server/Snapshot.h"

#include <boost/fiber/future.hpp>
#include <functional>
#include <map>

namespace foxtail {

// Admits requests on one traffic thread within the fleet-wide limits: runs a ShareBorrower and carries its messages.
class LimitGate {
public:
    // Lends tokens when this VM itself owns a shard. May block the calling fiber.
    using LocalLender = std::function<BorrowReply(const BorrowRequest&)>;
    using LocalReturn = std::function<void(const GiveBack&)>;

    LimitGate(ShareBorrowerSettings, VmId self, VmId borrowerId, uint64_t incarnation, PeerClient&, const SnapshotBoard&, LocalLender,
        LocalReturn);

    // Blocks the calling fiber until the request is admitted. Fails with RateLimited, LimitUnavailable, Overloaded or
    // DeadlineExceeded.
    Result<void> admit(const OrganisationId&, TimePoint deadline);

    // Sends due requests and ends waits. Runs in a fiber until stop().
    void run();

    // Ends run() and gives all tokens back.
    void stop();

private:
    Result<void> admitHalf(const OrganisationId& half, TimePoint deadline);
    void takeOwners();
    void sendDueRequests();
    void exchange(const AddressedBorrow&);
    void settle(const std::vector<SettledAdmission>&);

    VmId self;
    PeerClient& peers;
    const SnapshotBoard& board;
    LocalLender lendLocally;
    LocalReturn returnLocally;
    ShareBorrower borrower;
    uint64_t ownersVersion = 0;
    std::map<AdmissionTicket, boost::fibers::promise<Admission>> waiting;
    bool stopping = false;
};

}
