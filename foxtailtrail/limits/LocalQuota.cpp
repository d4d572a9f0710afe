#include "foxtailtrail/limits/LocalQuota.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Requests are at least this far apart; in a large fleet further, to bound the work of the ledger.
    constexpr Duration minAskInterval = std::chrono::milliseconds(60);
    constexpr Duration minAskIntervalLarge = std::chrono::milliseconds(120);
    constexpr size_t largeFleet = 24;
    // A VM asks at least this often. That keeps its part of the rates lent to the ledger, and the news about groups, which travel
    // with requests, fresher than the lease on a primary.
    constexpr Duration maxAskInterval = std::chrono::milliseconds(240);
    // A grant is sized for the expected demand of this time.
    constexpr double grantCoverSeconds = 0.6;
    // Operations beyond the expected demand, for its jitter.
    constexpr double grantReserve = 2;
    // Below this part of the wanted tokens the next request is due.
    constexpr double lowMark = 0.3;
    // A grant below this part of what was wanted shows that the organisation is at its limit.
    constexpr double shortShare = 0.2;
    // How long operations are refused at once after such a grant.
    constexpr Duration shortTime = std::chrono::milliseconds(150);
    // Weight of the newest interval in the demand, for intervals of the longest kind, and the lower bound for a rise.
    constexpr double demandWeight = 0.5;
    constexpr double risingDemandWeight = 0.3;
    // The part of the permitted excess that the burst of all VMs' own parts may take.
    constexpr double ownBurstShareOfExcess = 0.2;
    // Without a grant for this long, three requests in a row have had no answer and the VM uses its own part.
    constexpr Duration ledgerSilence = std::chrono::milliseconds(1400);

}

bool LocalQuota::takeFromStaticShare(OrganisationQuota& holding, const OrganisationLimit& limit, size_t fleetSize, TimePoint now) const
{
    const double parts = static_cast<double>(std::max<size_t>(1, fleetSize));
    const double cap = std::max(1.0, ownBurstShareOfExcess * permittedExcess(limit, this->bounds) / parts);
    if (holding.staticShareFilledAt == TimePoint {})
        holding.staticShareFilledAt = now;
    holding.staticShareLevel += std::chrono::duration<double>(now - holding.staticShareFilledAt).count() * limit.ratePerSecond / parts;
    holding.staticShareLevel = std::min(holding.staticShareLevel, cap);
    holding.staticShareFilledAt = now;
    if (holding.staticShareLevel < 1)
        return false;
    holding.staticShareLevel -= 1;
    return true;
}

QuotaDecision LocalQuota::admit(const OrganisationLimit& limit, size_t fleetSize, TimePoint now, bool hasWaited)
{
    OrganisationQuota& holding = this->quotas[limit.organisation];
    if (!hasWaited)
        holding.arrivals += 1;
    if (now < holding.usableUntil && holding.grantedTokens >= 1) {
        holding.grantedTokens -= 1;
        holding.needsMore = holding.grantedTokens < holding.lastWanted * lowMark;
        return QuotaDecision::Admitted;
    }
    holding.needsMore = true;
    // A process that has just started waits for its first grant.
    const bool ledgerAnswers
        = this->firstRequestAt == TimePoint {} || now < std::max(this->lastGrantAt, this->firstRequestAt) + ledgerSilence;
    if (!ledgerAnswers && now >= holding.usableUntil)
        return this->takeFromStaticShare(holding, limit, fleetSize, now) ? QuotaDecision::Admitted : QuotaDecision::Refused;
    holding.staticShareFilledAt = now;
    if (now < holding.refuseUntil)
        return QuotaDecision::Refused;
    if (!hasWaited)
        holding.waitingCount += 1;
    return QuotaDecision::Wait;
}

std::vector<QuotaRequest> LocalQuota::collectRequests(TimePoint now)
{
    const double elapsed
        = this->lastRequestAt == TimePoint {} ? 1.0 : std::max(0.05, std::chrono::duration<double>(now - this->lastRequestAt).count());
    const double usualWeight = std::min(1.0, demandWeight * elapsed / std::chrono::duration<double>(maxAskInterval).count());
    std::vector<QuotaRequest> asks;
    for (auto& [organisation, holding] : this->quotas) {
        // A rise is followed faster than a fall.
        const double observed = holding.arrivals / elapsed;
        const double weight = observed > holding.demandPerSecond ? std::max(usualWeight, risingDemandWeight) : usualWeight;
        holding.demandPerSecond += weight * (observed - holding.demandPerSecond);
        holding.arrivals = 0;
        if (!holding.needsMore)
            continue;
        // An organisation with rare operations here gets one token for each, so that few lie unused in a large fleet.
        const double demand = holding.demandPerSecond;
        holding.lastWanted = holding.waitingCount + demand * grantCoverSeconds + std::min(grantReserve, demand);
        asks.push_back({ organisation, holding.lastWanted, now < holding.usableUntil ? holding.grantedTokens : 0 });
        // What is returned must not be used while the request is on its way.
        holding.grantedTokens = 0;
        holding.needsMore = false;
        holding.waitingCount = 0;
    }
    return asks;
}

void LocalQuota::applyGrants(const std::vector<QuotaGrant>& grants, TimePoint requestSentAt, TimePoint now)
{
    this->lastGrantAt = now;
    for (const QuotaGrant& grant : grants) {
        OrganisationQuota& holding = this->quotas[grant.organisation];
        holding.grantedTokens = grant.tokens;
        holding.usableUntil = requestSentAt + grantLifetime;
        holding.refuseUntil = grant.tokens < holding.lastWanted * shortShare ? now + shortTime : TimePoint {};
    }
}

bool LocalQuota::isRequestDue(size_t fleetSize, TimePoint now) const
{
    if (now < this->lastRequestAt + (fleetSize < largeFleet ? minAskInterval : minAskIntervalLarge))
        return false;
    if (now >= this->lastRequestAt + maxAskInterval)
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
