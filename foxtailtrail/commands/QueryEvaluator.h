#pragma once

#include "foxtailtrail/commands/Command.h"
#include "foxtailtrail/commands/FleetSnapshot.h"

namespace foxtail {

// Returns the rows of the query's table that meet its conditions, sorted and limited as the query specifies. Texts are compared byte by
// byte.
Table evaluateQuery(const Query&, const FleetSnapshot&);

}
