#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtail {

// A VM that can hold connections to backend servers on behalf of the others.
struct RelayCandidate {
    VmId vm;
    DataCentre dataCentre;
    // The fraction of a core that the VM has. Servers are distributed by its square, so that small VMs relay little.
    double processorShare = 1;
    bool operator==(const RelayCandidate&) const = default;
};

// Returns whether one VM should hold the connections of a server for all VMs: without a relay, each VM would need one connection
// per organisation, which may be far more than the server accepts.
bool needsRelay(size_t vmCount, size_t organisationCount, size_t maxConnections);

// Chooses the VM that holds the connections to a backend server for all others: the first in a weighted rendezvous order of the VMs
// in the server's data centre, else in its region. Every VM computes the choice by itself. While two VMs disagree, both choices
// hold connections.
class RelayPlacement {
public:
    // The map gives the region of each data centre.
    explicit RelayPlacement(std::map<std::string, std::string> regions)
        : regionByDataCentre(std::move(regions))
    {
    }

    // Sets the VMs that are alive and not leaving, including this one.
    void setCandidates(std::vector<RelayCandidate>);
    // Excludes a VM that does not reply, or that is stopping, until it is admitted again.
    void exclude(const VmId&);
    void admit(const VmId&);
    // Excludes a VM for one server that it cannot reach.
    void exclude(const VmId&, const BackendServerId&, TimePoint until);

    // Returns the relay for a server, or std::nullopt if no candidate is near the server.
    std::optional<VmId> relayFor(const BackendServerId&, const DataCentre& serverDataCentre, TimePoint now);

private:
    struct Choice {
        std::optional<VmId> vm;
        TimePoint validUntil {};
    };
    std::optional<VmId> choose(const BackendServerId&, const DataCentre& serverDataCentre, TimePoint now) const;
    bool isExcluded(const VmId&, const BackendServerId&, TimePoint now) const;
    // Returns the best candidate in the data centre, or in its whole region.
    std::optional<VmId> bestCandidate(const BackendServerId&, const DataCentre& serverDataCentre, bool isRegionWide, TimePoint now) const;

    std::map<std::string, std::string> regionByDataCentre;
    std::vector<RelayCandidate> candidates;
    std::set<VmId> excludedVms;
    std::map<std::pair<VmId, BackendServerId>, TimePoint> excludedUntilByServer;
    std::map<BackendServerId, Choice> choices;
};

}
