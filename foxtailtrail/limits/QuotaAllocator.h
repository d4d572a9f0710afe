#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/RouteTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace foxtail {

// The bounds within which an organisation's operations may exceed rate and burst, from the platform's settings.
struct QuotaBounds {
    Duration window { 0 };
    // Share of (rate * window + burst).
    double excessShare = 0;
    // Operations on top.
    double slack = 0;
};

// How long a grant may be used after its request was sent. A VM that asks counts as served by the ledger for as long.
constexpr Duration grantLifetime = std::chrono::milliseconds(1200);

// The operations by which an organisation may exceed rate and burst in one window. Grants that lie unused, new ledgers and VMs
// without a ledger each take a part of it.
double permittedExcess(const OrganisationLimit&, const QuotaBounds&);

// What a VM asks for one organisation.
struct QuotaRequest {
    OrganisationId organisation;
    // Operations that it expects to admit until its next request.
    double wanted = 0;
    // What is left of its last grant, which the new one replaces.
    double unused = 0;
};

// What a VM may use for one organisation.
struct QuotaGrant {
    OrganisationId organisation;
    double tokens = 0;
};

// Lends the operations of organisations to the VMs that ask this VM. Every VM owns an equal part of each rate; asking lends that
// part to the ledger that is asked. So several ledgers at once, as after a partition, never lend more than the whole.
class QuotaAllocator {
public:
    explicit QuotaAllocator(QuotaBounds bounds)
        : bounds(bounds)
    {
    }

    // Answers a request of a VM. The fleet size is the number of VMs that own a part of each rate.
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
    // The VMs that lend their parts to this ledger, and until when.
    std::map<VmId, TimePoint> servedUntil;
    // Since when the same VMs have lent their parts.
    TimePoint lastVmJoinedAt {};
};

}
