#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/failover/DutyTurn.h"
#include "foxtailtrail/failover/SuccessionPlan.h"
#include "foxtailtrail/proxy/ServerCommands.h"
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

private:
    class Case;
    struct Progress {
        bool running = false;
        TimePoint quietUntil {};
    };
    // Takes a turn, or says why not.
    std::optional<HeldTurn> claim();
    void endTurn(const HeldTurn&);

    SessionProxy& proxy;
    SharedStore& store;
    PromotionOrders& orders;
    Rank rank;
    Refresh refresh;
    std::map<ServiceName, Progress> progress;
};

}
