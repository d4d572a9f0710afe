#include "foxtailtrail/limits/TokenLender.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace foxtail {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // Only whole tokens are lent. The small term compensates for rounding errors in sums that should be whole.
    uint32_t wholeTokens(double tokens)
    {
        constexpr double rounding = 1e-9;
        return static_cast<uint32_t>(std::clamp(std::floor(tokens + rounding), 0.0, static_cast<double>(maxTokensPerLoan)));
    }

}

std::vector<double> maxMinShares(double rate, const std::vector<double>& demands)
{
    std::vector<size_t> order(demands.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) { return demands[left] < demands[right]; });
    std::vector<double> shares(demands.size());
    double remaining = rate;
    for (size_t rank = 0; rank < order.size(); ++rank) {
        const double equalPart = remaining / static_cast<double>(order.size() - rank);
        const double share = std::min(demands[order[rank]], equalPart);
        shares[order[rank]] = share;
        remaining -= share;
    }
    return shares;
}

TokenLender::TokenLender(TokenLenderSettings initialSettings, uint64_t ownIncarnation)
    : settings(initialSettings)
    , incarnation(ownIncarnation)
{
}

// Returns the time that must pass on this clock until the duration has certainly passed on any other clock.
Duration TokenLender::withClockDrift(Duration duration) const
{
    const double factor = (1 + this->settings.maxClockDrift) / (1 - this->settings.maxClockDrift);
    return Duration(static_cast<int64_t>(std::ceil(static_cast<double>(duration.count()) * factor)));
}

// A fast clock would fill the bucket above the rate, so the rate is reduced by the maximum drift.
double TokenLender::fillRate(const Organisation& limit) const { return limit.rate / (1 + this->settings.maxClockDrift); }

Duration TokenLender::loanLifetimeFor(const Organisation& limit) const
{
    if (limit.rate <= 0)
        return this->settings.loanLifetime;
    if (limit.rate <= this->settings.shortLoanMaxRate)
        return this->settings.minLoanLifetime;
    const Duration halfRefillTime
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(1000.0, limit.burst / (2 * limit.rate))));
    return std::clamp(halfRefillTime, this->settings.minLoanLifetime, this->settings.loanLifetime);
}

TokenLender::Account TokenLender::makeAccount(const Organisation& limit, TimePoint lendingStart) const
{
    const TokenBucket empty(this->fillRate(limit), limit.burst, 0, lendingStart);
    return { limit, this->loanLifetimeFor(limit), empty, {}, {}, 0, {} };
}

void TokenLender::setLimits(const std::map<OrganisationId, Organisation>& newLimits, TimePoint now)
{
    this->limits = newLimits;
    std::erase_if(this->accounts, [&](const auto& entry) { return !newLimits.contains(entry.first); });
    for (const auto& [id, limit] : newLimits) {
        const auto shard = this->shards.find(limitShardOf(id));
        if (shard == this->shards.end())
            continue;
        const auto [entry, isNew] = this->accounts.try_emplace(id, this->makeAccount(limit, std::max(now, shard->second.lendingStartsAt)));
        if (isNew)
            continue;
        this->advance(entry->second, now);
        entry->second.limit = limit;
        entry->second.loanLifetime = this->loanLifetimeFor(limit);
        this->resize(entry->second, now);
    }
}

void TokenLender::setShards(const std::map<uint32_t, uint64_t>& epochByShard, TimePoint acceptedBy, TimePoint now)
{
    std::map<uint32_t, OwnedShard> updatedShards;
    for (const auto& [shard, epoch] : epochByShard) {
        const auto known = this->shards.find(shard);
        const bool isKnown = known != this->shards.end() && known->second.epoch == epoch;
        const TimePoint lendingStart = acceptedBy + this->withClockDrift(this->settings.freshnessLifetime + this->settings.loanLifetime);
        updatedShards[shard] = isKnown ? known->second : OwnedShard { epoch, lendingStart };
    }
    std::erase_if(this->accounts, [&](const auto& entry) {
        const uint32_t shard = limitShardOf(entry.first);
        const auto before = this->shards.find(shard);
        const auto after = updatedShards.find(shard);
        return after == updatedShards.end() || before == this->shards.end() || before->second.epoch != after->second.epoch;
    });
    this->shards = std::move(updatedShards);
    this->setLimits(std::map<OrganisationId, Organisation>(this->limits), now);
}

std::optional<TimePoint> TokenLender::lendingStartsAt(uint32_t shard) const
{
    const auto found = this->shards.find(shard);
    return found == this->shards.end() ? std::nullopt : std::optional(found->second.lendingStartsAt);
}

// The bucket's depth is the burst less the outstanding tokens.
void TokenLender::resize(Account& account, TimePoint now) const
{
    account.bucket.configure(this->fillRate(account.limit), account.limit.burst - account.outstandingTokens, now);
}

