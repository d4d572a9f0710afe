#include "foxtailtrail/limits/TokenLender.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace foxtail {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // Tokens are lent whole. The small term absorbs rounding of sums that should be whole.
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
    double left = rate;
    for (size_t place = 0; place < order.size(); ++place) {
        const double equalPart = left / static_cast<double>(order.size() - place);
        const double share = std::min(demands[order[place]], equalPart);
        shares[order[place]] = share;
        left -= share;
    }
    return shares;
}

TokenLender::TokenLender(TokenLenderSettings chosen, uint64_t ownIncarnation)
    : settings(chosen)
    , incarnation(ownIncarnation)
{
}

// The time that must pass on this clock until a duration has certainly passed on another one.
Duration TokenLender::withClockDrift(Duration duration) const
{
    const double factor = (1 + this->settings.maxClockDrift) / (1 - this->settings.maxClockDrift);
    return Duration(static_cast<int64_t>(std::ceil(static_cast<double>(duration.count()) * factor)));
}

// A fast clock would fill the bucket above the rate, so the rate is taken down by the drift.
double TokenLender::fillRate(const Organisation& limit) const { return limit.rate / (1 + this->settings.maxClockDrift); }

Duration TokenLender::loanLifetimeFor(const Organisation& limit) const
{
    if (limit.rate <= 0)
        return this->settings.loanLifetime;
    if (limit.rate <= this->settings.shortLoanMaxRate)
        return this->settings.minLoanLifetime;
    const Duration half
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(1000.0, limit.burst / (2 * limit.rate))));
    return std::clamp(half, this->settings.minLoanLifetime, this->settings.loanLifetime);
}

TokenLender::Account TokenLender::makeAccount(const Organisation& limit, TimePoint lendFrom) const
{
    const TokenBucket empty(this->fillRate(limit), limit.burst, 0, lendFrom);
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
    std::map<uint32_t, OwnedShard> kept;
    for (const auto& [shard, epoch] : epochByShard) {
        const auto known = this->shards.find(shard);
        const bool isKnown = known != this->shards.end() && known->second.epoch == epoch;
        const TimePoint lendFrom = acceptedBy + this->withClockDrift(this->settings.freshnessLifetime + this->settings.loanLifetime);
        kept[shard] = isKnown ? known->second : OwnedShard { epoch, lendFrom };
    }
    std::erase_if(this->accounts, [&](const auto& entry) {
        const uint32_t shard = limitShardOf(entry.first);
        const auto before = this->shards.find(shard);
        const auto after = kept.find(shard);
        return after == kept.end() || before == this->shards.end() || before->second.epoch != after->second.epoch;
    });
    this->shards = std::move(kept);
    this->setLimits(std::map<OrganisationId, Organisation>(this->limits), now);
}

std::optional<TimePoint> TokenLender::lendingStartsAt(uint32_t shard) const
{
    const auto found = this->shards.find(shard);
    return found == this->shards.end() ? std::nullopt : std::optional(found->second.lendingStartsAt);
}

// The bucket's room is the burst less what is outstanding.
void TokenLender::resize(Account& account, TimePoint now) const
{
    account.bucket.configure(this->fillRate(account.limit), account.limit.burst - account.outstandingTokens, now);
}

