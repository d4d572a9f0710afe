#include "foxtailtrail/limits/ShareBorrower.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    uint32_t heldTokens(const auto& loans, TimePoint now)
    {
        uint32_t total = 0;
        for (const auto& loan : loans)
            total += now < loan.lapsesAt ? loan.tokens : 0;
        return total;
    }

    // Pending requests are kept for as long as their answer could still bring usable tokens.
    constexpr Duration pendingLife = std::chrono::seconds(1);

}

ShareBorrowerSettings centralBucketSettings()
{
    ShareBorrowerSettings settings;
    settings.borrowAhead = Duration(0);
    return settings;
}

ShareBorrower::ShareBorrower(ShareBorrowerSettings chosen, VmId ownId, uint64_t ownIncarnation)
    : settings(chosen)
    , self(std::move(ownId))
    , incarnation(ownIncarnation)
{
}

void ShareBorrower::setOwners(const std::map<uint32_t, LimitShardOwner>& newOwners)
{
    for (auto& [organisation, account] : this->accounts) {
        const auto before = this->owners.find(account.shard);
        const auto after = newOwners.find(account.shard);
        const bool isSame = before != this->owners.end() && after != newOwners.end() && before->second.epoch == after->second.epoch;
        if (isSame)
            continue;
        // A new owner starts with a clean record, and answers of the old one are not waited for.
        account.inFlight.reset();
        account.silentSince.reset();
        account.answeredAt.reset();
        account.closed.clear();
        account.askFrom = {};
        account.exhaustedUntil = {};
        account.notReadyUntil = {};
    }
    this->owners = newOwners;
}

ShareBorrower::Account& ShareBorrower::accountOf(const OrganisationId& organisation, TimePoint now)
{
    const auto [entry, isNew] = this->accounts.try_emplace(organisation);
    if (isNew) {
        entry->second.shard = limitShardOf(organisation);
        entry->second.demandAt = now;
    }
    return entry->second;
}

// The demand is an exponential average, so it needs no timer.
double ShareBorrower::demandNow(const Account& account, TimePoint now) const
{
    return account.demand * std::exp(-seconds(now - account.demandAt) / seconds(this->settings.demandAverage));
}

double ShareBorrower::aheadTarget(const Account& account, TimePoint now) const
{
    const double target = this->demandNow(account, now) * seconds(this->settings.borrowAhead);
    return target >= this->settings.minimumAhead ? std::ceil(target) : 0;
}

uint32_t ShareBorrower::wantedTokens(const Account& account, TimePoint now) const
{
    const double held = heldTokens(account.loans, now);
    const double target = this->aheadTarget(account, now);
    const double ahead = held <= target / 2 ? target - held : 0;
    // An organisation whose requests are refused at once still needs tokens for the next ones.
    const double atLeast = account.wasRefused && held == 0 ? 1 : 0;
    const double wanted = static_cast<double>(account.waiting.size()) + std::max(ahead, atLeast);
    return static_cast<uint32_t>(std::min(wanted, static_cast<double>(maximumTokensPerLoan)));
}

uint32_t ShareBorrower::tokensHeld(const OrganisationId& organisation, TimePoint now) const
{
    const auto found = this->accounts.find(organisation);
    return found == this->accounts.end() ? 0 : heldTokens(found->second.loans, now);
}

bool ShareBorrower::isLentByOwner(const Account& account, const HeldLoan& loan) const
{
    const auto owner = this->owners.find(account.shard);
    return owner != this->owners.end() && owner->second.vm == loan.lender;
}

bool ShareBorrower::isOwnerSilent(const Account& account, TimePoint now) const
{
    const Duration limit = this->settings.silenceLimit;
    return account.silentSince && now >= *account.silentSince + limit && now < account.askedAt + limit;
}

// Uses the token that lapses first. A loan without tokens is reported as closed with the next request.
bool ShareBorrower::useToken(Account& account, TimePoint now)
{
    while (!account.loans.empty()) {
        HeldLoan& loan = account.loans.front();
        const bool isUsable = now < loan.lapsesAt && loan.tokens > 0;
        if (isUsable && --loan.tokens > 0)
            return true;
        if (isUsable && this->isLentByOwner(account, loan))
            account.closed.push_back({ loan.id, 0 });
        account.loans.pop_front();
        if (account.closed.size() > maximumClosedLoansPerItem)
            account.closed.erase(account.closed.begin());
        if (isUsable)
            return true;
    }
    return false;
}

Admission ShareBorrower::refuse(const OrganisationId& organisation, Account& account, ErrorKind reason)
{
    account.wasRefused = true;
    this->active.insert(organisation);
    return { AdmissionState::Refused, reason, {} };
}

