#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/failover/PromotionLock.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/SharedStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace foxtail {

// Examines groups whose primary is in doubt and replaces the primary where needed. The VM that promotes holds a turn, a row of
// the store that is claimed under a condition; its number fences the order. Each examination runs in a fiber of its own.
class PromotionCoordinator {
public:
    // The place of this VM in the order of those that examine a group.
    using RendezvousRank = std::function<size_t(std::string_view key)>;

    // Reads the records of promotions from the store.
    using DirectoryRefresh = std::function<Result<void>()>;

    PromotionCoordinator(SessionProxy&, SharedStore&, PromotionOrders&, RendezvousRank, DirectoryRefresh);

    // Starts an examination unless one is under way or has just ended.
    void examine(const ServiceName&, std::string_view reason);

    // Takes a turn, or says in the log why not. Blocks the calling fiber.
    std::optional<HeldPromotionLock> acquireLock();
    // Ends a turn early, so that the next one need not wait.
    void releaseLock(const HeldPromotionLock&);
    // Reads the records of promotions.
    Result<void> refreshDirectory() { return this->refresh(); }
    SessionProxy& sessionProxy() { return this->proxy; }
    SharedStore& sharedStore() { return this->store; }
    PromotionOrders& promotionOrders() { return this->orders; }

private:
    struct ExaminationState {
        bool isRunning = false;
        TimePoint nextExaminationAt {};
    };

    SessionProxy& proxy;
    SharedStore& store;
    PromotionOrders& orders;
    RendezvousRank rank;
    DirectoryRefresh refresh;
    std::map<ServiceName, ExaminationState> examinations;
};

}
