#include "foxtailtrail/limits/QuotaAllocator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace foxtail {

namespace {

    // The fraction of the permitted excess that unused grants may use.
    constexpr double unusedShareOfExcess = 0.45;
    // The fraction of the permitted excess with which a new allocator starts, because it does not know what an earlier one has lent.
    // The rest covers the VMs that use their static share.
    constexpr double initialShareOfExcess = 0.35;
    // The fraction of the spare tokens that one request may receive for expected operations, so that tokens are left for the VMs that
    // send requests next.
    constexpr double maxShareOfSpare = 0.5;
    // The fraction of the burst that is lent to waiting operations only, and its value while the demand exceeds the rate.
    constexpr double waitingShareOfBurst = 0.125;
    constexpr double waitingShareOfBurstWhenOver = 0.5;
    // A claim is kept for this time: two intervals between the requests of a VM of a large fleet, and the repetition of a lost one.
    constexpr Duration claimLifetime = std::chrono::milliseconds(300);
    // After this many tokens granted by priority, one goes to the operation that has waited longest.
    constexpr size_t tokensByPriority = 7;
    // The time over which the recent grants of a priority are counted, and the fraction of the burst that is kept for such operations.
    constexpr double recentGrantsSeconds = 0.2;
    constexpr double maxKeptShareOfBurst = 0.25;
    // Compensates for rounding errors in sums that should be whole.
    constexpr double rounding = 1e-9;
    // Used where a rate is 0, so that a delay stays finite.
    constexpr double minRatePerSecond = 1e-3;

    size_t wholeTokens(double tokens) { return static_cast<size_t>(std::max(0.0, std::floor(tokens + rounding))); }

    Duration secondsToDuration(double seconds) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)); }

}

double permittedExcess(const OrganisationLimit& limit, const QuotaBounds& bounds)
{
    const double window = std::chrono::duration<double>(bounds.window).count();
    return bounds.excessShare * (limit.ratePerSecond * window + limit.burst) + bounds.slack;
}

void QuotaAllocator::refill(Account& account, const OrganisationLimit& limit, double share, TimePoint now) const
{
    double outstanding = 0;
    account.totalDemand = 0;
    for (auto issuedGrant = account.outstandingGrants.begin(); issuedGrant != account.outstandingGrants.end();) {
        if (issuedGrant->second.expiresAt <= now) {
            issuedGrant = account.outstandingGrants.erase(issuedGrant);
        } else {
            outstanding += issuedGrant->second.tokens;
            account.totalDemand += issuedGrant->second.demandPerSecond;
            ++issuedGrant;
        }
    }
    const double excess = permittedExcess(limit, this->bounds);
    if (account.filledAt == TimePoint {}) {
        // While this allocator served the fleet, an organisation for which no VM sent a request has used no operations.
        account.filledAt = this->lastVmJoinedAt;
    }
    // The VMs that lend their static shares each bring a part of the initial tokens, in all not more than once the whole.
    const double initialTokens = initialShareOfExcess * excess * share;
    account.level += std::max(0.0, initialTokens - account.initialTokens);
    account.initialTokens = std::max(account.initialTokens, initialTokens);
    const double elapsed = std::chrono::duration<double>(now - account.filledAt).count();
    account.filledAt = now;
    account.level += elapsed * limit.ratePerSecond * share;
    const double excessGrants = std::max(0.0, outstanding - unusedShareOfExcess * excess * share);
    account.level = std::min(account.level, std::max(0.0, limit.burst * share - excessGrants));
}

void QuotaAllocator::removeOldClaims(Account& account, TimePoint now)
{
    for (auto open = account.openClaims.begin(); open != account.openClaims.end();) {
        std::erase_if(open->second.claims, [&](const Claim& claim) { return claim.giveUpAt <= now; });
        const bool isOld = open->second.validUntil <= now || open->second.claims.empty();
        open = isOld ? account.openClaims.erase(open) : std::next(open);
    }
}

double QuotaAllocator::Account::RecentGrants::at(TimePoint now) const
{
    return this->tokens * std::exp(-std::chrono::duration<double>(now - this->countedAt).count() / recentGrantsSeconds);
}

void QuotaAllocator::serveClaims(
    Account& account, std::vector<Claim>& own, const OrganisationLimit& limit, QuotaGrant& grant, TimePoint now)
{
    size_t available = wholeTokens(account.level);
    const auto serve = [&](Claim& claim, size_t count) {
        claim.count -= count;
        available -= count;
        grant.tokens += static_cast<double>(count);
        account.level -= static_cast<double>(count);
        Account::RecentGrants& recent = account.recentGrants[claim.priority];
        recent = { recent.at(now) + static_cast<double>(count), now };
    };
    // The operation that has waited longest has its turn: it is served, or a token is kept for it.
    const Claim* keptFor = nullptr;
    if (account.grantedByPriority >= tokensByPriority && !own.empty() && available > 0) {
        Claim* oldest = &*std::min_element(
            own.begin(), own.end(), [](const Claim& left, const Claim& right) { return left.waitingSince < right.waitingSince; });
        for (const auto& [vm, open] : account.openClaims) {
            for (const Claim& claim : open.claims) {
                if (claim.waitingSince < (keptFor ? keptFor->waitingSince : oldest->waitingSince))
                    keptFor = &claim;
            }
        }
        if (!keptFor) {
            serve(*oldest, 1);
            grant.oldestFirst = 1;
            account.grantedByPriority = 0;
        }
    }
    for (Claim& claim : own) {
        size_t kept = keptFor && claim.isBefore(*keptFor) ? 1 : 0;
        for (const auto& [vm, open] : account.openClaims) {
            for (const Claim& other : open.claims)
                kept += other.isBefore(claim) ? other.count : 0;
        }
        double expectedBefore = 0;
        for (const auto& [priority, recent] : account.recentGrants)
            expectedBefore += priority < claim.priority ? recent.at(now) : 0;
        kept += wholeTokens(std::min(expectedBefore, maxKeptShareOfBurst * limit.burst));
        const size_t count = std::min(claim.count, available > kept ? available - kept : 0);
        if (count > 0)
            serve(claim, count);
        account.grantedByPriority = std::min(account.grantedByPriority + count, tokensByPriority);
        if (claim.count > 0)
            break;
    }
    std::erase_if(own, [](const Claim& claim) { return claim.count == 0; });
}

