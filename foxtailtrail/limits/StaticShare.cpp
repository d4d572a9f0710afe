#include "foxtailtrail/limits/StaticShare.h"

namespace foxtail {

StaticShare::StaticShare(uint32_t vmCount, const std::map<OrganisationId, Organisation>& limits, TimePoint now)
{
    for (const auto& [id, organisation] : limits) {
        const double burst = organisation.burst / vmCount;
        this->buckets.emplace(id, TokenBucket(organisation.rate / vmCount, burst, burst, now));
    }
}

Admission StaticShare::admit(const OrganisationId& organisation, TimePoint, TimePoint now)
{
    const auto found = this->buckets.find(organisation);
    if (found == this->buckets.end() || !found->second.tryTake(1, now))
        return { AdmissionState::Refused, ErrorKind::RateLimited, {} };
    return { AdmissionState::Admitted, {}, {} };
}

}
