#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <array>
#include <map>

namespace foxtail {

// An organisation's limit is lent in two halves by two owners. While one owner is lost and its successor still has to wait, the
// other half goes on: an organisation at up to half of its rate notices nothing. Both halves together are the whole rate and
// burst, so nothing is admitted beyond them.
constexpr size_t limitHalfCount = 2;

// The ids under which the halves are lent. No organisation can have such an id, as ids hold no '/'.
std::array<OrganisationId, limitHalfCount> limitHalfIds(const OrganisationId&);

// The limits of all halves.
std::map<OrganisationId, Organisation> halveLimits(const std::map<OrganisationId, Organisation>&);

}
