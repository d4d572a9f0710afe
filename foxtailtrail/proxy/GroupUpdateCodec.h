#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/proxy/GroupTracker.h"

#include <vector>

namespace foxtail {

// News about groups in a message to another VM. Times are written as whole milliseconds relative to a moment that both sides know:
// earlier ones are negative. Rounding down makes them older, never newer.
json::array encodeGroupUpdates(const std::vector<GroupUpdate>&, TimePoint reference);

// The reverse. Items that cannot be read are left out.
std::vector<GroupUpdate> decodeGroupUpdates(const json::array&, TimePoint reference);

}
