#include "foxtailtrail/limits/ShareLender.h"

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
        return static_cast<uint32_t>(std::clamp(std::floor(tokens + rounding), 0.0, static_cast<double>(maximumTokensPerLoan)));
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

ShareLender::ShareLender(ShareLenderSettings chosen, uint64_t ownIncarnation)
    : settings(chosen)
    , incarnation(ownIncarnation)
{
}

// The time that must pass on this clock until a duration has certainly passed on another one.
Duration ShareLender::stretched(Duration duration) const
{
    const double factor = (1 + this->settings.clockDrift) / (1 - this->settings.clockDrift);
    return Duration(static_cast<int64_t>(std::ceil(static_cast<double>(duration.count()) * factor)));
}

// A fast clock would fill the bucket above the rate, so the rate is taken down by the drift.
double ShareLender::fillRate(const Organisation& limit) const { return limit.rate / (1 + this->settings.clockDrift); }

Duration ShareLender::lifeFor(const Organisation& limit) const
{
    if (limit.rate <= 0)
        return this->settings.loanLife;
    if (limit.rate <= this->settings.smallRate)
        return this->settings.minimumLoanLife;
    const Duration half
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(1000.0, limit.burst / (2 * limit.rate))));
    return std::clamp(half, this->settings.minimumLoanLife, this->settings.loanLife);
}

ShareLender::Account ShareLender::makeAccount(const Organisation& limit, TimePoint lendFrom) const
{
    const TokenBucket empty(this->fillRate(limit), limit.burst, 0, lendFrom);
    return { limit, this->lifeFor(limit), empty, {}, 0, {} };
}

void ShareLender::setLimits(const std::map<OrganisationId, Organisation>& newLimits, TimePoint now)
{
    this->limits = newLimits;
    std::erase_if(this->accounts, [&](const auto& entry) { return !newLimits.contains(entry.first); });
    for (const auto& [id, limit] : newLimits) {
        const auto shard = this->shards.find(limitShardOf(id));
        if (shard == this->shards.end())
            continue;
        const auto [entry, isNew] = this->accounts.try_emplace(id, this->makeAccount(limit, std::max(now, shard->second.lendFrom)));
        if (isNew)
            continue;
        this->advance(entry->second, now);
        entry->second.limit = limit;
        entry->second.life = this->lifeFor(limit);
        this->resize(entry->second, now);
    }
}