// Advances in steps, because every loan that expires frees room in the bucket from that time on and not earlier.
void TokenLender::advance(Account& account, TimePoint now) const
{
    while (!account.expirations.empty() && account.expirations.begin()->first <= now) {
        const auto [loanExpiresAt, number] = *account.expirations.begin();
        account.bucket.advance(loanExpiresAt);
        this->removeLoan(account, number, loanExpiresAt);
    }
    account.bucket.advance(now);
}

void TokenLender::removeLoan(Account& account, uint64_t number, TimePoint now) const
{
    const auto found = account.loans.find(number);
    account.outstandingTokens -= found->second.tokens;
    account.expirations.erase({ found->second.expiresAt, number });
    account.loans.erase(found);
    this->resize(account, now);
}

// Removes the tokens from the bucket. The loan expires here only after it has expired at the borrower by any clock.
void TokenLender::recordLoan(Account& account, const GrantItem& grantItem, TimePoint now) const
{
    const TimePoint loanExpiresAt = now + this->withClockDrift(grantItem.lifetime);
    account.loans.emplace(grantItem.loan.number, Loan { grantItem.tokens, loanExpiresAt });
    account.expirations.emplace(loanExpiresAt, grantItem.loan.number);
    account.bucket.adjust(-static_cast<double>(grantItem.tokens));
    account.outstandingTokens += grantItem.tokens;
    this->resize(account, now);
}

void TokenLender::closeLoan(Account& account, const LoanBalance& balance, TimePoint now) const
{
    const auto found = account.loans.find(balance.loan.number);
    if (balance.loan.lenderIncarnation != this->incarnation || found == account.loans.end())
        return;
    const uint32_t returned = std::min(found->second.tokens, balance.unused);
    this->removeLoan(account, balance.loan.number, now);
    account.bucket.adjust(returned);
}

void TokenLender::returnLoans(const LoanReturn& message, TimePoint now)
{
    for (const LoanReturnItem& item : message.items) {
        const auto found = this->accounts.find(item.organisation);
        if (found == this->accounts.end())
            continue;
        this->advance(found->second, now);
        this->closeLoan(found->second, item.closedLoan, now);
    }
}

TokenLender::Borrower& TokenLender::recordDemand(Account& account, const VmId& vm, double demand, TimePoint now) const
{
    std::erase_if(account.borrowers, [&](const auto& entry) { return entry.second.demandUntil <= now && entry.first != vm; });
    const auto entry = account.borrowers.try_emplace(vm, Borrower { 0, now, TokenBucket(0, 1, 1, now) }).first;
    entry->second.demandPerSecond = std::isfinite(demand) ? std::max(0.0, demand) : 0;
    entry->second.demandUntil = now + this->settings.demandLifetime;
    return entry->second;
}

TokenLender::ShareEstimate TokenLender::estimateShare(const Account& account, const VmId& vm) const
{
    std::vector<double> demands;
    size_t ownIndex = 0;
    for (const auto& [id, borrower] : account.borrowers) {
        if (id == vm)
            ownIndex = demands.size();
        demands.push_back(borrower.demandPerSecond);
    }
    const double rate = account.bucket.rate();
    const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double share = maxMinShares(rate, demands)[ownIndex];
    const bool exceedsRate = total > rate * this->settings.overloadFactor;
    return { exceedsRate, share, exceedsRate ? share : rate };
}

// Applies the borrower's report of the tokens that it has used. Repeated and reordered reports are harmless, because the tokens of
// a loan only decrease.
void TokenLender::applyReports(Account& account, const BorrowItem& item, TimePoint now) const
{
    for (size_t index = 0; index < std::min(item.closedLoans.size(), maxLoansPerItem); ++index)
        this->closeLoan(account, item.closedLoans[index], now);
    for (size_t index = 0; index < std::min(item.heldLoans.size(), maxLoansPerItem); ++index) {
        const LoanBalance& report = item.heldLoans[index];
        const auto found = account.loans.find(report.loan.number);
        if (report.loan.lenderIncarnation != this->incarnation || found == account.loans.end() || report.unused >= found->second.tokens)
            continue;
        account.outstandingTokens -= found->second.tokens - report.unused;
        found->second.tokens = report.unused;
    }
    this->resize(account, now);
}