// Passes time step by step, as every loan that lapses makes room in the bucket from that moment on and not earlier.
void TokenLender::advance(Account& account, TimePoint now) const
{
    while (!account.expirations.empty() && account.expirations.begin()->first <= now) {
        const auto [lapsesAt, number] = *account.expirations.begin();
        account.bucket.advance(lapsesAt);
        this->removeLoan(account, number, lapsesAt);
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

// Takes the tokens out of the bucket. The loan lapses here only after it has lapsed at the borrower by any clock.
void TokenLender::recordLoan(Account& account, const GrantItem& answer, TimePoint now) const
{
    const TimePoint lapsesAt = now + this->withClockDrift(answer.lifetime);
    account.loans.emplace(answer.loan.number, Loan { answer.tokens, lapsesAt });
    account.expirations.emplace(lapsesAt, answer.loan.number);
    account.bucket.adjust(-static_cast<double>(answer.tokens));
    account.outstandingTokens += answer.tokens;
    this->resize(account, now);
}

void TokenLender::closeLoan(Account& account, const LoanBalance& closed, TimePoint now) const
{
    const auto found = account.loans.find(closed.loan.number);
    if (closed.loan.lenderIncarnation != this->incarnation || found == account.loans.end())
        return;
    const uint32_t returned = std::min(found->second.tokens, closed.unused);
    this->removeLoan(account, closed.loan.number, now);
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
    size_t own = 0;
    for (const auto& [id, borrower] : account.borrowers) {
        if (id == vm)
            own = demands.size();
        demands.push_back(borrower.demandPerSecond);
    }
    const double rate = account.bucket.rate();
    const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double share = maxMinShares(rate, demands)[own];
    const bool overloaded = total > rate * this->settings.overloadFactor;
    return { overloaded, share, overloaded ? share : rate };
}

// Takes in what the borrower has spent. Repeated and overtaken reports are harmless, as a loan's tokens only become fewer.
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

// A borrower repeats no sequence, so a repeated one is a late copy whose answer nobody would use. Requests on several connections
// may overtake each other, so a lower sequence alone is no copy.
bool TokenLender::isRepeated(const BorrowRequest& request, TimePoint now)
{
    if (now >= this->nextCleanupAt) {
        std::erase_if(this->answeredRequests, [&](const auto& entry) { return entry.second.keptUntil <= now; });
        this->nextCleanupAt = now + this->settings.sequenceLifetime;
    }
    constexpr uint64_t remembered = 64;
    AnsweredRequests& known = this->answeredRequests[request.borrower];
    if (request.borrowerIncarnation < known.incarnation)
        return true;
    if (request.borrowerIncarnation > known.incarnation)
        known = { request.borrowerIncarnation, 0, 0, {} };
    known.keptUntil = now + this->settings.sequenceLifetime;
    if (request.sequence > known.highestSequence) {
        const uint64_t step = request.sequence - known.highestSequence;
        known.answeredBits = step < remembered ? known.answeredBits << step : 0;
        known.highestSequence = request.sequence;
    }
    const uint64_t age = known.highestSequence - request.sequence;
    if (age >= remembered || (known.answeredBits >> age & 1) != 0)
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
    GrantItem answer;
    answer.organisation = item.organisation;
    const auto shard = this->shards.find(limitShardOf(item.organisation));
    const auto account = this->accounts.find(item.organisation);
    if (shard == this->shards.end() || shard->second.epoch != item.ownerEpoch || account == this->accounts.end()) {
        answer.status = GrantStatus::NotOwner;
    } else if (now < shard->second.lendingStartsAt || now >= servingDeadline) {
        answer.status = GrantStatus::NotReady;
    } else {
        this->grant(account->second, vm, item, answer, now);
    }
    return answer;
}

uint32_t TokenLender::tokensToLend(
    const Account& account, const Borrower& borrower, const ShareEstimate& prospect, const BorrowItem& item) const
{
    const double level = account.bucket.level();
    // When the organisation exceeds its rate, a loan is at most the borrower's part of the bucket and what its share has
    // earned. One token is always lent if there is one: parts below a token would leave small rates unused.
    double limit = level;
    if (prospect.isOverloaded) {
        const double part = level * prospect.share / account.bucket.rate();
        // Tokens above an eighth of the burst are not scarce yet: a batch within the burst may have them all at one VM.
        const double plenty = level - account.limit.burst / 8;
        limit = std::min(limit, std::max({ 1.0, part + borrower.shareBucket.level(), plenty }));
    }
    const uint32_t needed = std::min(item.wanted, wholeTokens(limit));
    const double spare = std::min(limit, level - this->settings.prefetchReserve * account.limit.burst) - needed;
    return std::min(needed + std::min(item.prefetchTokens, wholeTokens(spare)), maxTokensPerLoan);
}

void TokenLender::grant(Account& account, const VmId& vm, const BorrowItem& item, GrantItem& answer, TimePoint now)
{
    // Pass time and take in the loans that the borrower has closed.
    this->advance(account, now);
    this->applyReports(account, item, now);

    // Work out the borrower's share of the rate.
    Borrower& borrower = this->recordDemand(account, vm, item.demandPerSecond, now);
    const ShareEstimate prospect = this->estimateShare(account, vm);
    borrower.shareBucket.configure(prospect.share, std::max(1.0, prospect.share * seconds(account.loanLifetime)), now);

    const uint32_t tokens = this->tokensToLend(account, borrower, prospect, item);

    answer.tokens = tokens;
    answer.lifetime = tokens <= item.wanted && !prospect.isOverloaded ? std::min(account.loanLifetime, this->settings.minLoanLifetime)
                                                                      : account.loanLifetime;
    answer.isExhausted = tokens < item.wanted;
    answer.expectedRate = prospect.expectedRate;
    const double pause = 1e6 / std::max(1.0, prospect.expectedRate);
    answer.retryDelay = std::clamp(Duration(static_cast<int64_t>(pause)), this->settings.minRetryDelay, this->settings.maxRetryDelay);
    if (tokens == 0)
        return;
    answer.loan = { this->incarnation, ++this->lastLoanNumber };
    borrower.shareBucket.adjust(-static_cast<double>(tokens));
    this->recordLoan(account, answer, now);
}

}
