#include "foxtailtrail/limits/LocalQuota.h"

#include <algorithm>
#include <cmath>

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
    // A grant below this fraction of the wanted tokens shows that the organisation is at its limit.
    constexpr double exhaustedGrantShare = 0.2;
    // How long operations are refused immediately after such a grant.
    constexpr Duration exhaustedLifetime = std::chrono::milliseconds(150);
    // The weight of the newest interval in the demand estimate, for intervals of the maximum length, and its minimum when the
    // demand rises.
    constexpr double demandWeight = 0.5;
    constexpr double minRisingDemandWeight = 0.3;
    // The fraction of the permitted excess that the bursts of the static shares of all VMs may use.
    constexpr double staticBurstShareOfExcess = 0.2;
    // Without a grant for this long, three consecutive requests have had no reply, and the VM uses its static share.
    constexpr Duration allocatorTimeout = std::chrono::milliseconds(1400);

}

bool LocalQuota::takeFromStaticShare(OrganisationQuota& quota, const OrganisationLimit& limit, size_t fleetSize, TimePoint now) const
{
    const double vmCount = static_cast<double>(std::max<size_t>(1, fleetSize));
    const double maxLevel = std::max(1.0, staticBurstShareOfExcess * permittedExcess(limit, this->bounds) / vmCount);
    if (quota.staticShareFilledAt == TimePoint {})
        quota.staticShareFilledAt = now;
    quota.staticShareLevel += std::chrono::duration<double>(now - quota.staticShareFilledAt).count() * limit.ratePerSecond / vmCount;
    quota.staticShareLevel = std::min(quota.staticShareLevel, maxLevel);
    quota.staticShareFilledAt = now;
    if (quota.staticShareLevel < 1)
        return false;
    quota.staticShareLevel -= 1;
    return true;
}

QuotaDecision LocalQuota::admit(const OrganisationLimit& limit, size_t fleetSize, TimePoint now, bool hasWaited)
{
    OrganisationQuota& quota = this->quotas[limit.organisation];
    if (hasWaited)
        quota.waitingCount -= 1;
    else
        quota.arrivals += 1;
    if (now < quota.usableUntil && quota.grantedTokens >= 1) {
        quota.grantedTokens -= 1;
        quota.needsMore = quota.grantedTokens < quota.lastWanted * lowTokenShare;
        return QuotaDecision::Admitted;
    }
    quota.needsMore = true;
    // A process that has just started waits for its first grant.
    const bool isAllocatorAvailable
        = this->firstRequestAt == TimePoint {} || now < std::max(this->lastGrantAt, this->firstRequestAt) + allocatorTimeout;
    if (!isAllocatorAvailable && now >= quota.usableUntil)
        return this->takeFromStaticShare(quota, limit, fleetSize, now) ? QuotaDecision::Admitted : QuotaDecision::Refused;
    quota.staticShareFilledAt = now;
    if (now < quota.refuseUntil)
        return QuotaDecision::Refused;
    quota.waitingCount += 1;
    return QuotaDecision::Wait;
}

QuotaRefusalCause LocalQuota::stopWaiting(const OrganisationId& organisation, TimePoint waitingSince)
{
    OrganisationQuota& quota = this->quotas[organisation];
    quota.waitingCount -= 1;
    if (quota.grantedAt >= waitingSince)
        return QuotaRefusalCause::GrantTooSmall;
    return quota.requestedAt >= waitingSince ? QuotaRefusalCause::NoReply : QuotaRefusalCause::NotRequested;
}

QuotaRefusalCause LocalQuota::refusalCause(const OrganisationId& organisation, TimePoint now) const
{
    const auto found = this->quotas.find(organisation);
    return found != this->quotas.end() && now < found->second.refuseUntil ? QuotaRefusalCause::OrganisationExhausted
                                                                          : QuotaRefusalCause::StaticShareUsed;
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
        if (!quota.needsMore)
            continue;
        // An organisation with rare operations on this VM gets one token for each, so that few tokens are idle in a large fleet.
        const double demand = quota.demandPerSecond;
        const double coverage = std::clamp((quota.recentArrivals - 1) / (recentArrivalsForFullCoverage - 1), 0.0, 1.0);
        quota.lastWanted = quota.waitingCount + coverage * (demand * grantCoverageSeconds + std::min(grantReserveTokens, demand));
        requests.push_back({ organisation, quota.lastWanted, now < quota.usableUntil ? quota.grantedTokens : 0 });
        // The request returns these tokens, so they must not be used while it is in flight.
        quota.grantedTokens = 0;
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
        quota.grantedTokens = grant.tokens;
        quota.grantedAt = now;
        quota.usableUntil = requestSentAt + grantLifetime;
        quota.refuseUntil = grant.tokens < quota.lastWanted * exhaustedGrantShare ? now + exhaustedLifetime : TimePoint {};
    }
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
