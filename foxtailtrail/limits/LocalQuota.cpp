#include "foxtailtrail/limits/LocalQuota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtail {

namespace {

    // The minimum interval between requests, which is longer in a large fleet to bound the load of the allocator.
    constexpr Duration minRequestInterval = std::chrono::milliseconds(60);
    constexpr Duration minRequestIntervalLargeFleet = std::chrono::milliseconds(120);
    constexpr size_t largeFleetSize = 24;
    // The maximum interval between requests. It keeps the VM's static shares lent to the allocator, and keeps the group updates
    // that travel with the requests fresher than the lease of a primary.
    constexpr Duration maxRequestInterval = std::chrono::milliseconds(240);
    // A grant covers the expected demand of this time.
    constexpr double grantCoverageSeconds = 0.6;
    // Operations on top of the expected demand, for its variation.
    constexpr double grantReserveTokens = 2;
    // The time over which recent operations are counted. The demand estimate is too high right after a rare operation, so tokens for
    // expected operations are wanted only from the second recent operation on, and all of them from the one given below.
    constexpr double recentPeriodSeconds = 1;
    constexpr double recentArrivalsForFullCoverage = 4;
    // A new request is due below this fraction of the wanted tokens.
    constexpr double lowTokenShare = 0.3;
    // The places in the line are known for this time after the reply: two requests without a reply.
    constexpr Duration lineLifetime = std::chrono::milliseconds(300);
    // The waiting operations that a request lists one by one; further ones are listed by priority, which bounds its size.
    constexpr size_t maxSingleClaims = 6;
    constexpr size_t maxClaims = 12;
    // Longer times are not distinguished in claims.
    constexpr Duration maxClaimTime = std::chrono::seconds(60);
    // Used where a rate is 0, so that a time stays finite.
    constexpr double minRatePerSecond = 1e-3;
    // The weight of the newest interval in the demand estimate, for intervals of the maximum length, and its minimum when the
    // demand rises.
    constexpr double demandWeight = 0.5;
    constexpr double minRisingDemandWeight = 0.3;
    // The fraction of the permitted excess that the bursts of the static shares of all VMs may use.
    constexpr double staticBurstShareOfExcess = 0.2;
    // Without a grant for this long, three consecutive requests have had no reply, and the VM uses its static share.
    constexpr Duration allocatorTimeout = std::chrono::milliseconds(1400);

    Duration secondsToDuration(double seconds) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)); }

}

bool LocalQuota::takeFromStaticShare(OrganisationQuota& quota, const OrganisationLimit& limit, size_t fleetSize, TimePoint now) const
{
    const double vmCount = static_cast<double>(std::max<size_t>(1, fleetSize));
    const double maxLevel = std::max(1.0, staticBurstShareOfExcess * permittedExcess(limit, this->bounds) / vmCount);
    // The allocator counts the share as lent for the lifetime of its last grant. Since then the VM has not lent it, also that of an
    // organisation that it sees for the first time.
    if (quota.staticShareFilledAt == TimePoint {})
        quota.staticShareFilledAt
            = this->lastGrantAt == TimePoint {} ? this->firstRequestAt : std::max(this->lastGrantAt + grantLifetime, this->firstRequestAt);
    quota.staticShareLevel += std::chrono::duration<double>(now - quota.staticShareFilledAt).count() * limit.ratePerSecond / vmCount;
    quota.staticShareLevel = std::min(quota.staticShareLevel, maxLevel);
    quota.staticShareFilledAt = now;
    if (quota.staticShareLevel < 1)
        return false;
    quota.staticShareLevel -= 1;
    return true;
}

bool LocalQuota::isAllocatorAvailable(TimePoint now) const
{
    // A process that has just started waits for its first grant.
    return this->firstRequestAt == TimePoint {} || now < std::max(this->lastGrantAt, this->firstRequestAt) + allocatorTimeout;
}

bool LocalQuota::isLineKnown(const OrganisationQuota& quota, TimePoint now)
{
    return !quota.line.empty() && now < quota.grantedAt + lineLifetime;
}

bool LocalQuota::areAllClaimedBefore(const OrganisationQuota& quota, const QuotaOperation& operation, double tokens, TimePoint now)
{
    double claimed = 0;
    auto oldest = quota.waiting.end();
    if (quota.oldestFirst > 0 && !quota.waiting.empty()) {
        oldest = std::min_element(quota.waiting.begin(), quota.waiting.end(),
            [](const QuotaOperation& left, const QuotaOperation& right) { return left.arrivedAt < right.arrivedAt; });
        if (operation.arrivedAt <= oldest->arrivedAt)
            return false;
        claimed = 1;
    }
    for (auto other = quota.waiting.begin(); other != quota.waiting.end() && claimed + 1 <= tokens && *other < operation; ++other)
        claimed += other != oldest && now < other->giveUpAt ? 1 : 0;
    return claimed + 1 > tokens;
}

