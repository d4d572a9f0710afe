#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/limits/LimitStrategy.h"
#include "foxtailtrail/limits/TokenBucket.h"

namespace foxtail {

// The baseline for comparison: every VM has a fixed share of each rate and burst. It never exceeds a limit, but refuses wrongly if
// the load is skewed over the VMs.
class StaticShare final : public LimitStrategy {
public:
    // vmCount must be the largest number of VMs that ever run at once.
    StaticShare(uint32_t vmCount, const std::map<OrganisationId, Organisation>& limits, TimePoint now);

    Admission admit(const OrganisationId&, TimePoint requestDeadline, TimePoint now) override;
    std::vector<OutgoingBorrowRequest> collectRequests(TimePoint) override { return {}; }
    std::vector<CompletedAdmission> receive(const VmId&, const BorrowReply&, TimePoint) override { return {}; }
    std::vector<CompletedAdmission> expire(TimePoint) override { return {}; }
    void cancel(AdmissionTicket) override { }

private:
    std::map<OrganisationId, TokenBucket> buckets;
};

}
