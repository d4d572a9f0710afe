#include "foxtailtrail/server/RateLimiter.h"

#include "foxtailtrail/limits/LimitHalves.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/LoanCodec.h"

namespace foxtail {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    // Timeout of a call to the owner of a shard; covers several round trips to the other region.
    constexpr Duration callTimeout = std::chrono::milliseconds(200);

    Result<void> outcomeOf(const Admission& admission)
    {
        if (admission.state == AdmissionState::Admitted)
            return succeed();
        return fail(admission.refusalReason);
    }

}

RateLimiter::RateLimiter(TokenBorrowerSettings settings, VmId self, VmId borrowerId, uint64_t incarnation, PeerClient& peers,
    const SnapshotHolder& snapshotHolder, LocalLender lendLocally, LocalLoanReturn returnLocally)
    : self(std::move(self))
    , peers(peers)
    , snapshots(snapshotHolder)
    , lendLocally(std::move(lendLocally))
    , returnLocally(std::move(returnLocally))
    , borrower(settings, std::move(borrowerId), incarnation)
{
}

Result<void> RateLimiter::admit(const OrganisationId& organisation, TimePoint deadline)
{
    this->updateOwners();
    const std::array<OrganisationId, limitHalfCount> halves = limitHalfIds(organisation);
    const TimePoint start = now();
    const bool prefersSecondHalf = this->borrower.tokensHeld(halves[1], start) > this->borrower.tokensHeld(halves[0], start);
    Result<void> first = this->admitHalf(halves[prefersSecondHalf ? 1 : 0], deadline);
    if (first || now() >= deadline)
        return first;
    Result<void> second = this->admitHalf(halves[prefersSecondHalf ? 0 : 1], deadline);
    // RateLimited takes precedence over the error of the first half, because it tells the caller to slow down.
    return second || second.error().kind == ErrorKind::RateLimited ? second : first;
}

Result<void> RateLimiter::admitHalf(const OrganisationId& half, TimePoint deadline)
{
    const Admission admission = this->borrower.admit(half, deadline, now());
    if (admission.state != AdmissionState::Waiting) {
        this->sendDueRequests();
        return outcomeOf(admission);
    }
    auto future = this->pendingAdmissions[admission.ticket].get_future();
    this->sendDueRequests();
    return outcomeOf(future.get());
}

void RateLimiter::updateOwners()
{
    const auto snapshot = this->snapshots.current();
    if (!snapshot->configuration || snapshot->configuration->version == this->ownersVersion)
        return;
    this->ownersVersion = snapshot->configuration->version;
    this->borrower.setOwners(snapshot->configuration->limitShards);
}

void RateLimiter::sendDueRequests()
{
    for (OutgoingBorrowRequest& due : this->borrower.collectRequests(now()))
        startFiber([this, due = std::move(due)] { this->sendBorrowRequest(due); });
}

void RateLimiter::sendBorrowRequest(const OutgoingBorrowRequest& due)
{
    if (due.owner == this->self) {
        this->completeAdmissions(this->borrower.receive(due.owner, this->lendLocally(due.request), now()));
        return;
    }
    const auto snapshot = this->snapshots.current();
    const LiveVm* owner = snapshot->findVm(due.owner);
    if (!owner)
        return;
    const Result<json::object> response
        = this->peers.call(owner->peerEndpoint, TrafficPurpose::Lending, "borrow", encodeBorrowRequest(due.request), now() + callTimeout);
    if (!response)
        return;
    const Result<BorrowReply> reply = decodeBorrowReply(response.value());
    if (reply)
        this->completeAdmissions(this->borrower.receive(due.owner, reply.value(), now()));
}

void RateLimiter::completeAdmissions(const std::vector<CompletedAdmission>& completed)
{
    for (const CompletedAdmission& entry : completed) {
        const auto waiter = this->pendingAdmissions.find(entry.ticket);
        if (waiter == this->pendingAdmissions.end())
            continue;
        waiter->second.set_value(entry.admission);
        this->pendingAdmissions.erase(waiter);
    }
}

void RateLimiter::run()
{
    while (!this->isStopping) {
        this->updateOwners();
        this->sendDueRequests();
        this->completeAdmissions(this->borrower.expire(now()));
        sleepFor(tickInterval);
    }
}

void RateLimiter::stop()
{
    this->isStopping = true;
    const auto snapshot = this->snapshots.current();
    for (const OutgoingLoanReturn& due : this->borrower.returnAllLoans(now())) {
        if (due.owner == this->self)
            this->returnLocally(due.message);
        else if (const LiveVm* owner = snapshot->findVm(due.owner))
            (void)this->peers.call(
                owner->peerEndpoint, TrafficPurpose::Lending, "giveBack", encodeLoanReturn(due.message), now() + callTimeout);
    }
}

}
