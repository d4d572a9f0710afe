#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/commands/FleetSnapshot.h"

namespace foxtail {

// One VM's part of the fleet's activity, as carried by the peer call "activity". The configuration is not part of it.
json::object encodeActivity(const FleetSnapshot&);

// Adds one VM's part. Counts of organisations are summed; of what several VMs know about a group, the highest term wins.
// Fails with MalformedRequest.
Result<void> mergeActivity(const json::object&, FleetSnapshot&);

}
