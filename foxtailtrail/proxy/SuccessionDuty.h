#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/failover/DutyTurn.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/SharedStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace foxtail {

// Examines groups whose primary is in doubt and replaces the primary where needed. The VM that promotes holds a turn, a row of
// the store that is claimed under a condition; its number fences the order. Each examination runs in a fiber of its own.
class SuccessionDuty {
public:
    // The place of this VM in the order of those that examine a group.
    using Rank = std::function<size_t(std::string_view key)>;

    // Reads the records of promotions from the store.
    using Refresh = std::function<Result<void>()>;

    SuccessionDuty(SessionProxy&, SharedStore&, PromotionOrders&, Rank, Refresh);

    // Starts an examination unless one is under way or has just ended.
    void examine(const ServiceName&, std::string_view reason);

    // Takes a turn, or says in the log why not. Blocks the calling fiber.
    std::optional<HeldTurn> claim();
    // Ends a turn early, so that the next one need not wait.
    void endTurn(const HeldTurn&);
    // Reads the records of promotions.
    Result<void> refreshRecords() { return this->refresh(); }
    SessionProxy& sessionProxy() { return this->proxy; }
    SharedStore& sharedStore() { return this->store; }
    PromotionOrders& promotionOrders() { return this->orders; }

private:
    struct Progress {
        bool running = false;
        TimePoint quietUntil {};
    };

    SessionProxy& proxy;
    SharedStore& store;
    PromotionOrders& orders;
    Rank rank;
    Refresh refresh;
    std::map<ServiceName, Progress> progress;
};

}
