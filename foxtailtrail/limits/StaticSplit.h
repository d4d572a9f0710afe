#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/limits/LimitStrategy.h"
#include "foxtailtrail/limits/TokenBucket.h"

namespace foxtail {

// The baseline: every VM has a fixed part of each rate and burst. It never exceeds a limit, but refuses wrongly when the
// callers are skewed over the VMs.
class StaticSplit final : public LimitStrategy {
public:
    // The number of VMs has to be the largest that ever runs at once.
    StaticSplit(uint32_t vmCount, const std::map<OrganisationId, Organisation>& limits, TimePoint now);

    Admission admit(const OrganisationId&, TimePoint requestDeadline, TimePoint now) override;
    std::vector<AddressedBorrow> takeRequests(TimePoint) override { return {}; }
    std::vector<SettledAdmission> receive(const VmId&, const BorrowReply&, TimePoint) override { return {}; }
    std::vector<SettledAdmission> expire(TimePoint) override { return {}; }
    void cancel(AdmissionTicket) override { }

private:
    std::map<OrganisationId, TokenBucket> buckets;
};

}
