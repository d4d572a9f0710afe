#include "foxtailtrail/limits/TokenBorrower.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    uint32_t heldTokens(const auto& loans, TimePoint now)
    {
        uint32_t total = 0;
        for (const auto& loan : loans)
            total += now < loan.expiresAt ? loan.tokens : 0;
        return total;
    }

    // Pending requests are kept for as long as their reply could still bring usable tokens.
    constexpr Duration pendingRequestLifetime = std::chrono::seconds(1);

}

TokenBorrowerSettings centralBucketSettings()
{
    TokenBorrowerSettings settings;
    settings.prefetchInterval = Duration(0);
    return settings;
}

TokenBorrower::TokenBorrower(TokenBorrowerSettings initialSettings, VmId ownId, uint64_t ownIncarnation)
    : settings(initialSettings)
    , self(std::move(ownId))
    , incarnation(ownIncarnation)
{
}

void TokenBorrower::setOwners(const std::map<uint32_t, LimitShardOwner>& newOwners)
{
    for (auto& [organisation, account] : this->accounts) {
        const auto previousOwner = this->owners.find(account.shard);
        const auto newOwner = newOwners.find(account.shard);
        const bool isSame
            = previousOwner != this->owners.end() && newOwner != newOwners.end() && previousOwner->second.epoch == newOwner->second.epoch;
        if (isSame)
            continue;
        // The state of the old owner does not apply to the new one, and replies of the old owner are no longer awaited.
        account.inFlightSequence.reset();
        account.firstUnansweredAt.reset();
        account.answeredAt.reset();
        account.closedLoans.clear();
        account.nextRequestAt = {};
        account.nextPrefetchAt = {};
        account.exhaustedUntil = {};
        account.notReadyUntil = {};
    }
    this->owners = newOwners;
}

TokenBorrower::Account& TokenBorrower::accountOf(const OrganisationId& organisation, TimePoint now)
{
    const auto [entry, isNew] = this->accounts.try_emplace(organisation);
    if (isNew) {
        entry->second.shard = limitShardOf(organisation);
        entry->second.demandAt = now;
    }
    return entry->second;
}

// The demand is an exponential average, so it needs no timer.
double TokenBorrower::demandNow(const Account& account, TimePoint now) const
{
    return account.demandPerSecond * std::exp(-seconds(now - account.demandAt) / seconds(this->settings.demandAveragingInterval));
}

double TokenBorrower::prefetchTarget(const Account& account, TimePoint now) const
{
    const double target = this->demandNow(account, now) * seconds(this->settings.prefetchInterval);
    return target >= this->settings.minPrefetchTokens ? std::ceil(target) : 0;
}

// Returns the tokens for waiting requests. An organisation whose requests are refused immediately still needs one token for its
// next request.
uint32_t TokenBorrower::wantedTokens(const Account& account, TimePoint now) const
{
    const uint32_t minimumTokens = account.wasRefused && heldTokens(account.loans, now) == 0 ? 1 : 0;
    return std::max(static_cast<uint32_t>(account.waiters.size()), minimumTokens);
}

uint32_t TokenBorrower::prefetchTokens(const Account& account, TimePoint now) const
{
    if (now < account.nextPrefetchAt)
        return 0;
    const double held = heldTokens(account.loans, now);
    const double target = this->prefetchTarget(account, now);
    return held <= target / 2 ? static_cast<uint32_t>(std::min(target - held, static_cast<double>(maxTokensPerLoan))) : 0;
}

// Returns the loans of the shard's current owner that still have tokens.
std::vector<LoanBalance> TokenBorrower::heldLoans(const Account& account, TimePoint now) const
{
    std::vector<LoanBalance> held;
    for (const HeldLoan& loan : account.loans) {
        if (now < loan.expiresAt && this->isLentByOwner(account, loan) && held.size() < maxLoansPerItem)
            held.push_back({ loan.id, loan.tokens });
    }
    return held;
}

uint32_t TokenBorrower::tokensHeld(const OrganisationId& organisation, TimePoint now) const
{
    const auto found = this->accounts.find(organisation);
    return found == this->accounts.end() ? 0 : heldTokens(found->second.loans, now);
}

