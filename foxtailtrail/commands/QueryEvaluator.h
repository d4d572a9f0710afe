#pragma once

#include "foxtailtrail/commands/Command.h"
#include "foxtailtrail/commands/FleetSnapshot.h"

namespace foxtail {

// The rows of the query's table that meet its conditions, in its order, up to its limit. Texts compare by bytes.
Table evaluateQuery(const Query&, const FleetSnapshot&);

}
