#include "foxtailtrail/scheduling/RelayTrials.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Time from the loss of a relay to the first trial. The time to the next trial doubles with each failure, up to maxDoublings times; a
    // restart takes one to four seconds.
    constexpr Duration initialTrialDelay = std::chrono::milliseconds(500);
    constexpr unsigned maxDoublings = 2;
    // A VM that announces its stop exits within its grace period, and its successor process has started within this time.
    constexpr Duration stoppingTrialDelay = std::chrono::seconds(6);

}

void RelayTrials::recordLoss(const VmId& vm, bool isStopping, TimePoint now)
{
    this->lostRelays[vm] = LostRelay { now + (isStopping ? stoppingTrialDelay : initialTrialDelay), 0 };
}

void RelayTrials::recordFailure(const VmId& vm, TimePoint now)
{
    const auto found = this->lostRelays.find(vm);
    if (found == this->lostRelays.end())
        return;
    LostRelay& relay = found->second;
    relay.failedTrials = std::min(relay.failedTrials + 1, maxDoublings);
    relay.nextTrialAt = now + initialTrialDelay * (1 << relay.failedTrials);
}

std::vector<VmId> RelayTrials::takeDueTrials(TimePoint now)
{
    std::vector<VmId> due;
    for (auto& [vm, relay] : this->lostRelays) {
        if (relay.nextTrialAt > now)
            continue;
        relay.nextTrialAt = TimePoint::max();
        due.push_back(vm);
    }
    return due;
}

std::vector<VmId> RelayTrials::excludedRelays() const
{
    std::vector<VmId> excluded;
    excluded.reserve(this->lostRelays.size());
    for (const auto& [vm, relay] : this->lostRelays)
        excluded.push_back(vm);
    return excluded;
}

}
