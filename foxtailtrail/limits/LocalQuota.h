#pragma once

#include "foxtailtrail/limits/QuotaAllocator.h"

#include <map>
#include <vector>

namespace foxtail {

// How an operation fares at the quota of its organisation.
enum class QuotaDecision : uint8_t {
    Admitted,
    // The ledger may have more; the operation waits for the next grant.
    Wait,
    // The organisation is over its limit.
    Refused,
};

// The operations that this VM may admit. While a ledger answers it uses grants; otherwise its own equal part of each rate.
class LocalQuota {
public:
    explicit LocalQuota(QuotaBounds bounds)
        : bounds(bounds)
    {
    }

    // Takes one operation from the share of the organisation if there is one. One that has waited already is not new demand.
    QuotaDecision admit(const OrganisationLimit&, size_t fleetSize, TimePoint now, bool hasWaited = false);

    // What to ask for now, for every organisation with recent demand.
    std::vector<QuotaRequest> collectRequests(TimePoint now);
    // Takes the answer to a request that was sent at the given time.
    void applyGrants(const std::vector<QuotaGrant>&, TimePoint requestSentAt, TimePoint now);

    // Whether a new request is due: an organisation is short of tokens, or the last request is long ago.
    bool isRequestDue(size_t fleetSize, TimePoint now) const;
    // The request was sent, so the next one is due later.
    void recordRequestSent(TimePoint now);

private:
    struct OrganisationQuota {
        double grantedTokens = 0;
        TimePoint usableUntil {};
        // Operations that came since the last request, admitted or not, and the demand a second worked out from them.
        double arrivals = 0;
        double demandPerSecond = 0;
        // The last grant was smaller than what was wanted.
        TimePoint refuseUntil {};
        double lastWanted = 0;
        bool needsMore = false;
        // Operations that wait for the next grant.
        double waitingCount = 0;
        // The VM's own part, used without a ledger.
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