bool ShareBorrower::exceedsExpectedRate(const Account& account, size_t ahead, TimePoint deadline, TimePoint now) const
{
    return static_cast<double>(ahead + 1) > account.expectedRate * seconds(deadline - now);
}

// A reason to refuse a request without waiting, or nothing.
std::optional<ErrorKind> ShareBorrower::immediateRefusal(const Account& account, TimePoint deadline, TimePoint now) const
{
    if (now >= deadline)
        return ErrorKind::DeadlineExceeded;
    if (!this->owners.contains(account.shard))
        return ErrorKind::LimitUnavailable;
    if (this->isOwnerSilent(account, now) || now < account.notReadyUntil)
        return ErrorKind::LimitUnavailable;
    if (now < account.exhaustedUntil && this->exceedsExpectedRate(account, account.waiting.size(), deadline, now))
        return ErrorKind::RateLimited;
    if (account.waiting.size() >= this->settings.maximumWaiting)
        return ErrorKind::Overloaded;
    return std::nullopt;
}

Admission ShareBorrower::admit(const OrganisationId& organisation, TimePoint requestDeadline, TimePoint now)
{
    Account& account = this->accountOf(organisation, now);
    account.demand = this->demandNow(account, now) + 1 / seconds(this->settings.demandAverage);
    account.demandAt = std::max(account.demandAt, now);

    // Requests that came earlier go first.
    if (account.waiting.empty() && this->useToken(account, now)) {
        if (this->wantedTokens(account, now) > 0)
            this->active.insert(organisation);
        return { AdmissionState::Admitted, {}, {} };
    }
    const TimePoint deadline = std::min(requestDeadline, now + this->settings.longestWait);
    if (const auto reason = this->immediateRefusal(account, deadline, now))
        return this->refuse(organisation, account, *reason);
    const AdmissionTicket ticket { ++this->lastTicket };
    account.waiting.push_back({ ticket, now, deadline, requestDeadline <= deadline });
    this->ticketOwners.emplace(ticket, organisation);
    this->active.insert(organisation);
    return { AdmissionState::Waiting, {}, ticket };
}

std::vector<AddressedBorrow> ShareBorrower::takeRequests(TimePoint now)
{
    std::erase_if(this->pending, [&](const auto& entry) { return entry.second.sentAt + pendingLife <= now; });
    std::map<VmId, BorrowRequest> batches;
    for (auto entry = this->active.begin(); entry != this->active.end();) {
        Account& account = this->accounts.at(*entry);
        if (account.inFlight && now >= account.resendAt)
            account.inFlight.reset();
        const uint32_t wanted = this->wantedTokens(account, now);
        if (!account.inFlight && wanted > 0 && now >= account.askFrom)
            this->ask(*entry, account, wanted, now, batches);
        entry = wanted == 0 && !account.inFlight ? this->active.erase(entry) : std::next(entry);
    }
    std::vector<AddressedBorrow> messages;
    for (auto& [owner, request] : batches) {
        PendingRequest sent { owner, now, {} };
        for (const BorrowItem& item : request.items)
            sent.organisations.push_back(item.organisation);
        this->pending.emplace(request.sequence, std::move(sent));
        messages.push_back({ owner, std::move(request) });
    }
    return messages;
}

// Adds one organisation to its owner's message, unless that is full: then the organisation has its turn at the next call.
void ShareBorrower::ask(
    const OrganisationId& organisation, Account& account, uint32_t wanted, TimePoint now, std::map<VmId, BorrowRequest>& batches)
{
    const auto owner = this->owners.find(account.shard);
    if (owner == this->owners.end())
        return;
    BorrowRequest& request = batches[owner->second.vm];
    if (request.items.size() >= maximumItemsPerBorrowMessage)
        return;
    if (request.items.empty()) {
        request.borrower = this->self;
        request.borrowerIncarnation = this->incarnation;
        request.sequence = ++this->lastSequence;
    }
    request.items.push_back({ organisation, owner->second.epoch, wanted, this->demandNow(account, now), std::move(account.closed) });
    account.closed.clear();
    account.inFlight = request.sequence;
    account.resendAt = now + this->settings.resendAfter;
    account.wasRefused = false;
    if (!account.silentSince || now >= account.askedAt + this->settings.silenceLimit)
        account.silentSince = now;
    account.askedAt = now;
}

