#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <array>
#include <map>

namespace foxtail {

// The limit of an organisation is lent in two halves by two owners. While one owner is lost and its replacement must still wait
// before it lends, the other half stays available: an organisation at up to half of its rate is not affected. Both halves add up to
// the rate and burst, so no request is admitted beyond them.
constexpr size_t limitHalfCount = 2;

// Returns the ids under which the halves are lent. They cannot be ids of organisations, which contain no '/'.
std::array<OrganisationId, limitHalfCount> limitHalfIds(const OrganisationId&);

// Returns the limits of all halves.
std::map<OrganisationId, Organisation> halveLimits(const std::map<OrganisationId, Organisation>&);

}
