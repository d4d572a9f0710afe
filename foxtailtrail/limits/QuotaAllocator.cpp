#include "foxtailtrail/limits/QuotaAllocator.h"

#include <algorithm>

namespace foxtail {

namespace {

    // The part of the permitted excess that unused grants may take.
    constexpr double unusedShareOfExcess = 0.45;
    // The part of it with which a new ledger starts, as it does not know what an earlier one has lent. The rest covers the VMs that
    // use their own part.
    constexpr double startShareOfExcess = 0.35;
    // The share of what is there that one request may take, so that the VMs that ask next find something.
    constexpr double shareOfLevel = 0.5;

}

double permittedExcess(const OrganisationLimit& limit, const QuotaBounds& bounds)
{
    const double window = std::chrono::duration<double>(bounds.window).count();
    return bounds.excessShare * (limit.ratePerSecond * window + limit.burst) + bounds.slack;
}

void QuotaAllocator::refill(Account& account, const OrganisationLimit& limit, double share, TimePoint now) const
{
    double outstanding = 0;
    for (auto loan = account.outstandingGrants.begin(); loan != account.outstandingGrants.end();) {
        if (loan->second.expiresAt <= now) {
            loan = account.outstandingGrants.erase(loan);
        } else {
            outstanding += loan->second.tokens;
            ++loan;
        }
    }
    const double excess = permittedExcess(limit, this->bounds);
    if (account.filledAt == TimePoint {}) {
        // While this ledger has lent to the fleet, an organisation that nobody asked for has used nothing.
        account.filledAt = this->lastVmJoinedAt;
        account.level = startShareOfExcess * excess;
    }
    const double elapsed = std::chrono::duration<double>(now - account.filledAt).count();
    account.filledAt = now;
    account.level += elapsed * limit.ratePerSecond * share;
    const double excessLoans = std::max(0.0, outstanding - unusedShareOfExcess * excess * share);
    account.level = std::min(account.level, std::max(0.0, limit.burst * share - excessLoans));
}

std::vector<QuotaGrant> QuotaAllocator::grant(
    const VmId& vm, const std::vector<QuotaRequest>& asks, const std::vector<OrganisationLimit>& limits, size_t fleetSize, TimePoint now)
{
    std::erase_if(this->servedUntil, [&](const auto& contact) { return contact.second <= now; });
    // VMs that have just come may have used their parts elsewhere.
    if (this->servedUntil.count(vm) == 0)
        this->lastVmJoinedAt = now;
    this->servedUntil[vm] = now + grantLifetime;
    const double share = std::min(1.0, static_cast<double>(this->servedUntil.size()) / static_cast<double>(std::max<size_t>(1, fleetSize)));

    std::vector<QuotaGrant> grants;
    for (const QuotaRequest& ask : asks) {
        const auto limit = std::find_if(
            limits.begin(), limits.end(), [&](const OrganisationLimit& each) { return each.organisation == ask.organisation; });
        if (limit == limits.end())
            continue;
        Account& account = this->accounts[ask.organisation];
        // What is left of the last grant comes back, unless it has expired.
        const auto loan = account.outstandingGrants.find(vm);
        if (loan != account.outstandingGrants.end()) {
            if (loan->second.expiresAt > now)
                account.level += std::clamp(ask.unused, 0.0, loan->second.tokens);
            account.outstandingGrants.erase(loan);
        }
        this->refill(account, *limit, share, now);
        const double tokens = std::min(ask.wanted, std::max(account.level * shareOfLevel, std::min(account.level, 1.0)));
        account.level -= tokens;
        account.outstandingGrants[vm] = OutstandingGrant { tokens, now + grantLifetime };
        grants.push_back({ ask.organisation, tokens });
    }
    return grants;
}

}
