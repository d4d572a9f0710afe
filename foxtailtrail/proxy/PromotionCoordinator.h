#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/failover/PromotionLock.h"
#include "foxtailtrail/membership/ServerListCompleteness.h"
#include "foxtailtrail/proxy/FleetInquiry.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/SharedStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace foxtail {

// Examines groups whose primary may have failed and replaces the primary when needed. The VM that promotes holds the promotion lock, a row
// of the store that is written under a precondition; its fencing token accompanies the promotion order. Each examination runs in a separate
// fiber.
class PromotionCoordinator {
public:
    // Returns the rank of this VM in the rendezvous order of a group.
    using RendezvousRank = std::function<size_t(std::string_view key)>;

    // Reads the servers and the records of primaries from the store.
    using DirectoryRefresh = std::function<Result<void>()>;

    PromotionCoordinator(
        SessionProxy&, SharedStore&, PromotionOrders&, FleetInquiry&, RendezvousRank, DirectoryRefresh, const ServerListCompleteness&);

    // Starts an examination unless one is running or has just ended.
    void examine(const ServiceName&, std::string_view reason);

    // Creates the lock's record of a new era in the background, as one of the first VMs in the rendezvous order, once the locks of earlier
    // eras have ended.
    void createLockOfEra(uint64_t era);

    // Acquires the promotion lock. Returns an empty optional when it is held by another VM, or, with a log line, when its row cannot be
    // read, decoded or written. Blocks the calling fiber.
    std::optional<HeldPromotionLock> acquireLock();
    // Releases the lock before it expires, so that the next holder need not wait.
    void releaseLock(const HeldPromotionLock&, bool isResumeUnanswered);
    // Returns true while this VM may use the lock.
    bool isUsable(const HeldPromotionLock&) const;
    // Reads the servers and the records of primaries from the store.
    Result<void> refreshDirectory() { return this->refresh(); }
    SessionProxy& sessionProxy() { return this->proxy; }
    SharedStore& sharedStore() { return this->store; }
    PromotionOrders& promotionOrders() { return this->orders; }
    FleetInquiry& fleetInquiry() { return this->inquiry; }
    const ServerListCompleteness& serverListCompleteness() const { return this->listCompleteness; }

private:
    struct ExaminationState {
        bool isRunning = false;
        TimePoint nextExaminationAt {};
    };

    SessionProxy& proxy;
    SharedStore& store;
    PromotionOrders& orders;
    FleetInquiry& inquiry;
    RendezvousRank rank;
    DirectoryRefresh refresh;
    const ServerListCompleteness& listCompleteness;
    std::map<ServiceName, ExaminationState> examinations;
};

}
