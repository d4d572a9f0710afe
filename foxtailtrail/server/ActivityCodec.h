#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/commands/FleetSnapshot.h"

namespace foxtail {

// Encodes one VM's part of the fleet's activity for the reply to the peer call "activity". Leaves out the configuration.
json::object encodeActivity(const FleetSnapshot&);

// Merges one VM's part into the fleet's activity. Sums the counts of organisations and the loads of databases. Of several reports of a
// database, keeps the primary of the highest term. A report of a server replaces an earlier one if the VM reaches the server at the same or
// a higher position. Fails with MalformedRequest.
Result<void> mergeActivity(const json::object&, FleetSnapshot&);

}