TimePoint LocalQuota::tokenTime(
    const OrganisationQuota& quota, const OrganisationLimit& limit, size_t fleetSize, const QuotaOperation& operation, TimePoint now) const
{
    if (!this->isAllocatorAvailable(now)) {
        const double rate = std::max(minRatePerSecond, limit.ratePerSecond / static_cast<double>(std::max<size_t>(1, fleetSize)));
        const double needed = static_cast<double>(quota.waiting.size()) + 1 - quota.staticShareLevel;
        return now + secondsToDuration(std::max(0.0, needed) / rate);
    }
    if (!isLineKnown(quota, now))
        return now;
    Duration delay { 0 };
    for (const QuotaLinePlace& place : quota.line) {
        if (place.priority <= operation.priority)
            delay = place.delay;
    }
    // Operations of this VM that the allocator does not know yet show how many of all VMs come before this one; one alone shows little.
    size_t unclaimed = 0;
    for (auto other = quota.waiting.begin(); other != quota.waiting.end() && *other < operation; ++other)
        unclaimed += other->arrivedAt >= quota.requestedAt ? 1 : 0;
    const double behind = unclaimed > 1 ? static_cast<double>(unclaimed - 1) : 0;
    return std::max(now, quota.grantedAt + delay) + secondsToDuration(behind / std::max(minRatePerSecond, quota.expectedRate));
}

QuotaDecision LocalQuota::admit(
    const OrganisationLimit& limit, size_t fleetSize, TimePoint now, bool hasWaited, const QuotaOperation& operation)
{
    OrganisationQuota& quota = this->quotas[limit.organisation];
    if (!hasWaited)
        quota.arrivals += 1;
    else if (const auto found = quota.waiting.find(operation); found != quota.waiting.end())
        quota.waiting.erase(found);
    if (now < quota.usableUntil && quota.grantedTokens >= 1 && !areAllClaimedBefore(quota, operation, quota.grantedTokens, now)) {
        quota.grantedTokens -= 1;
        quota.usage.used += 1;
        quota.oldestFirst = quota.oldestFirst > 0 ? quota.oldestFirst - 1 : 0;
        quota.needsMore = quota.grantedTokens < quota.lastWanted * lowTokenShare || !quota.waiting.empty();
        return QuotaDecision::Admitted;
    }
    quota.needsMore = true;
    if (!this->isAllocatorAvailable(now) && now >= quota.usableUntil) {
        if (this->takeFromStaticShare(quota, limit, fleetSize, now)) {
            quota.usage.used += 1;
            return QuotaDecision::Admitted;
        }
    } else
        quota.staticShareFilledAt = now;
    // An operation that waits keeps its place; one that arrives waits only if a token can be there in time.
    if (!hasWaited && this->tokenTime(quota, limit, fleetSize, operation, now) > operation.giveUpAt)
        return QuotaDecision::Refused;
    quota.waiting.insert(operation);
    return QuotaDecision::Wait;
}

QuotaRefusalCause LocalQuota::stopWaiting(const OrganisationId& organisation, TimePoint waitingSince, const QuotaOperation& operation)
{
    OrganisationQuota& quota = this->quotas[organisation];
    if (const auto found = quota.waiting.find(operation); found != quota.waiting.end())
        quota.waiting.erase(found);
    if (quota.grantedAt >= waitingSince)
        return QuotaRefusalCause::GrantTooSmall;
    return quota.requestedAt >= waitingSince ? QuotaRefusalCause::NoReply : QuotaRefusalCause::NotRequested;
}

QuotaRefusalCause LocalQuota::refusalCause(const OrganisationId& organisation, TimePoint now) const
{
    const auto found = this->quotas.find(organisation);
    return found != this->quotas.end() && isLineKnown(found->second, now) ? QuotaRefusalCause::OrganisationExhausted
                                                                          : QuotaRefusalCause::StaticShareUsed;
}

TimePoint LocalQuota::takeReturnTime(const OrganisationLimit& limit, size_t fleetSize, TimePoint now, const QuotaOperation& operation)
{
    OrganisationQuota& quota = this->quotas[limit.organisation];
    const double equalPart = limit.ratePerSecond / static_cast<double>(std::max<size_t>(1, fleetSize));
    // Without a line, nothing shows that the organisation is short: the VM can expect what its callers ask for.
    const double expectedRate
        = isLineKnown(quota, now) ? quota.expectedRate : std::max(equalPart, std::min(limit.ratePerSecond, quota.demandPerSecond));
    const double rate = this->isAllocatorAvailable(now) ? expectedRate : equalPart;
    const Duration step = secondsToDuration(1 / std::max(minRatePerSecond, rate));
    const TimePoint tokenAt = this->tokenTime(quota, limit, fleetSize, operation, now);
    // Callers that do not return leave their places, so the places begin again after a window.
    if (quota.lastReturnAt < tokenAt || quota.lastReturnAt > tokenAt + this->bounds.window)
        quota.lastReturnAt = tokenAt;
    quota.lastReturnAt += std::min(step, this->bounds.window);
    return quota.lastReturnAt;
}

