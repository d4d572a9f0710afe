#include "foxtailtrail/limits/QuotaShare.h"

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

bool QuotaShare::takeOwnPart(Holding& holding, const OrganisationLimit& limit, size_t fleetSize, TimePoint now) const
{
    const double parts = static_cast<double>(std::max<size_t>(1, fleetSize));
    const double cap = std::max(1.0, ownBurstShareOfExcess * permittedExcess(limit, this->bounds) / parts);
    if (holding.ownFilledAt == TimePoint {})
        holding.ownFilledAt = now;
    holding.ownLevel += std::chrono::duration<double>(now - holding.ownFilledAt).count() * limit.ratePerSecond / parts;
    holding.ownLevel = std::min(holding.ownLevel, cap);
    holding.ownFilledAt = now;
    if (holding.ownLevel < 1)
        return false;
    holding.ownLevel -= 1;
    return true;
}

QuotaVerdict QuotaShare::admit(const OrganisationLimit& limit, size_t fleetSize, TimePoint now, bool hasWaited)
{
    Holding& holding = this->holdings[limit.organisation];
    if (!hasWaited)
        holding.arrivals += 1;
    if (now < holding.usableUntil && holding.granted >= 1) {
        holding.granted -= 1;
        holding.needsMore = holding.granted < holding.lastWanted * lowMark;
        return QuotaVerdict::Admitted;
    }
    holding.needsMore = true;
    // A process that has just started waits for its first grant.
    const bool ledgerAnswers = this->firstAsk == TimePoint {} || now < std::max(this->lastGrant, this->firstAsk) + ledgerSilence;
    if (!ledgerAnswers && now >= holding.usableUntil)
        return this->takeOwnPart(holding, limit, fleetSize, now) ? QuotaVerdict::Admitted : QuotaVerdict::Refused;
    holding.ownFilledAt = now;
    if (now < holding.shortUntil)
        return QuotaVerdict::Refused;
    if (!hasWaited)
        holding.waiting += 1;
    return QuotaVerdict::Wait;
}

std::vector<QuotaAsk> QuotaShare::asks(TimePoint now)
{
    const double elapsed = this->lastAsk == TimePoint {} ? 1.0 : std::max(0.05, std::chrono::duration<double>(now - this->lastAsk).count());
    const double usualWeight = std::min(1.0, demandWeight * elapsed / std::chrono::duration<double>(maxAskInterval).count());
    std::vector<QuotaAsk> asks;
    for (auto& [organisation, holding] : this->holdings) {
        // A rise is followed faster than a fall.
        const double observed = holding.arrivals / elapsed;
        const double weight = observed > holding.demandPerSecond ? std::max(usualWeight, risingDemandWeight) : usualWeight;
        holding.demandPerSecond += weight * (observed - holding.demandPerSecond);
        holding.arrivals = 0;
        if (!holding.needsMore)
            continue;
        // An organisation with rare operations here gets one token for each, so that few lie unused in a large fleet.
        const double demand = holding.demandPerSecond;
        holding.lastWanted = holding.waiting + demand * grantCoverSeconds + std::min(grantReserve, demand);
        asks.push_back({ organisation, holding.lastWanted, now < holding.usableUntil ? holding.granted : 0 });
        // What is returned must not be used while the request is on its way.
        holding.granted = 0;
        holding.needsMore = false;
        holding.waiting = 0;
    }
    return asks;
}

void QuotaShare::take(const std::vector<QuotaGrant>& grants, TimePoint requestSentAt, TimePoint now)
{
    this->lastGrant = now;
    for (const QuotaGrant& grant : grants) {
        Holding& holding = this->holdings[grant.organisation];
        holding.granted = grant.tokens;
        holding.usableUntil = requestSentAt + grantLifetime;
        holding.shortUntil = grant.tokens < holding.lastWanted * shortShare ? now + shortTime : TimePoint {};
    }
}

bool QuotaShare::isAskDue(size_t fleetSize, TimePoint now) const
{
    if (now < this->lastAsk + (fleetSize < largeFleet ? minAskInterval : minAskIntervalLarge))
        return false;
    if (now >= this->lastAsk + maxAskInterval)
        return true;
    return std::any_of(this->holdings.begin(), this->holdings.end(), [&](const auto& entry) { return entry.second.needsMore; });
}

void QuotaShare::noteAsked(TimePoint now)
{
    this->lastAsk = now;
    if (this->firstAsk == TimePoint {})
        this->firstAsk = now;
}

}
