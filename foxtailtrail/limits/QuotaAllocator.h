#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/RouteTable.h"

#include <cstdint>
#include <map>
#include <set>
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

// The request of a VM for one organisation.
struct QuotaRequest {
    OrganisationId organisation;
    // The operations that it expects to admit until its next request.
    double wanted = 0;
    // The rest of its last grant, which the new one replaces.
    double unused = 0;
};

// The grant to a VM for one organisation.
struct QuotaGrant {
    OrganisationId organisation;
    double tokens = 0;
};

// Lends the operations of organisations to the VMs that send requests to this VM. Every VM owns an equal part of each rate, its
// static share; a request lends that share to the allocator that receives it. Several allocators at once, as after a partition,
// therefore never lend more than the whole.
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
    };
    struct Account {
        double level = 0;
        TimePoint filledAt {};
        std::map<VmId, OutstandingGrant> outstandingGrants;
    };
    void refill(Account&, const OrganisationLimit&, double share, TimePoint now) const;

    QuotaBounds bounds;
    std::map<OrganisationId, Account> accounts;
    // The VMs that lend their static shares to this allocator, and until when.
    std::map<VmId, TimePoint> servedUntil;
    // The time since which the same VMs have lent their static shares.
    TimePoint lastVmJoinedAt {};
};

}
