#include "foxtailtrail/failover/Promotion.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace foxtail {

std::string_view promotionPhaseName(PromotionPhase phase)
{
    constexpr std::array<std::string_view, 6> names { "idle", "fencing", "promoting", "following", "done", "lost" };
    return names[static_cast<size_t>(phase)];
}

Promotion::Promotion(std::string promoter, PromotionSettings settings)
    : promoterName(std::move(promoter))
    , settings(settings)
{
}

bool Promotion::isRunning() const
{
    return this->currentPhase != PromotionPhase::Idle && this->currentPhase != PromotionPhase::Done
        && this->currentPhase != PromotionPhase::Lost;
}

std::optional<BackendServerId> Promotion::primary() const { return this->isSuccessorPromoted ? this->chosenSuccessor : std::nullopt; }

std::vector<PromotionEffect> Promotion::start(const PromotionRequest& newRequest, TimePoint now)
{
    if (newRequest.members.empty() || !this->hasStartDelayElapsed(newRequest, now) || this->isRunning() || now < this->nextStartAt)
        return {};
    // The request may be based on statuses that were read before this object's own promotion ended.
    if (this->currentPhase == PromotionPhase::Done && newRequest.highestTerm < this->currentTerm)
        return {};
    this->request = newRequest;
    this->highestSeenTerm = std::max(this->highestSeenTerm, newRequest.highestTerm);
    this->restartsLeft = this->settings.maximumRestarts;
    this->beginTerm(now);
    return this->dueEffects(now);
}

bool Promotion::hasStartDelayElapsed(const PromotionRequest& incomingRequest, TimePoint now)
{
    if (incomingRequest.highestTerm != this->requestedTerm || this->lastRequestedAt + this->settings.requestLifetime < now) {
        this->requestedTerm = incomingRequest.highestTerm;
        this->firstRequestedAt = now;
    }
    this->lastRequestedAt = now;
    const Duration delayPerRank = incomingRequest.successor ? this->settings.plannedDelayPerRank : this->settings.backoffDelayPerRank;
    return this->firstRequestedAt + delayPerRank * incomingRequest.rendezvousRank <= now;
}

std::vector<PromotionEffect> Promotion::handle(const PromotionEvent& event, TimePoint now)
{
    if (!this->isRunning())
        return {};
    std::visit([&](const auto& typed) { this->apply(typed, now); }, event);
    this->advance(now);
    return this->dueEffects(now);
}

void Promotion::apply(const CommandReply& reply, TimePoint now)
{
    Member* member = this->find(reply.server);
    if (!member || reply.term != this->currentTerm)
        return;
    if (reply.outcome != CommandOutcome::Done)
        member->nextCommandAt = now + this->settings.retryDelay;
    switch (reply.command) {
    case PromotionCommand::Fence:
        this->applyFence(*member, reply);
        break;
    case PromotionCommand::Promote:
        if (reply.outcome == CommandOutcome::Done && member->server == this->chosenSuccessor)
            this->isSuccessorPromoted = true;
        break;
    case PromotionCommand::Follow:
        member->isFollowing = member->isFollowing || reply.outcome == CommandOutcome::Done;
        break;
    }
    // The status shows why a command was refused. Without one, it is read before the command is repeated.
    member->wasRefused = reply.outcome == CommandOutcome::Refused;
    // Another promoter has started, so waiting for servers that do not answer would only delay the promoter that can win.
    if (member->wasRefused && this->currentPhase == PromotionPhase::Fencing)
        this->phaseDeadline = std::min(this->phaseDeadline, now + this->settings.replyTimeout);
    if (reply.status)
        this->applyStatus(*member, *reply.status, now);
}

void Promotion::applyFence(Member& member, const CommandReply& reply)
{
    if (reply.outcome != CommandOutcome::Done)
        return;
    member.isFenced = true;
    // The log that is read after the fence took effect cannot grow before the server follows a new primary.
    if (reply.status && reply.status->promisedTerm == this->currentTerm && !member.fencedLogPoint)
        member.fencedLogPoint = reply.status->logPoint();
    member.nextCommandAt = TimePoint();
}