void ShareBorrower::takeGrant(Account& account, const VmId& owner, const GrantItem& item, TimePoint sentAt, TimePoint now)
{
    if (item.status != GrantStatus::Answered) {
        // A borrower that is not up to date gets the new owner within seconds, so its requests wait.
        account.askFrom = now + this->settings.refusalPause;
        if (item.status == GrantStatus::NotReady)
            account.notReadyUntil = now + this->settings.notReadyLife;
        account.silentSince.reset();
        return;
    }
    account.answeredAt = now;
    account.silentSince.reset();
    account.notReadyUntil = {};
    if (item.tokens > 0) {
        const HeldLoan loan { item.loan, owner, item.tokens, sentAt + item.life };
        const auto place = std::upper_bound(account.loans.begin(), account.loans.end(), loan,
            [](const HeldLoan& left, const HeldLoan& right) { return left.lapsesAt < right.lapsesAt; });
        account.loans.insert(place, loan);
    }
    account.expectedRate = item.expectedRate;
    account.exhaustedUntil = item.exhausted ? now + this->settings.exhaustedLife : TimePoint {};
    account.askFrom = item.exhausted ? now + item.askAgainAfter : TimePoint {};
}

std::vector<SettledAdmission> ShareBorrower::receive(const VmId& owner, const BorrowReply& reply, TimePoint now)
{
    std::vector<SettledAdmission> settled;
    const auto found = this->pending.find(reply.sequence);
    if (found == this->pending.end() || found->second.owner != owner)
        return settled;
    const PendingRequest request = std::move(found->second);
    this->pending.erase(found);
    for (const OrganisationId& organisation : request.organisations) {
        Account& account = this->accounts.at(organisation);
        if (account.inFlight == reply.sequence)
            account.inFlight.reset();
        const auto item = std::find_if(
            reply.items.begin(), reply.items.end(), [&](const GrantItem& candidate) { return candidate.organisation == organisation; });
        if (item != reply.items.end())
            this->takeGrant(account, owner, *item, request.sentAt, now);
        this->settle(account, now, settled);
        this->active.insert(organisation);
    }
    return settled;
}

// Admits waiting requests in order, then refuses those that the expected rate cannot serve in their time.
void ShareBorrower::settle(Account& account, TimePoint now, std::vector<SettledAdmission>& settled)
{
    while (!account.waiting.empty() && this->useToken(account, now)) {
        settled.push_back({ account.waiting.front().ticket, { AdmissionState::Admitted, {}, {} } });
        this->ticketOwners.erase(account.waiting.front().ticket);
        account.waiting.pop_front();
    }
    if (now >= account.exhaustedUntil)
        return;
    std::deque<Waiter> kept;
    for (const Waiter& waiter : account.waiting) {
        if (!this->exceedsExpectedRate(account, kept.size(), waiter.deadline, now)) {
            kept.push_back(waiter);
            continue;
        }
        settled.push_back({ waiter.ticket, { AdmissionState::Refused, ErrorKind::RateLimited, {} } });
        this->ticketOwners.erase(waiter.ticket);
        account.wasRefused = true;
    }
    account.waiting = std::move(kept);
}

// An owner that answered while the request waited had no tokens; otherwise the owner could not be asked.
ErrorKind ShareBorrower::reasonAfterWait(const Account& account, const Waiter& waiter) const
{
    if (waiter.isRequestDeadline)
        return ErrorKind::DeadlineExceeded;
    const bool wasAnswered = account.answeredAt && *account.answeredAt >= waiter.since;
    return wasAnswered ? ErrorKind::RateLimited : ErrorKind::LimitUnavailable;
}

std::vector<SettledAdmission> ShareBorrower::expire(TimePoint now)
{
    std::vector<SettledAdmission> settled;
    for (const OrganisationId& organisation : this->active) {
        Account& account = this->accounts.at(organisation);
        std::erase_if(account.waiting, [&](const Waiter& waiter) {
            if (now < waiter.deadline)
                return false;
            settled.push_back({ waiter.ticket, { AdmissionState::Refused, this->reasonAfterWait(account, waiter), {} } });
            this->ticketOwners.erase(waiter.ticket);
            return true;
        });
    }
    return settled;
}

void ShareBorrower::cancel(AdmissionTicket ticket)
{
    const auto found = this->ticketOwners.find(ticket);
    if (found == this->ticketOwners.end())
        return;
    std::erase_if(this->accounts.at(found->second).waiting, [&](const Waiter& waiter) { return waiter.ticket == ticket; });
    this->ticketOwners.erase(found);
}

std::vector<AddressedGiveBack> ShareBorrower::giveBackAll(TimePoint now)
{
    std::map<VmId, GiveBack> messages;
    for (auto& [organisation, account] : this->accounts) {
        for (const HeldLoan& loan : account.loans) {
            GiveBack& message = messages[loan.lender];
            if (now < loan.lapsesAt && message.items.size() < maximumItemsPerBorrowMessage)
                message.items.push_back({ organisation, { loan.id, loan.tokens } });
        }
        account.loans.clear();
    }
    std::vector<AddressedGiveBack> addressed;
    for (auto& [owner, message] : messages) {
        message.borrower = this->self;
        addressed.push_back({ owner, std::move(message) });
    }
    return addressed;
}

}