void ShareLender::setShards(const std::map<uint32_t, uint64_t>& epochByShard, TimePoint acceptedBy, TimePoint now)
{
    std::map<uint32_t, OwnedShard> kept;
    for (const auto& [shard, epoch] : epochByShard) {
        const auto known = this->shards.find(shard);
        const bool isKnown = known != this->shards.end() && known->second.epoch == epoch;
        const TimePoint lendFrom = acceptedBy + this->stretched(this->settings.freshnessTime + this->settings.loanLife);
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

std::optional<TimePoint> ShareLender::lendsFrom(uint32_t shard) const
{
    const auto found = this->shards.find(shard);
    return found == this->shards.end() ? std::nullopt : std::optional(found->second.lendFrom);
}

// The bucket's room is the burst less what is outstanding.
void ShareLender::resize(Account& account, TimePoint now) const
{
    account.bucket.configure(this->fillRate(account.limit), account.limit.burst - account.outstanding, now);
}

// Passes time step by step, as every loan that lapses makes room in the bucket from that moment on and not earlier.
void ShareLender::advance(Account& account, TimePoint now) const
{
    while (!account.loans.empty() && account.loans.begin()->second.lapsesAt <= now) {
        const Loan lapsed = account.loans.begin()->second;
        account.loans.erase(account.loans.begin());
        account.bucket.advance(lapsed.lapsesAt);
        account.outstanding -= lapsed.tokens;
        this->resize(account, lapsed.lapsesAt);
    }
    account.bucket.advance(now);
}

void ShareLender::close(Account& account, const ClosedLoan& closed, TimePoint now) const
{
    const auto found = account.loans.find(closed.loan.number);
    if (closed.loan.lenderIncarnation != this->incarnation || found == account.loans.end())
        return;
    const uint32_t tokens = found->second.tokens;
    account.loans.erase(found);
    account.outstanding -= tokens;
    this->resize(account, now);
    account.bucket.adjust(std::min(tokens, closed.unused));
}

void ShareLender::giveBack(const GiveBack& message, TimePoint now)
{
    for (const GiveBackItem& item : message.items) {
        const auto found = this->accounts.find(item.organisation);
        if (found == this->accounts.end())
            continue;
        this->advance(found->second, now);
        this->close(found->second, item.closed, now);
    }
}

ShareLender::Borrower& ShareLender::recordDemand(Account& account, const VmId& vm, double demand, TimePoint now) const
{
    std::erase_if(account.borrowers, [&](const auto& entry) { return entry.second.demandUntil <= now && entry.first != vm; });
    const auto entry = account.borrowers.try_emplace(vm, Borrower { 0, now, TokenBucket(0, 1, 1, now) }).first;
    entry->second.demand = std::isfinite(demand) ? std::max(0.0, demand) : 0;
    entry->second.demandUntil = now + this->settings.demandLife;
    return entry->second;
}

ShareLender::Prospect ShareLender::prospectOf(const Account& account, const VmId& vm) const
{
    std::vector<double> demands;
    size_t own = 0;
    for (const auto& [id, borrower] : account.borrowers) {
        if (id == vm)
            own = demands.size();
        demands.push_back(borrower.demand);
    }
    const double rate = account.bucket.rate();
    const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double share = maxMinShares(rate, demands)[own];
    return { total > rate, share, total > rate ? share : rate - (total - demands[own]) };
}

// A borrower repeats no sequence, so a repeated or overtaken request is a late copy whose answer nobody would use.
bool ShareLender::isRepeated(const BorrowRequest& request, TimePoint now)
{
    if (now >= this->nextCleaning) {
        std::erase_if(this->lastRequests, [&](const auto& entry) { return entry.second.keptUntil <= now; });
        this->nextCleaning = now + this->settings.sequenceLife;
    }
    LastRequest& last = this->lastRequests[request.borrower];
    if (last.incarnation == request.borrowerIncarnation && request.sequence <= last.sequence)
        return true;
    last = { request.borrowerIncarnation, request.sequence, now + this->settings.sequenceLife };
    return false;
}

BorrowReply ShareLender::lend(const BorrowRequest& request, TimePoint servingDeadline, TimePoint now)
{
    BorrowReply reply { request.sequence, {} };
    if (this->isRepeated(request, now))
        return reply;
    const size_t count = std::min(request.items.size(), maximumItemsPerBorrowMessage);
    for (size_t index = 0; index < count; ++index)
        reply.items.push_back(this->lendItem(request.borrower, request.items[index], servingDeadline, now));
    return reply;
}

GrantItem ShareLender::lendItem(const VmId& vm, const BorrowItem& item, TimePoint servingDeadline, TimePoint now)
{
    GrantItem answer;
    answer.organisation = item.organisation;
    const auto shard = this->shards.find(limitShardOf(item.organisation));
    const auto account = this->accounts.find(item.organisation);
    if (shard == this->shards.end() || shard->second.epoch != item.ownerEpoch || account == this->accounts.end()) {
        answer.status = GrantStatus::NotOwner;
    } else if (now < shard->second.lendFrom || now >= servingDeadline) {
        answer.status = GrantStatus::NotReady;
    } else {
        this->grant(account->second, vm, item, answer, now);
    }
    return answer;
}

void ShareLender::grant(Account& account, const VmId& vm, const BorrowItem& item, GrantItem& answer, TimePoint now)
{
    // Pass time and take in the loans that the borrower has closed.
    this->advance(account, now);
    for (size_t index = 0; index < std::min(item.closed.size(), maximumClosedLoansPerItem); ++index)
        this->close(account, item.closed[index], now);

    // Work out the borrower's share of the rate.
    Borrower& borrower = this->recordDemand(account, vm, item.demand, now);
    const Prospect prospect = this->prospectOf(account, vm);
    borrower.earned.configure(prospect.share, std::max(1.0, prospect.share * seconds(account.life)), now);

    // When the organisation exceeds its rate, a loan is at most the borrower's part of the bucket and what its share has
    // earned. One token is always lent if there is one: parts below a token would leave small rates unused.
    double limit = account.bucket.level();
    if (prospect.overloaded) {
        const double part = account.bucket.level() * prospect.share / account.bucket.rate();
        // Tokens above an eighth of the burst are not scarce yet: a batch within the burst may have them all at one VM.
        const double plenty = account.bucket.level() - account.limit.burst / 8;
        limit = std::min(limit, std::max({ 1.0, part + borrower.earned.level(), plenty }));
    }
    const uint32_t tokens = std::min({ item.wanted, wholeTokens(limit), maximumTokensPerLoan });

    // Record the loan. It lapses here only after it has lapsed at the borrower by any clock.
    answer.life = account.life;
    answer.tokens = tokens;
    answer.exhausted = tokens < item.wanted;
    answer.expectedRate = prospect.expectedRate;
    const double pause = 1e6 / std::max(1.0, prospect.expectedRate);
    answer.askAgainAfter = std::clamp(Duration(static_cast<int64_t>(pause)), this->settings.shortestPause, this->settings.longestPause);
    if (tokens == 0)
        return;
    answer.loan = { this->incarnation, ++this->lastLoan };
    TimePoint lapsesAt = now + this->stretched(account.life);
    if (!account.loans.empty())
        lapsesAt = std::max(lapsesAt, account.loans.rbegin()->second.lapsesAt);
    account.loans.emplace(answer.loan.number, Loan { tokens, lapsesAt });
    borrower.earned.adjust(-static_cast<double>(tokens));
    account.bucket.adjust(-static_cast<double>(tokens));
    account.outstanding += tokens;
    this->resize(account, now);
}

}
