#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace foxtail {

// The permitted excess over the rate of a cold server: in one second, rate times excess plus slack statements.
struct ColdServerBounds {
    double excess = 1;
    double slack = 0;
};

// Limits the statements that this VM sends to servers that have just started, so that the sum over all VMs keeps the limit of each server,
// also while VMs are cut off or die. A few VMs, the first in a rendezvous order of the registered fleet, send to a cold server, each at
// even intervals of its share; the others use warm servers.
//
// Load that it answers: all VMs moving to servers that return at the same moment, such as after an evacuation was taken back.
class ColdServerRule {
public:
    ColdServerRule(VmId ownVm, const ColdServerBounds& permitted)
        : own(std::move(ownVm))
        , bounds(permitted)
    {
    }

    // Sets the registered VMs, whether they are live or not.
    void setFleet(std::vector<VmId>);
    // Records the report of a server: how much longer it is cold. A report that was recorded before changes nothing.
    void recordReport(const BackendServerId&, int64_t startedAtMs, uint64_t sequence, Duration coldFor, TimePoint now);
    void removeServer(const BackendServerId& server) { this->servers.erase(server); }
    bool isCold(const BackendServerId&, TimePoint now) const;
    // Returns whether this VM may send a statement to the server now. A rate of 0 limits nothing.
    bool maySend(const BackendServerId&, double ratePerSecond, TimePoint now) const;
    // Records a statement that is sent now.
    void recordSent(const BackendServerId&, TimePoint now);
    // Returns how many VMs send to a cold server with this rate.
    size_t senderCount(double ratePerSecond) const;

private:
    struct ColdServer {
        int64_t startedAtMs = 0;
        uint64_t sequence = 0;
        TimePoint coldUntil {};
        TimePoint lastSentAt {};
        bool hasSent = false;
        // The place of this VM in the rendezvous order of the server; 0 is the first.
        size_t rank = 0;
    };
    size_t rankFor(const BackendServerId&) const;

    VmId own;
    ColdServerBounds bounds;
    std::vector<VmId> fleet;
    std::map<BackendServerId, ColdServer> servers;
};

}
