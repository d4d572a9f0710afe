#pragma once

#include "foxtailtrail/limits/QuotaAllocator.h"

#include <map>
#include <vector>

namespace foxtail {

// The decision on an operation by the quota of its organisation.
enum class QuotaDecision : uint8_t {
    Admitted,
    // The allocator may have more; the operation waits for the next grant.
    Wait,
    // The organisation is over its limit.
    Refused,
};

// The operations that this VM may admit. While a quota allocator replies, it uses grants; otherwise it uses its static share of
// each rate.
class LocalQuota {
public:
    explicit LocalQuota(QuotaBounds bounds)
        : bounds(bounds)
    {
    }

    // Admits one operation of the organisation if the quota allows it. An operation that has waited before is not counted as new
    // demand. One that waits is requested again until it is evaluated again or stops waiting, as a message may be lost.
    QuotaDecision admit(const OrganisationLimit&, size_t fleetSize, TimePoint now, bool hasWaited = false);
    // Records that a waiting operation is not evaluated again.
    void stopWaiting(const OrganisationId&);

    // Returns the requests to send now, for every organisation that needs more tokens.
    std::vector<QuotaRequest> collectRequests(TimePoint now);
    // Applies the grants of a request that was sent at the given time.
    void applyGrants(const std::vector<QuotaGrant>&, TimePoint requestSentAt, TimePoint now);

    // Returns whether a new request is due: an organisation needs tokens, or the last request was long ago.
    bool isRequestDue(size_t fleetSize, TimePoint now) const;
    // Records that a request was sent, which delays the next one.
    void recordRequestSent(TimePoint now);

private:
    struct OrganisationQuota {
        double grantedTokens = 0;
        TimePoint usableUntil {};
        // Operations that arrived since the last request, admitted or not, and the estimated demand per second.
        double arrivals = 0;
        double demandPerSecond = 0;
        // Operations of about the last second; older ones count less.
        double recentArrivals = 0;
        // Operations are refused until then, because the last grant was much smaller than wanted.
        TimePoint refuseUntil {};
        double lastWanted = 0;
        bool needsMore = false;
        // Operations that wait for the next grant.
        double waitingCount = 0;
        // The tokens of the static share, used without an allocator.
        double staticShareLevel = 0;
        TimePoint staticShareFilledAt {};
    };
    bool takeFromStaticShare(OrganisationQuota&, const OrganisationLimit&, size_t fleetSize, TimePoint now) const;

    QuotaBounds bounds;
    std::map<OrganisationId, OrganisationQuota> quotas;
    TimePoint firstRequestAt {};
    TimePoint lastRequestAt {};
    TimePoint lastGrantAt {};
};

}
