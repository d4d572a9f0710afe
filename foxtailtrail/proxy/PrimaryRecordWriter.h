#pragma once

#include "foxtailtrail/failover/MemberRecords.h"
#include "foxtailtrail/proxy/FleetTable.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/SharedStore.h"

#include <functional>
#include <utility>
#include <vector>

namespace foxtail {

// Keeps the records of primaries in the store complete outside of promotions: the members of the groups, and the records that a restored
// store lacks.
class PrimaryRecordWriter {
public:
    // Returns from when on the list of servers lacks none that runs and reaches the store, or the latest time while it may lack some.
    using ServerListCheck = std::function<TimePoint()>;

    PrimaryRecordWriter(SessionProxy&, SharedStore&, PeerExchange&, const FleetTable&, ServerListCheck);

    // Starts the fiber that writes the members of groups.
    void start();
    // Writes the records that the restored table lacks, those first for which this VM comes first in the rendezvous order.
    void writeAgain(uint64_t era);

private:
    using Records = std::vector<std::pair<PrimaryRecord, StoreVersion>>;

    // Returns the records whose members this VM has to write now.
    Records dueMemberRecords(TimePoint now);
    void write(const Records&, std::string_view reason);

    SessionProxy& proxy;
    SharedStore& store;
    PeerExchange& peers;
    const FleetTable& fleetTable;
    ServerListCheck listCompleteFrom;
    MemberRecords memberRecords;
};

}
