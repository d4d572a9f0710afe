#include "foxtailtrail/scheduling/HomeClaim.h"

#include <algorithm>

namespace foxtail {

HomeClaim::HomeClaim(HomeClaimSettings chosen, VmId ownId)
    : settings(chosen)
    , self(std::move(ownId))
{
}

HomeClaimAction HomeClaim::read(TimePoint now)
{
    this->currentState = HomeClaimState::Reading;
    this->deadline = now + this->settings.answerTimeout;
    return HomeClaimAction::Read;
}

HomeClaimAction HomeClaim::pause(Duration length, TimePoint now)
{
    this->currentState = HomeClaimState::Pausing;
    this->deadline = now + length;
    return HomeClaimAction::None;
}

HomeClaimAction HomeClaim::lose(TimePoint now)
{
    constexpr uint32_t mostDoublings = 10;
    if (this->isHeld() && now >= this->heldSince + this->settings.settledAfter)
        this->losses = 0;
    const Duration length
        = std::min(this->settings.longestLossPause, this->settings.lossPause * (1 << std::min(this->losses, mostDoublings)));
    ++this->losses;
    this->pause(length, now);
    return HomeClaimAction::StandDown;
}

HomeClaimAction HomeClaim::want(TimePoint now)
{
    return this->currentState == HomeClaimState::Idle ? this->read(now) : HomeClaimAction::None;
}

HomeClaimAction HomeClaim::resign()
{
    const bool wasIdle = this->currentState == HomeClaimState::Idle;
    this->currentState = HomeClaimState::Idle;
    this->losses = 0;
    return wasIdle ? HomeClaimAction::None : HomeClaimAction::StandDown;
}

HomeClaimAction HomeClaim::claimRead(const ServerClaim& claim, TimePoint now)
{
    if (this->currentState != HomeClaimState::Reading)
        return HomeClaimAction::None;
    this->readClaim = claim;
    this->claimedEpoch = claim.epoch + 1;
    this->currentState = HomeClaimState::Claiming;
    this->deadline = now + this->settings.answerTimeout;
    return HomeClaimAction::Claim;
}

HomeClaimAction HomeClaim::readFailed(TimePoint now)
{
    return this->currentState == HomeClaimState::Reading ? this->pause(this->settings.retryPause, now) : HomeClaimAction::None;
}

HomeClaimAction HomeClaim::claimAnswered(uint64_t epoch, ClaimAnswer answer, TimePoint now)
{
    if (this->currentState != HomeClaimState::Claiming || epoch != this->claimedEpoch)
        return HomeClaimAction::None;
    if (answer == ClaimAnswer::Lost)
        return this->pause(this->settings.retryPause, now);
    if (answer == ClaimAnswer::Refused)
        return this->lose(now);
    this->currentState = HomeClaimState::Held;
    this->heldSince = now;
    return HomeClaimAction::OpenPool;
}

HomeClaimAction HomeClaim::epochLost(uint64_t epoch, TimePoint now)
{
    return this->isHeld() && epoch == this->claimedEpoch ? this->lose(now) : HomeClaimAction::None;
}

HomeClaimAction HomeClaim::tick(TimePoint now)
{
    if (now < this->deadline)
        return HomeClaimAction::None;
    switch (this->currentState) {
    case HomeClaimState::Reading:
    case HomeClaimState::Claiming:
        return this->pause(this->settings.retryPause, now);
    case HomeClaimState::Pausing:
        return this->read(now);
    case HomeClaimState::Idle:
    case HomeClaimState::Held:
        break;
    }
    return HomeClaimAction::None;
}

}