void Promotion::apply(const StatusReply& reply, TimePoint now)
{
    Member* member = this->find(reply.server);
    if (!member)
        return;
    member->nextCommandAt = now + this->settings.retryDelay;
    if (!reply.status)
        return;
    if (member->isFenced && !member->fencedLogPoint && reply.status->promisedTerm == this->currentTerm)
        member->fencedLogPoint = reply.status->logPoint();
    // The refusal stands when the server has promised this term to another promoter. After any other cause the command is
    // repeated.
    member->wasRefused
        = this->currentPhase == PromotionPhase::Fencing && !member->isFenced && reply.status->promisedTerm >= this->currentTerm;
    this->applyStatus(*member, *reply.status, now);
}

void Promotion::applyStatus(Member& member, const ServerStatus& status, TimePoint now)
{
    this->highestSeenTerm = std::max({ this->highestSeenTerm, status.promisedTerm, status.logTerm });
    if (status.promisedTerm > this->currentTerm) {
        this->lose(now, this->request.rendezvousRank + 1);
        return;
    }
    // The promote command took effect although its reply was lost.
    if (member.server == this->chosenSuccessor && status.role == ServerRole::Primary && status.isInTerm(this->currentTerm))
        this->isSuccessorPromoted = true;
}

void Promotion::beginTerm(TimePoint now)
{
    this->currentTerm = Term { std::max(this->highestSeenTerm, this->currentTerm).value + 1 };
    this->chosenSuccessor.reset();
    this->isSuccessorPromoted = this->isPrimaryHintRecorded = false;
    this->members.clear();
    for (const PromotionMember& member : this->request.members)
        this->members.push_back({ member.server, member.isDraining, false, false, false, std::nullopt, now });
    this->enterPhase(PromotionPhase::Fencing, this->settings.fencingTimeout, now);
}

void Promotion::enterPhase(PromotionPhase phase, Duration timeout, TimePoint now)
{
    this->currentPhase = phase;
    this->phaseDeadline = now + timeout;
    for (Member& member : this->members) {
        member.nextCommandAt = now;
        member.wasRefused = false;
    }
}

void Promotion::advance(TimePoint now)
{
    if (this->currentPhase == PromotionPhase::Fencing)
        this->advanceFencing(now);
    if (this->currentPhase == PromotionPhase::Promoting)
        this->advancePromoting(now);
    if (this->currentPhase == PromotionPhase::Following)
        this->advanceFollowing(now);
}

void Promotion::advanceFencing(TimePoint now)
{
    const auto unavailableCount = static_cast<size_t>(std::count_if(this->members.begin(), this->members.end(),
        [this](const Member& member) { return (member.wasRefused && !member.isFenced) || member.server == this->request.leavingPrimary; }));
    const auto fencedCount = static_cast<size_t>(
        std::count_if(this->members.begin(), this->members.end(), [](const Member& member) { return member.fencedLogPoint.has_value(); }));
    if (fencedCount >= this->majority()) {
        // The choice is final for this term: a fence that succeeds later must not lead to a second primary.
        const auto best = std::max_element(this->members.begin(), this->members.end(),
            [this](const Member& left, const Member& right) { return this->isBetterSuccessor(right, left); });
        this->chosenSuccessor = best->server;
        this->enterPhase(PromotionPhase::Promoting, this->settings.promotingTimeout, now);
    } else if (unavailableCount > this->members.size() - this->majority() || now >= this->phaseDeadline) {
        this->lose(now, this->request.rendezvousRank);
    }
}

bool Promotion::isBetterSuccessor(const Member& candidate, const Member& other) const
{
    if (candidate.fencedLogPoint != other.fencedLogPoint)
        return candidate.fencedLogPoint > other.fencedLogPoint;
    if (candidate.isDraining != other.isDraining)
        return other.isDraining;
    return candidate.server == this->request.successor && other.server != this->request.successor;
}

