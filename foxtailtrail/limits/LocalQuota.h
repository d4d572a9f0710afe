#pragma once

#include "foxtailtrail/limits/QuotaAllocator.h"

#include <array>
#include <map>
#include <string_view>
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

// Why an operation was refused, for the log and the metrics.
enum class QuotaRefusalCause : uint8_t {
    // The last grant was much smaller than wanted, so operations are refused without a wait.
    OrganisationExhausted,
    // The operation waited, and the grants that arrived meanwhile had no token for it.
    GrantTooSmall,
    // The operation waited, and its request had no reply.
    NoReply,
    // The operation waited, and no request was sent: this VM had no allocator, or still awaited the reply to an earlier request.
    NotRequested,
    // There was no allocator, and the static share was used up.
    StaticShareUsed,
};

constexpr std::array<std::string_view, 5> quotaRefusalCauseNames { "OrganisationExhausted", "GrantTooSmall", "NoReply", "NotRequested",
    "StaticShareUsed" };

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
    // Records that an operation that has waited since the given time is not evaluated again, and returns why it got no token.
    QuotaRefusalCause stopWaiting(const OrganisationId&, TimePoint waitingSince);
    // Returns why the operation that admit() has just refused was refused.
    QuotaRefusalCause refusalCause(const OrganisationId&, TimePoint now) const;

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
        // The time of the last request, and of the last grant, for this organisation.
        TimePoint requestedAt {};
        TimePoint grantedAt {};
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
