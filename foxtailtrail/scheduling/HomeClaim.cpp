#include "foxtailtrail/scheduling/HomeClaim.h"

#include <algorithm>

namespace foxtail {

HomeClaim::HomeClaim(HomeClaimSettings initialSettings, VmId ownId)
    : settings(initialSettings)
    , self(std::move(ownId))
{
}

HomeClaimAction HomeClaim::startRead(TimePoint now)
{
    this->currentState = HomeClaimState::Reading;
    this->deadline = now + this->settings.answerTimeout;
    return HomeClaimAction::Read;
}

HomeClaimAction HomeClaim::backOff(Duration delay, TimePoint now)
{
    this->currentState = HomeClaimState::BackingOff;
    this->deadline = now + delay;
    return HomeClaimAction::None;
}

HomeClaimAction HomeClaim::onClaimLost(TimePoint now)
{
    constexpr uint32_t maxDoublings = 10;
    if (this->isHeld() && now >= this->acquiredAt + this->settings.backoffResetDelay)
        this->consecutiveLosses = 0;
    const Duration delay = std::min(
        this->settings.maxBackoffDelay, this->settings.initialBackoffDelay * (1 << std::min(this->consecutiveLosses, maxDoublings)));
    ++this->consecutiveLosses;
    this->backOff(delay, now);
    return HomeClaimAction::ClosePool;
}

HomeClaimAction HomeClaim::acquire(TimePoint now)
{
    return this->currentState == HomeClaimState::Idle ? this->startRead(now) : HomeClaimAction::None;
}

HomeClaimAction HomeClaim::release()
{
    const bool wasIdle = this->currentState == HomeClaimState::Idle;
    this->currentState = HomeClaimState::Idle;
    this->consecutiveLosses = 0;
    return wasIdle ? HomeClaimAction::None : HomeClaimAction::ClosePool;
}

HomeClaimAction HomeClaim::onClaimRead(const ServerClaim& claim, TimePoint now)
{
    if (this->currentState != HomeClaimState::Reading)
        return HomeClaimAction::None;
    this->serverClaim = claim;
    this->claimedEpoch = claim.epoch + 1;
    this->currentState = HomeClaimState::Claiming;
    this->deadline = now + this->settings.answerTimeout;
    return HomeClaimAction::Claim;
}

HomeClaimAction HomeClaim::onReadFailed(TimePoint now)
{
    return this->currentState == HomeClaimState::Reading ? this->backOff(this->settings.retryDelay, now) : HomeClaimAction::None;
}

HomeClaimAction HomeClaim::onClaimAnswered(uint64_t epoch, ClaimAnswer answer, TimePoint now)
{
    if (this->currentState != HomeClaimState::Claiming || epoch != this->claimedEpoch)
        return HomeClaimAction::None;
    if (answer == ClaimAnswer::NoReply)
        return this->backOff(this->settings.retryDelay, now);
    if (answer == ClaimAnswer::Refused)
        return this->onClaimLost(now);
    this->currentState = HomeClaimState::Held;
    this->acquiredAt = now;
    return HomeClaimAction::OpenPool;
}

HomeClaimAction HomeClaim::onEpochSuperseded(uint64_t epoch, TimePoint now)
{
    return this->isHeld() && epoch == this->claimedEpoch ? this->onClaimLost(now) : HomeClaimAction::None;
}

HomeClaimAction HomeClaim::tick(TimePoint now)
{
    if (now < this->deadline)
        return HomeClaimAction::None;
    switch (this->currentState) {
    case HomeClaimState::Reading:
    case HomeClaimState::Claiming:
        return this->backOff(this->settings.retryDelay, now);
    case HomeClaimState::BackingOff:
        return this->startRead(now);
    case HomeClaimState::Idle:
    case HomeClaimState::Held:
        break;
    }
    return HomeClaimAction::None;
}

}