void Promotion::advancePromoting(TimePoint now)
{
    if (this->isSuccessorPromoted) {
        this->enterPhase(PromotionPhase::Following, this->settings.followingTimeout, now);
        return;
    }
    if (now < this->phaseDeadline)
        return;
    // The chosen server may already be the primary, so another one can be chosen only in a higher term.
    if (this->restartsLeft == 0) {
        this->lose(now, this->request.rendezvousRank);
        return;
    }
    --this->restartsLeft;
    this->request.leavingPrimary.reset();
    this->beginTerm(now);
}

void Promotion::advanceFollowing(TimePoint now)
{
    const bool allFollow = std::all_of(this->members.begin(), this->members.end(),
        [this](const Member& member) { return member.isFollowing || member.server == this->chosenSuccessor; });
    // GroupMonitor sends the follow command to servers that come back later.
    if (allFollow || now >= this->phaseDeadline) {
        this->currentPhase = PromotionPhase::Done;
        this->consecutiveLosses = 0;
    }
}

void Promotion::lose(TimePoint now, unsigned backoffSteps)
{
    if (!this->isRunning())
        return;
    this->currentPhase = PromotionPhase::Lost;
    this->nextStartAt = now + this->settings.backoffDelayPerRank * backoffSteps;
    if (++this->consecutiveLosses > 1) {
        const auto jitterRange = static_cast<uint64_t>((this->settings.backoffJitter * this->consecutiveLosses).count());
        const uint64_t hash = stableHash(this->promoterName + "/" + std::to_string(this->currentTerm.value));
        this->nextStartAt += Duration(static_cast<int64_t>(hash % jitterRange));
    }
}

std::vector<PromotionEffect> Promotion::dueEffects(TimePoint now)
{
    std::vector<PromotionEffect> effects;
    if (this->isSuccessorPromoted && !this->isPrimaryHintRecorded && this->currentPhase != PromotionPhase::Lost) {
        this->isPrimaryHintRecorded = true;
        effects.emplace_back(RecordPrimaryHint { this->currentTerm, *this->chosenSuccessor });
    }
    if (this->currentPhase == PromotionPhase::Lost)
        effects.emplace_back(WaitUntil { this->nextStartAt });
    if (!this->isRunning())
        return effects;
    TimePoint next = this->phaseDeadline;
    for (Member& member : this->members) {
        if (!this->needsCommand(member))
            continue;
        if (member.nextCommandAt <= now) {
            this->addCommand(member, effects);
            member.nextCommandAt = now + this->settings.replyTimeout;
        }
        next = std::min(next, member.nextCommandAt);
    }
    effects.emplace_back(WaitUntil { next });
    return effects;
}

bool Promotion::needsCommand(const Member& member) const
{
    switch (this->currentPhase) {
    case PromotionPhase::Fencing:
        return !member.fencedLogPoint && member.server != this->request.leavingPrimary;
    case PromotionPhase::Promoting:
        return member.server == this->chosenSuccessor;
    case PromotionPhase::Following:
        return member.server != this->chosenSuccessor && !member.isFollowing;
    default:
        return false;
    }
}

void Promotion::addCommand(const Member& member, std::vector<PromotionEffect>& effects) const
{
    const bool isFencing = this->currentPhase == PromotionPhase::Fencing;
    if (member.wasRefused || (isFencing && member.isFenced)) {
        effects.emplace_back(ReadStatus { member.server });
    } else if (isFencing) {
        effects.emplace_back(FenceServer { member.server, this->currentTerm });
    } else if (this->currentPhase == PromotionPhase::Promoting) {
        effects.emplace_back(PromoteServer { member.server, this->currentTerm });
    } else {
        effects.emplace_back(FollowPrimary { member.server, this->currentTerm, *this->chosenSuccessor });
    }
}

Promotion::Member* Promotion::find(const BackendServerId& server)
{
    const auto found
        = std::find_if(this->members.begin(), this->members.end(), [&](const Member& member) { return member.server == server; });
    return found == this->members.end() ? nullptr : &*found;
}

}