bool TokenBorrower::isLentByOwner(const Account& account, const HeldLoan& loan) const
{
    const auto owner = this->owners.find(account.shard);
    return owner != this->owners.end() && owner->second.vm == loan.lender;
}

bool TokenBorrower::isOwnerUnresponsive(const Account& account, TimePoint now) const
{
    const Duration timeout = this->settings.ownerTimeout;
    return account.firstUnansweredAt && now >= *account.firstUnansweredAt + timeout && now < account.lastRequestAt + timeout;
}

// Uses the token that expires first. A loan without tokens is reported as closed in the next request.
bool TokenBorrower::useToken(Account& account, TimePoint now)
{
    while (!account.loans.empty()) {
        HeldLoan& loan = account.loans.front();
        const bool isUsable = now < loan.expiresAt && loan.tokens > 0;
        if (isUsable && --loan.tokens > 0)
            return true;
        if (isUsable && this->isLentByOwner(account, loan))
            account.closedLoans.push_back({ loan.id, 0 });
        account.loans.pop_front();
        if (account.closedLoans.size() > maxLoansPerItem)
            account.closedLoans.erase(account.closedLoans.begin());
        if (isUsable)
            return true;
    }
    return false;
}

Admission TokenBorrower::refuse(const OrganisationId& organisation, Account& account, ErrorKind reason)
{
    account.wasRefused = true;
    this->activeOrganisations.insert(organisation);
    return { AdmissionState::Refused, reason, {} };
}

bool TokenBorrower::exceedsExpectedRate(const Account& account, size_t waitersAhead, TimePoint deadline, TimePoint now) const
{
    return static_cast<double>(waitersAhead + 1) > account.expectedRate * seconds(deadline - now);
}

// Returns a reason to refuse a request without waiting, or std::nullopt.
std::optional<ErrorKind> TokenBorrower::immediateRefusal(const Account& account, TimePoint deadline, TimePoint now) const
{
    if (now >= deadline)
        return ErrorKind::DeadlineExceeded;
    if (!this->owners.contains(account.shard))
        return ErrorKind::LimitUnavailable;
    if (this->isOwnerUnresponsive(account, now) || now < account.notReadyUntil)
        return ErrorKind::LimitUnavailable;
    if (now < account.exhaustedUntil && this->exceedsExpectedRate(account, account.waiters.size(), deadline, now))
        return ErrorKind::RateLimited;
    if (account.waiters.size() >= this->settings.maxWaitingRequests)
        return ErrorKind::Overloaded;
    return std::nullopt;
}

Admission TokenBorrower::admit(const OrganisationId& organisation, TimePoint requestDeadline, TimePoint now)
{
    Account& account = this->accountOf(organisation, now);
    account.demandPerSecond = this->demandNow(account, now) + 1 / seconds(this->settings.demandAveragingInterval);
    account.demandAt = std::max(account.demandAt, now);

    // Requests that arrived earlier go first.
    if (account.waiters.empty() && this->useToken(account, now)) {
        if (this->prefetchTokens(account, now) > 0)
            this->activeOrganisations.insert(organisation);
        return { AdmissionState::Admitted, {}, {} };
    }
    const TimePoint deadline = std::min(requestDeadline, now + this->settings.waitTimeout);
    if (const auto reason = this->immediateRefusal(account, deadline, now))
        return this->refuse(organisation, account, *reason);
    const AdmissionTicket ticket { ++this->lastTicket };
    account.waiters.push_back({ ticket, now, deadline, requestDeadline <= deadline });
    this->organisationByTicket.emplace(ticket, organisation);
    this->activeOrganisations.insert(organisation);
    return { AdmissionState::Waiting, {}, ticket };
}