std::vector<QuotaClaim> LocalQuota::claimsOf(const OrganisationQuota& quota, TimePoint now)
{
    std::vector<QuotaClaim> claims;
    for (const QuotaOperation& operation : quota.waiting) {
        if (operation.giveUpAt <= now)
            continue;
        const Duration timeLeft = operation.giveUpAt > now + maxClaimTime ? maxClaimTime : operation.giveUpAt - now;
        const Duration waited = std::clamp(now - operation.arrivedAt, Duration { 0 }, maxClaimTime);
        const bool isListedAlone
            = claims.size() < maxSingleClaims || (claims.size() < maxClaims && claims.back().priority != operation.priority);
        if (isListedAlone) {
            claims.push_back({ operation.priority, timeLeft, waited, 1 });
            continue;
        }
        claims.back().waited = std::max(claims.back().waited, waited);
        claims.back().count += 1;
    }
    return claims;
}

std::vector<QuotaRequest> LocalQuota::collectRequests(TimePoint now)
{
    const double elapsed
        = this->lastRequestAt == TimePoint {} ? 1.0 : std::max(0.05, std::chrono::duration<double>(now - this->lastRequestAt).count());
    const double usualWeight = std::min(1.0, demandWeight * elapsed / std::chrono::duration<double>(maxRequestInterval).count());
    std::vector<QuotaRequest> requests;
    for (auto& [organisation, quota] : this->quotas) {
        // The estimate follows a rise faster than a fall.
        const double observed = quota.arrivals / elapsed;
        const double weight = observed > quota.demandPerSecond ? std::max(usualWeight, minRisingDemandWeight) : usualWeight;
        quota.demandPerSecond += weight * (observed - quota.demandPerSecond);
        quota.recentArrivals = quota.recentArrivals * std::exp(-elapsed / recentPeriodSeconds) + quota.arrivals;
        quota.arrivals = 0;
        if (now >= quota.usableUntil)
            quota.usage.expired += std::exchange(quota.grantedTokens, 0);
        // Tokens for expected operations return early when other VMs lack them.
        const bool returnsTokens = quota.grantedTokens >= 1 && !quota.line.empty();
        if (!quota.needsMore && !returnsTokens)
            continue;
        // An organisation with rare operations on this VM gets one token for each, so that few tokens are idle in a large fleet.
        const double demand = quota.demandPerSecond;
        const double coverage = std::clamp((quota.recentArrivals - 1) / (recentArrivalsForFullCoverage - 1), 0.0, 1.0);
        const double expected = coverage * (demand * grantCoverageSeconds + std::min(grantReserveTokens, demand));
        quota.lastWanted = static_cast<double>(quota.waiting.size()) + expected;
        requests.push_back({ organisation, claimsOf(quota, now), expected, quota.grantedTokens, demand });
        // The request returns these tokens, so they must not be used while it is in flight.
        quota.usage.returned += std::exchange(quota.grantedTokens, 0);
        quota.oldestFirst = 0;
        quota.needsMore = false;
        quota.requestedAt = now;
    }
    return requests;
}

void LocalQuota::applyGrants(const std::vector<QuotaGrant>& grants, TimePoint requestSentAt, TimePoint now)
{
    this->lastGrantAt = now;
    for (const QuotaGrant& grant : grants) {
        OrganisationQuota& quota = this->quotas[grant.organisation];
        // A late reply replaces what is left of the one before it.
        quota.usage.expired += quota.grantedTokens;
        quota.usage.granted += grant.tokens;
        quota.grantedTokens = grant.tokens;
        quota.oldestFirst = grant.oldestFirst;
        quota.line = grant.line;
        quota.expectedRate = grant.expectedRate;
        quota.grantedAt = now;
        quota.usableUntil = requestSentAt + grantLifetime;
    }
}

std::map<OrganisationId, QuotaUsage> LocalQuota::takeUsage()
{
    std::map<OrganisationId, QuotaUsage> usages;
    for (auto& [organisation, quota] : this->quotas) {
        if (!quota.usage.isEmpty())
            usages.emplace(organisation, std::exchange(quota.usage, {}));
    }
    return usages;
}

bool LocalQuota::isRequestDue(size_t fleetSize, TimePoint now) const
{
    if (now < this->lastRequestAt + (fleetSize < largeFleetSize ? minRequestInterval : minRequestIntervalLargeFleet))
        return false;
    if (now >= this->lastRequestAt + maxRequestInterval)
        return true;
    return std::any_of(this->quotas.begin(), this->quotas.end(), [&](const auto& entry) { return entry.second.needsMore; });
}

void LocalQuota::recordRequestSent(TimePoint now)
{
    this->lastRequestAt = now;
    if (this->firstRequestAt == TimePoint {})
        this->firstRequestAt = now;
}

}