// A borrower never reuses a sequence number, so a repeated number means a duplicate whose answer would not be used. Requests on
// several connections may be reordered, so a lower number alone does not mean a duplicate.
bool TokenLender::isRepeated(const BorrowRequest& request, TimePoint now)
{
    if (now >= this->nextCleanupAt) {
        std::erase_if(this->answeredRequests, [&](const auto& entry) { return entry.second.keptUntil <= now; });
        this->nextCleanupAt = now + this->settings.sequenceLifetime;
    }
    constexpr uint64_t trackedCount = 64;
    AnsweredRequests& known = this->answeredRequests[request.borrower];
    if (request.borrowerIncarnation < known.incarnation)
        return true;
    if (request.borrowerIncarnation > known.incarnation)
        known = { request.borrowerIncarnation, 0, 0, {} };
    known.keptUntil = now + this->settings.sequenceLifetime;
    if (request.sequence > known.highestSequence) {
        const uint64_t step = request.sequence - known.highestSequence;
        known.answeredBits = step < trackedCount ? known.answeredBits << step : 0;
        known.highestSequence = request.sequence;
    }
    const uint64_t age = known.highestSequence - request.sequence;
    if (age >= trackedCount || (known.answeredBits >> age & 1) != 0)
        return true;
    known.answeredBits |= uint64_t { 1 } << age;
    return false;
}

BorrowReply TokenLender::lend(const BorrowRequest& request, TimePoint servingDeadline, TimePoint now)
{
    BorrowReply reply { request.sequence, {} };
    if (this->isRepeated(request, now))
        return reply;
    const size_t count = std::min(request.items.size(), maxItemsPerBorrowMessage);
    for (size_t index = 0; index < count; ++index)
        reply.items.push_back(this->lendItem(request.borrower, request.items[index], servingDeadline, now));
    return reply;
}

GrantItem TokenLender::lendItem(const VmId& vm, const BorrowItem& item, TimePoint servingDeadline, TimePoint now)
{
    GrantItem grantItem;
    grantItem.organisation = item.organisation;
    const auto shard = this->shards.find(limitShardOf(item.organisation));
    const auto account = this->accounts.find(item.organisation);
    if (shard == this->shards.end() || shard->second.epoch != item.ownerEpoch || account == this->accounts.end()) {
        grantItem.status = GrantStatus::NotOwner;
    } else if (now < shard->second.lendingStartsAt || now >= servingDeadline) {
        grantItem.status = GrantStatus::NotReady;
    } else {
        this->grant(account->second, vm, item, grantItem, now);
    }
    return grantItem;
}

uint32_t TokenLender::tokensToLend(
    const Account& account, const Borrower& borrower, const ShareEstimate& estimate, const BorrowItem& item) const
{
    const double level = account.bucket.level();
    // If the organisation exceeds its rate, a loan is at most the borrower's share of the bucket plus the tokens that its share has
    // accumulated. One token is always lent if the bucket holds one: shares below one token would leave small rates unused.
    double maxTokens = level;
    if (estimate.isOverloaded) {
        const double proportionalTokens = level * estimate.share / account.bucket.rate();
        // Tokens above an eighth of the burst are not scarce yet: one VM may use all of them for a batch within the burst.
        const double abundantTokens = level - account.limit.burst / 8;
        maxTokens = std::min(maxTokens, std::max({ 1.0, proportionalTokens + borrower.shareBucket.level(), abundantTokens }));
    }
    const uint32_t neededTokens = std::min(item.wanted, wholeTokens(maxTokens));
    const double spareTokens = std::min(maxTokens, level - this->settings.prefetchReserve * account.limit.burst) - neededTokens;
    return std::min(neededTokens + std::min(item.prefetchTokens, wholeTokens(spareTokens)), maxTokensPerLoan);
}

void TokenLender::grant(Account& account, const VmId& vm, const BorrowItem& item, GrantItem& grantItem, TimePoint now)
{
    // Applies the borrower's reports of the tokens that it has used and returned.
    this->advance(account, now);
    this->applyReports(account, item, now);

    // Updates the borrower's share of the rate.
    Borrower& borrower = this->recordDemand(account, vm, item.demandPerSecond, now);
    const ShareEstimate estimate = this->estimateShare(account, vm);
    borrower.shareBucket.configure(estimate.share, std::max(1.0, estimate.share * seconds(account.loanLifetime)), now);

    const uint32_t tokens = this->tokensToLend(account, borrower, estimate, item);

    grantItem.tokens = tokens;
    grantItem.lifetime = tokens <= item.wanted && !estimate.isOverloaded ? std::min(account.loanLifetime, this->settings.minLoanLifetime)
                                                                         : account.loanLifetime;
    grantItem.isExhausted = tokens < item.wanted;
    grantItem.expectedRate = estimate.expectedRate;
    const double delayUs = 1e6 / std::max(1.0, estimate.expectedRate);
    grantItem.retryDelay = std::clamp(Duration(static_cast<int64_t>(delayUs)), this->settings.minRetryDelay, this->settings.maxRetryDelay);
    if (tokens == 0)
        return;
    grantItem.loan = { this->incarnation, ++this->lastLoanNumber };
    borrower.shareBucket.adjust(-static_cast<double>(tokens));
    this->recordLoan(account, grantItem, now);
}

}