std::vector<OutgoingBorrowRequest> TokenBorrower::collectRequests(TimePoint now)
{
    std::erase_if(this->pendingRequests, [&](const auto& entry) { return entry.second.sentAt + pendingRequestLifetime <= now; });
    std::map<VmId, BorrowRequest> requestsByOwner;
    for (auto entry = this->activeOrganisations.begin(); entry != this->activeOrganisations.end();) {
        Account& account = this->accounts.at(*entry);
        if (account.inFlightSequence && now >= account.resendAt)
            account.inFlightSequence.reset();
        const bool needsTokens = this->wantedTokens(account, now) + this->prefetchTokens(account, now) > 0;
        if (!account.inFlightSequence && needsTokens && now >= account.nextRequestAt)
            this->addRequestItem(*entry, account, now, requestsByOwner);
        entry = !needsTokens && !account.inFlightSequence ? this->activeOrganisations.erase(entry) : std::next(entry);
    }
    std::vector<OutgoingBorrowRequest> messages;
    for (auto& [owner, request] : requestsByOwner) {
        PendingRequest sent { owner, now, {} };
        for (const BorrowItem& item : request.items)
            sent.organisations.push_back(item.organisation);
        this->pendingRequests.emplace(request.sequence, std::move(sent));
        messages.push_back({ owner, std::move(request) });
    }
    return messages;
}

// Adds one organisation to its owner's message. If the message is full, the organisation is added by the next call.
void TokenBorrower::addRequestItem(
    const OrganisationId& organisation, Account& account, TimePoint now, std::map<VmId, BorrowRequest>& requestsByOwner)
{
    const auto owner = this->owners.find(account.shard);
    if (owner == this->owners.end())
        return;
    BorrowRequest& request = requestsByOwner[owner->second.vm];
    if (request.items.size() >= maxItemsPerBorrowMessage)
        return;
    if (request.items.empty()) {
        request.borrower = this->self;
        request.borrowerIncarnation = this->incarnation;
        request.sequence = ++this->lastSequence;
    }
    request.items.push_back({ organisation, owner->second.epoch, this->wantedTokens(account, now), this->prefetchTokens(account, now),
        this->demandNow(account, now), std::move(account.closedLoans), this->heldLoans(account, now) });
    account.closedLoans.clear();
    account.inFlightSequence = request.sequence;
    account.resendAt = now + this->settings.resendTimeout;
    account.wasRefused = false;
    if (!account.firstUnansweredAt || now >= account.lastRequestAt + this->settings.ownerTimeout)
        account.firstUnansweredAt = now;
    account.lastRequestAt = now;
}

void TokenBorrower::applyGrant(Account& account, const VmId& owner, const GrantItem& item, TimePoint sentAt, TimePoint now)
{
    if (item.status != GrantStatus::Answered) {
        // The refusal may be due to an outdated configuration. The borrower receives the new owner within seconds, so its requests
        // wait.
        account.nextRequestAt = now + this->settings.refusalRetryDelay;
        if (item.status == GrantStatus::NotReady)
            account.notReadyUntil = now + this->settings.notReadyLifetime;
        account.firstUnansweredAt.reset();
        return;
    }
    account.answeredAt = now;
    account.firstUnansweredAt.reset();
    account.notReadyUntil = {};
    if (item.tokens > 0) {
        const HeldLoan loan { item.loan, owner, item.tokens, sentAt + item.lifetime };
        const auto position = std::upper_bound(account.loans.begin(), account.loans.end(), loan,
            [](const HeldLoan& left, const HeldLoan& right) { return left.expiresAt < right.expiresAt; });
        account.loans.insert(position, loan);
    }
    account.expectedRate = item.expectedRate;
    account.exhaustedUntil = item.isExhausted ? now + this->settings.exhaustedLifetime : TimePoint {};
    account.nextRequestAt = item.isExhausted ? now + item.retryDelay : TimePoint {};
}

