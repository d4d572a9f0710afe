#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/proxy/GroupTracker.h"

#include <vector>

namespace foxtail {

// Encodes group updates for a message to another VM. Times are whole milliseconds relative to a reference time that both VMs know; earlier
// times are negative. Rounding down makes a time older, never newer.
json::array encodeGroupUpdates(const std::vector<GroupUpdate>&, TimePoint reference);

// Decodes group updates. Items that cannot be decoded are skipped.
std::vector<GroupUpdate> decodeGroupUpdates(const json::array&, TimePoint reference);

}
