#include "foxtailtrail/limits/LimitHalves.h"

namespace foxtail {

std::array<OrganisationId, limitHalfCount> limitHalfIds(const OrganisationId& organisation)
{
    return { OrganisationId(organisation.value + "/0"), OrganisationId(organisation.value + "/1") };
}

std::map<OrganisationId, Organisation> halveLimits(const std::map<OrganisationId, Organisation>& organisations)
{
    std::map<OrganisationId, Organisation> halves;
    for (const auto& [id, organisation] : organisations) {
        for (const OrganisationId& half : limitHalfIds(id))
            halves[half] = { half, organisation.rate / limitHalfCount, organisation.burst / limitHalfCount };
    }
    return halves;
}

}
