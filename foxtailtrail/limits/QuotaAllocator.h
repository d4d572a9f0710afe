#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/RouteTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace foxtail {

// The bounds within which the operations of an organisation may exceed rate and burst, from the platform's settings.
struct QuotaBounds {
    Duration window { 0 };
    // The permitted excess as a fraction of (rate * window + burst).
    double excessShare = 0;
    // The number of operations that are permitted in addition.
    double slack = 0;
};

// How long a grant may be used after its request was sent. For the same time, the VM that sent the request counts as served by the
// allocator.
constexpr Duration grantLifetime = std::chrono::milliseconds(1200);

// Returns the number of operations by which an organisation may exceed rate and burst in one window. Unused grants, new allocators
// and VMs without an allocator each use a part of it.
double permittedExcess(const OrganisationLimit&, const QuotaBounds&);

// Operations of one VM that wait for tokens, in a request. Times are relative, as VMs do not share a clock.
struct QuotaClaim {
    // 0 is the highest priority.
    uint32_t priority = 0;
    // How long the operation with the least time left may still wait, and how long the oldest one has waited.
    Duration timeLeft { 0 };
    Duration waited { 0 };
    size_t count = 1;
};

// The request of a VM for one organisation.
struct QuotaRequest {
    OrganisationId organisation;
    // The operations that wait for tokens, in the order in which the VM serves them.
    std::vector<QuotaClaim> waiting;
    // The further operations that it expects until its next request.
    double expected = 0;
    // The rest of its last grant, which the new one replaces.
    double unused = 0;
    // The operations per second that arrive at the VM, including refused ones.
    double demandPerSecond = 0;
};

// When an operation of the priority, or of a lower one up to the next entry, would get a token if it began to wait now.
struct QuotaLinePlace {
    uint32_t priority = 0;
    Duration delay { 0 };
};

// The grant to a VM for one organisation.
struct QuotaGrant {
    OrganisationId organisation;
    double tokens = 0;
    // The number of these tokens that go to the operations that have waited longest, and not by priority and time left.
    size_t oldestFirst = 0;
    // Ordered by priority, beginning with 0. Empty while the organisation is not short of tokens.
    std::vector<QuotaLinePlace> line;
    // The tokens per second that the VM can expect while the organisation is short of them: its part by demand.
    double expectedRate = 0;
};

// Lends the operations of organisations to the VMs that send requests to this VM. Every VM owns an equal part of each rate, its
// static share; a request lends that share to the allocator that receives it. Several allocators at once, as after a partition,
// therefore never lend more than the whole.
//
// The load that it answers: organisations whose demand exceeds their rate, spread unevenly over many VMs that each have less than one
// operation per request. While an organisation is short of tokens, it lends whole tokens to waiting operations only, over all VMs by
// priority and then by the time left. As a VM requests only now and then, some tokens are kept for operations of higher priority that
// arrive meanwhile, as many as such operations took before. Every eighth token goes to the operation that has waited longest, so that no
// priority starves.
class QuotaAllocator {
public:
    explicit QuotaAllocator(QuotaBounds bounds)
        : bounds(bounds)
    {
    }

    // Answers a request of a VM. The fleet size is the number of VMs that own a static share of each rate.
    std::vector<QuotaGrant> grant(
        const VmId&, const std::vector<QuotaRequest>&, const std::vector<OrganisationLimit>&, size_t fleetSize, TimePoint now);

private:
    struct OutstandingGrant {
        double tokens = 0;
        TimePoint expiresAt {};
        double demandPerSecond = 0;
    };
    // Operations of one VM that wait for tokens.
    struct Claim {
        uint32_t priority = 0;
        TimePoint giveUpAt {};
        TimePoint waitingSince {};
        size_t count = 0;
        bool isBefore(const Claim& other) const
        {
            return std::tie(this->priority, this->giveUpAt, this->waitingSince)
                < std::tie(other.priority, other.giveUpAt, other.waitingSince);
        }
    };
    // The claims of one VM for which it has no tokens yet, from its last request.
    struct OpenClaims {
        std::vector<Claim> claims;
        TimePoint validUntil {};
    };
    struct Account {
        double level = 0;
        TimePoint filledAt {};
        // The tokens that the account has got because this allocator is new.
        double initialTokens = 0;
        std::map<VmId, OutstandingGrant> outstandingGrants;
        double totalDemand = 0;
        // Claims that tokens are kept for until their VMs request them again.
        std::map<VmId, OpenClaims> openClaims;
        // The tokens granted to each priority in about the last request interval of the VMs; older ones count less.
        struct RecentGrants {
            double tokens = 0;
            TimePoint countedAt {};
            double at(TimePoint now) const;
        };
        std::map<uint32_t, RecentGrants> recentGrants;
        // The tokens granted by priority since the last one that went to the longest waiting operation.
        size_t grantedByPriority = 0;
    };
    void refill(Account&, const OrganisationLimit&, double share, TimePoint now) const;
    // Removes the claims of VMs that have not repeated them, and of operations that no longer wait.
    static void removeOldClaims(Account&, TimePoint now);
    // Takes tokens for the claims of one VM out of the level, and removes the served ones from the list.
    static void serveClaims(Account&, std::vector<Claim>& own, const OrganisationLimit&, QuotaGrant&, TimePoint now);
    // Returns when operations that begin to wait now would get a token.
    static std::vector<QuotaLinePlace> line(const Account&, double rate, TimePoint now);

    QuotaBounds bounds;
    std::map<OrganisationId, Account> accounts;
    // The VMs that lend their static shares to this allocator, and until when.
    std::map<VmId, TimePoint> servedUntil;
    // The time since which the same VMs have lent their static shares.
    TimePoint lastVmJoinedAt {};
};

}