std::vector<QuotaLinePlace> QuotaAllocator::line(const Account& account, double rate, TimePoint now)
{
    std::map<uint32_t, size_t> countByPriority;
    for (const auto& [vm, open] : account.openClaims) {
        for (const Claim& claim : open.claims)
            countByPriority[claim.priority] += claim.count;
    }
    if (countByPriority.empty() && wholeTokens(account.level) >= 1)
        return {};
    countByPriority.try_emplace(0, 0);
    std::vector<QuotaLinePlace> places;
    double ahead = 0;
    for (const auto& [priority, count] : countByPriority) {
        ahead += static_cast<double>(count);
        // Operations of higher priority that arrive meanwhile come first, except in the turns of the oldest one.
        double rateBefore = 0;
        for (const auto& [earlier, recent] : account.recentGrants)
            rateBefore += earlier < priority ? recent.at(now) / recentGrantsSeconds : 0;
        const double ownRate = std::max(rate - rateBefore, rate / static_cast<double>(tokensByPriority + 1));
        const double seconds = std::max(0.0, ahead + 1 - account.level) / std::max(ownRate, minRatePerSecond);
        places.push_back({ priority, secondsToDuration(seconds) });
    }
    return places;
}

std::vector<QuotaGrant> QuotaAllocator::grant(const VmId& vm, const std::vector<QuotaRequest>& requests,
    const std::vector<OrganisationLimit>& limits, size_t fleetSize, TimePoint now)
{
    std::erase_if(this->servedUntil, [&](const auto& entry) { return entry.second <= now; });
    // VMs that have just joined may have used their static shares elsewhere.
    if (this->servedUntil.count(vm) == 0)
        this->lastVmJoinedAt = now;
    this->servedUntil[vm] = now + grantLifetime;
    const double share = std::min(1.0, static_cast<double>(this->servedUntil.size()) / static_cast<double>(std::max<size_t>(1, fleetSize)));

    std::vector<QuotaGrant> grants;
    for (const QuotaRequest& request : requests) {
        const auto limit = std::find_if(
            limits.begin(), limits.end(), [&](const OrganisationLimit& each) { return each.organisation == request.organisation; });
        if (limit == limits.end())
            continue;
        Account& account = this->accounts[request.organisation];
        // The rest of the last grant returns to the bucket, unless the grant has expired.
        const auto issuedGrant = account.outstandingGrants.find(vm);
        if (issuedGrant != account.outstandingGrants.end()) {
            if (issuedGrant->second.expiresAt > now)
                account.level += std::clamp(request.unused, 0.0, issuedGrant->second.tokens);
            account.outstandingGrants.erase(issuedGrant);
        }
        this->refill(account, *limit, share, now);

        // Waiting operations come first, in one order over all VMs.
        account.openClaims.erase(vm);
        removeOldClaims(account, now);
        QuotaGrant grant;
        grant.organisation = request.organisation;
        std::vector<Claim> own;
        for (const QuotaClaim& claim : request.waiting)
            own.push_back({ claim.priority, now + claim.timeLeft, now - claim.waited, claim.count });
        std::sort(own.begin(), own.end(), [](const Claim& left, const Claim& right) { return left.isBefore(right); });
        serveClaims(account, own, *limit, grant, now);
        if (!own.empty())
            account.openClaims[vm] = { std::move(own), now + claimLifetime };

        // Expected operations get tokens only from what no waiting operation needs.
        size_t claimed = 0;
        for (const auto& [claimant, open] : account.openClaims) {
            for (const Claim& claim : open.claims)
                claimed += claim.count;
        }
        const double rate = limit->ratePerSecond * share;
        account.totalDemand += request.demandPerSecond;
        const double reserved = account.totalDemand > rate ? waitingShareOfBurstWhenOver : waitingShareOfBurst;
        const double spare = account.level - static_cast<double>(claimed) - reserved * limit->burst * share;
        const auto prefetched = static_cast<double>(wholeTokens(std::min(std::round(request.expected), spare * maxShareOfSpare)));
        account.level -= prefetched;
        grant.tokens += prefetched;

        // While VMs join, the share grows, and the line would seem longer than it is.
        if (now >= this->lastVmJoinedAt + claimLifetime || this->servedUntil.size() >= fleetSize)
            grant.line = line(account, rate, now);
        const double part = std::max(request.demandPerSecond / std::max(account.totalDemand, std::numeric_limits<double>::min()),
            1.0 / static_cast<double>(this->servedUntil.size()));
        grant.expectedRate = rate * std::min(1.0, part);
        account.outstandingGrants[vm] = OutstandingGrant { grant.tokens, now + grantLifetime, request.demandPerSecond };
        grants.push_back(std::move(grant));
    }
    return grants;
}

}
