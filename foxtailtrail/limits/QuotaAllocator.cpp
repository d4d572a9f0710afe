#include "foxtailtrail/limits/QuotaAllocator.h"

#include <algorithm>

namespace foxtail {

namespace {

    // The fraction of the permitted excess that unused grants may use.
    constexpr double unusedShareOfExcess = 0.45;
    // The fraction of the permitted excess with which a new allocator starts, because it does not know what an earlier one has lent.
    // The rest covers the VMs that use their static share.
    constexpr double initialShareOfExcess = 0.35;
    // The fraction of the available tokens that one request may receive, so that tokens are left for the VMs that send requests
    // next.
    constexpr double maxShareOfLevel = 0.5;

}

double permittedExcess(const OrganisationLimit& limit, const QuotaBounds& bounds)
{
    const double window = std::chrono::duration<double>(bounds.window).count();
    return bounds.excessShare * (limit.ratePerSecond * window + limit.burst) + bounds.slack;
}

void QuotaAllocator::refill(Account& account, const OrganisationLimit& limit, double share, TimePoint now) const
{
    double outstanding = 0;
    for (auto issuedGrant = account.outstandingGrants.begin(); issuedGrant != account.outstandingGrants.end();) {
        if (issuedGrant->second.expiresAt <= now) {
            issuedGrant = account.outstandingGrants.erase(issuedGrant);
        } else {
            outstanding += issuedGrant->second.tokens;
            ++issuedGrant;
        }
    }
    const double excess = permittedExcess(limit, this->bounds);
    if (account.filledAt == TimePoint {}) {
        // While this allocator served the fleet, an organisation for which no VM sent a request has used no operations.
        account.filledAt = this->lastVmJoinedAt;
        account.level = initialShareOfExcess * excess;
    }
    const double elapsed = std::chrono::duration<double>(now - account.filledAt).count();
    account.filledAt = now;
    account.level += elapsed * limit.ratePerSecond * share;
    const double excessGrants = std::max(0.0, outstanding - unusedShareOfExcess * excess * share);
    account.level = std::min(account.level, std::max(0.0, limit.burst * share - excessGrants));
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
        const double tokens = std::min(request.wanted, std::max(account.level * maxShareOfLevel, std::min(account.level, 1.0)));
        account.level -= tokens;
        account.outstandingGrants[vm] = OutstandingGrant { tokens, now + grantLifetime };
        grants.push_back({ request.organisation, tokens });
    }
    return grants;
}

}