std::vector<CompletedAdmission> TokenBorrower::receive(const VmId& owner, const BorrowReply& reply, TimePoint now)
{
    std::vector<CompletedAdmission> completed;
    const auto found = this->pendingRequests.find(reply.sequence);
    if (found == this->pendingRequests.end() || found->second.owner != owner)
        return completed;
    const PendingRequest request = std::move(found->second);
    this->pendingRequests.erase(found);
    for (const OrganisationId& organisation : request.organisations) {
        Account& account = this->accounts.at(organisation);
        if (account.inFlightSequence == reply.sequence)
            account.inFlightSequence.reset();
        const auto item = std::find_if(
            reply.items.begin(), reply.items.end(), [&](const GrantItem& candidate) { return candidate.organisation == organisation; });
        if (item != reply.items.end())
            this->applyGrant(account, owner, *item, request.sentAt, now);
        this->completeWaiters(account, now, completed);
        if (this->prefetchTokens(account, now) > 0)
            account.nextPrefetchAt = now + this->settings.prefetchRetryDelay;
        this->activeOrganisations.insert(organisation);
    }
    return completed;
}

// Admits waiting requests in order, then refuses those that the expected rate cannot serve before their deadlines.
void TokenBorrower::completeWaiters(Account& account, TimePoint now, std::vector<CompletedAdmission>& completed)
{
    while (!account.waiters.empty() && this->useToken(account, now)) {
        completed.push_back({ account.waiters.front().ticket, { AdmissionState::Admitted, {}, {} } });
        this->organisationByTicket.erase(account.waiters.front().ticket);
        account.waiters.pop_front();
    }
    if (now >= account.exhaustedUntil)
        return;
    std::deque<Waiter> kept;
    for (const Waiter& waiter : account.waiters) {
        if (!this->exceedsExpectedRate(account, kept.size(), waiter.deadline, now)) {
            kept.push_back(waiter);
            continue;
        }
        completed.push_back({ waiter.ticket, { AdmissionState::Refused, ErrorKind::RateLimited, {} } });
        this->organisationByTicket.erase(waiter.ticket);
        account.wasRefused = true;
    }
    account.waiters = std::move(kept);
}

// Returns why a request that waited until its deadline is refused. An owner that replied while the request waited had no tokens;
// otherwise no owner could be reached.
ErrorKind TokenBorrower::expirationReason(const Account& account, const Waiter& waiter) const
{
    if (waiter.isRequestDeadline)
        return ErrorKind::DeadlineExceeded;
    const bool wasAnswered = account.answeredAt && *account.answeredAt >= waiter.enqueuedAt;
    return wasAnswered ? ErrorKind::RateLimited : ErrorKind::LimitUnavailable;
}

std::vector<CompletedAdmission> TokenBorrower::expire(TimePoint now)
{
    std::vector<CompletedAdmission> completed;
    for (const OrganisationId& organisation : this->activeOrganisations) {
        Account& account = this->accounts.at(organisation);
        std::erase_if(account.waiters, [&](const Waiter& waiter) {
            if (now < waiter.deadline)
                return false;
            completed.push_back({ waiter.ticket, { AdmissionState::Refused, this->expirationReason(account, waiter), {} } });
            this->organisationByTicket.erase(waiter.ticket);
            return true;
        });
    }
    return completed;
}

void TokenBorrower::cancel(AdmissionTicket ticket)
{
    const auto found = this->organisationByTicket.find(ticket);
    if (found == this->organisationByTicket.end())
        return;
    std::erase_if(this->accounts.at(found->second).waiters, [&](const Waiter& waiter) { return waiter.ticket == ticket; });
    this->organisationByTicket.erase(found);
}

std::vector<OutgoingLoanReturn> TokenBorrower::returnAllLoans(TimePoint now)
{
    std::map<VmId, LoanReturn> messages;
    for (auto& [organisation, account] : this->accounts) {
        for (const HeldLoan& loan : account.loans) {
            LoanReturn& message = messages[loan.lender];
            if (now < loan.expiresAt && message.items.size() < maxItemsPerBorrowMessage)
                message.items.push_back({ organisation, { loan.id, loan.tokens } });
        }
        account.loans.clear();
    }
    std::vector<OutgoingLoanReturn> outgoing;
    for (auto& [owner, message] : messages) {
        message.borrower = this->self;
        outgoing.push_back({ owner, std::move(message) });
    }
    return outgoing;
}

}
