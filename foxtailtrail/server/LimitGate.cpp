#include "foxtailtrail/server/LimitGate.h"

#include "foxtailtrail/limits/LimitHalves.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/ShareCodec.h"

namespace foxtail {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    // The longest time for a call to the owner of a shard: several round trips to the other region.
    constexpr Duration callTimeout = std::chrono::milliseconds(200);

    Result<void> outcomeOf(const Admission& admission)
    {
        if (admission.state == AdmissionState::Admitted)
            return succeed();
        return fail(admission.refusal);
    }

}

LimitGate::LimitGate(ShareBorrowerSettings settings, VmId self, VmId borrowerId, uint64_t incarnation, PeerClient& peers,
    const SnapshotBoard& board, LocalLender lendLocally, LocalReturn returnLocally)
    : self(std::move(self))
    , peers(peers)
    , board(board)
    , lendLocally(std::move(lendLocally))
    , returnLocally(std::move(returnLocally))
    , borrower(settings, std::move(borrowerId), incarnation)
{
}

Result<void> LimitGate::admit(const OrganisationId& organisation, TimePoint deadline)
{
    this->takeOwners();
    const std::array<OrganisationId, limitHalfCount> halves = limitHalvesOf(organisation);
    const TimePoint start = now();
    const bool swap = this->borrower.tokensHeld(halves[1], start) > this->borrower.tokensHeld(halves[0], start);
    Result<void> first = this->admitHalf(halves[swap ? 1 : 0], deadline);
    if (first || now() >= deadline)
        return first;
    Result<void> second = this->admitHalf(halves[swap ? 0 : 1], deadline);
    // Over the rate says more than not available: the caller should slow down.
    return second || second.error().kind == ErrorKind::RateLimited ? second : first;
}

Result<void> LimitGate::admitHalf(const OrganisationId& half, TimePoint deadline)
{
    const Admission admission = this->borrower.admit(half, deadline, now());
    if (admission.state != AdmissionState::Waiting) {
        this->sendDueRequests();
        return outcomeOf(admission);
    }
    auto future = this->waiting[admission.ticket].get_future();
    this->sendDueRequests();
    return outcomeOf(future.get());
}

void LimitGate::takeOwners()
{
    const auto snapshot = this->board.current();
    if (!snapshot->configuration || snapshot->configuration->version == this->ownersVersion)
        return;
    this->ownersVersion = snapshot->configuration->version;
    this->borrower.setOwners(snapshot->configuration->limitShards);
}

void LimitGate::sendDueRequests()
{
    for (AddressedBorrow& due : this->borrower.takeRequests(now()))
        startFiber([this, due = std::move(due)] { this->exchange(due); });
}

void LimitGate::exchange(const AddressedBorrow& due)
{
    if (due.owner == this->self) {
        this->settle(this->borrower.receive(due.owner, this->lendLocally(due.request), now()));
        return;
    }
    const auto snapshot = this->board.current();
    const LiveVm* owner = snapshot->find(due.owner);
    if (!owner)
        return;
    const Result<json::object> answer
        = this->peers.call(owner->peerEndpoint, TrafficPurpose::Lending, "borrow", encodeBorrowRequest(due.request), now() + callTimeout);
    if (!answer)
        return;
    const Result<BorrowReply> reply = decodeBorrowReply(answer.value());
    if (reply)
        this->settle(this->borrower.receive(due.owner, reply.value(), now()));
}

void LimitGate::settle(const std::vector<SettledAdmission>& settled)
{
    for (const SettledAdmission& entry : settled) {
        const auto waiter = this->waiting.find(entry.ticket);
        if (waiter == this->waiting.end())
            continue;
        waiter->second.set_value(entry.admission);
        this->waiting.erase(waiter);
    }
}

void LimitGate::run()
{
    while (!this->stopping) {
        this->takeOwners();
        this->sendDueRequests();
        this->settle(this->borrower.expire(now()));
        sleepFor(tickInterval);
    }
}

void LimitGate::stop()
{
    this->stopping = true;
    const auto snapshot = this->board.current();
    for (const AddressedGiveBack& due : this->borrower.giveBackAll(now())) {
        if (due.owner == this->self)
            this->returnLocally(due.message);
        else if (const LiveVm* owner = snapshot->find(due.owner))
            (void)this->peers.call(
                owner->peerEndpoint, TrafficPurpose::Lending, "giveBack", encodeGiveBack(due.message), now() + callTimeout);
    }
}

}
