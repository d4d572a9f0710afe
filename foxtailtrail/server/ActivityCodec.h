#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/commands/FleetSnapshot.h"

namespace foxtail {

// Encodes one VM's part of the fleet's activity for the reply to the peer call "activity". Leaves out the configuration.
json::object encodeActivity(const FleetSnapshot&);

// Merges one VM's part into the fleet's activity. Sums the counts of an organisation; if several VMs report the same group, the report with
// the highest term wins. Fails with MalformedRequest.
Result<void> mergeActivity(const json::object&, FleetSnapshot&);

}
