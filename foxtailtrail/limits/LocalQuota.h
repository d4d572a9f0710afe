#pragma once

#include "foxtailtrail/limits/QuotaAllocator.h"

#include <array>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
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
    // The organisation is short of tokens, and the operation's place in the line is later than it may wait.
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

// What became of the tokens of one organisation on this VM.
struct QuotaUsage {
    double granted = 0;
    // Of grants and of the static share.
    double used = 0;
    // Returned to the allocator unused, and lost at the end of the grant's lifetime.
    double returned = 0;
    double expired = 0;
    bool isEmpty() const { return this->granted + this->used + this->returned + this->expired == 0; }
};

// An operation that asks for a token.
struct QuotaOperation {
    // 0 is the highest priority.
    uint32_t priority = 0;
    // How long it may wait for a token.
    TimePoint giveUpAt = TimePoint::max();
    TimePoint arrivedAt {};
    // The order in which waiting operations get tokens.
    bool operator<(const QuotaOperation& other) const
    {
        return std::tie(this->priority, this->giveUpAt, this->arrivedAt) < std::tie(other.priority, other.giveUpAt, other.arrivedAt);
    }
};

// The operations that this VM may admit. While a quota allocator replies, it uses grants; otherwise it uses its static share of
// each rate.
//
// The load that it answers: an organisation whose demand exceeds its rate for seconds. An operation waits only while a token can reach it
// in time, by its place in the line of all VMs; the others are refused at once, each with another time to return.
class LocalQuota {
public:
    explicit LocalQuota(QuotaBounds bounds)
        : bounds(bounds)
    {
    }

    // Admits one operation of the organisation if the quota allows it. An operation that has waited before is not counted as new
    // demand. One that waits is requested again until it is evaluated again or stops waiting, as a message may be lost.
    QuotaDecision admit(
        const OrganisationLimit&, size_t fleetSize, TimePoint now, bool hasWaited = false, const QuotaOperation& operation = {});
    // Records that an operation that has waited since the given time is not evaluated again, and returns why it got no token.
    QuotaRefusalCause stopWaiting(const OrganisationId&, TimePoint waitingSince, const QuotaOperation& operation = {});
    // Returns when a token can be there for an operation that was refused, if it returns then. Each call takes the next place behind
    // those of earlier calls.
    TimePoint takeReturnTime(const OrganisationLimit&, size_t fleetSize, TimePoint now, const QuotaOperation&);
    // Returns why the operation that admit() has just refused was refused.
    QuotaRefusalCause refusalCause(const OrganisationId&, TimePoint now) const;

    // Returns the requests to send now, for every organisation that needs more tokens.
    std::vector<QuotaRequest> collectRequests(TimePoint now);
    // Applies the grants of a request that was sent at the given time.
    void applyGrants(const std::vector<QuotaGrant>&, TimePoint requestSentAt, TimePoint now);

    // Returns what became of the tokens since the last call, for the log and the metrics.
    std::map<OrganisationId, QuotaUsage> takeUsage();

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
        // The number of granted tokens that go to the operations that have waited longest.
        size_t oldestFirst = 0;
        // When an operation that begins to wait gets a token, by priority, as of the last grant; empty if tokens are not short.
        std::vector<QuotaLinePlace> line;
        // The tokens per second that this VM can expect while they are short.
        double expectedRate = 0;
        // The last time that was given to a refused operation.
        TimePoint lastReturnAt {};
        double lastWanted = 0;
        bool needsMore = false;
        // The time of the last request, and of the last grant, for this organisation.
        TimePoint requestedAt {};
        TimePoint grantedAt {};
        // Operations that wait for a token.
        std::multiset<QuotaOperation> waiting;
        // The tokens of the static share, used without an allocator.
        double staticShareLevel = 0;
        QuotaUsage usage {};
        TimePoint staticShareFilledAt {};
    };
    static bool isLineKnown(const OrganisationQuota&, TimePoint now);
    static std::vector<QuotaClaim> claimsOf(const OrganisationQuota&, TimePoint now);
    // Returns whether other waiting operations come first for all of the tokens.
    static bool areAllClaimedBefore(const OrganisationQuota&, const QuotaOperation&, double tokens, TimePoint now);
    // Returns when the operation would get a token if it began to wait now.
    TimePoint tokenTime(const OrganisationQuota&, const OrganisationLimit&, size_t fleetSize, const QuotaOperation&, TimePoint now) const;
    bool isAllocatorAvailable(TimePoint now) const;
    bool takeFromStaticShare(OrganisationQuota&, const OrganisationLimit&, size_t fleetSize, TimePoint now) const;

    QuotaBounds bounds;
    std::map<OrganisationId, OrganisationQuota> quotas;
    TimePoint firstRequestAt {};
    TimePoint lastRequestAt {};
    TimePoint lastGrantAt {};
};

}
