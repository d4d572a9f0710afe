#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtail {

// A VM that can hold connections to backend servers for the others.
struct RelayCandidate {
    VmId vm;
    DataCentre dataCentre;
    // The part of a core that the VM has. Work is placed by its square, so that small VMs relay little.
    double processorShare = 1;
    bool operator==(const RelayCandidate&) const = default;
};

// Whether the connections of a server should be held by one VM for all: with its own connections, each VM would need one for every
// organisation, and the server accepts far fewer than that.
bool needsRelay(size_t vms, size_t organisations, size_t maxConnections);

// Which VM holds the connections to a backend server for all others: the first in a weighted rendezvous order of the VMs in the
// server's data centre, else in its region. Every VM computes it for itself. Where two disagree for a moment, both hold connections.
class RelayPlacement {
public:
    // The map leads from each data centre to its region.
    explicit RelayPlacement(std::map<std::string, std::string> regions)
        : regionByDataCentre(std::move(regions))
    {
    }

    // Sets the VMs that live and stay, this one included.
    void setCandidates(std::vector<RelayCandidate>);
    // Leaves a VM out until the time: it does not answer, or stops.
    void exclude(const VmId&, TimePoint until);
    // Leaves a VM out for one server, which it cannot reach.
    void exclude(const VmId&, const BackendServerId&, TimePoint until);

    // The VM to use, or nothing when no candidate is near the server.
    std::optional<VmId> relayFor(const BackendServerId&, const DataCentre& place, TimePoint now);

private:
    struct Choice {
        std::optional<VmId> vm;
        TimePoint validUntil {};
    };
    std::optional<VmId> choose(const BackendServerId&, const DataCentre& place, TimePoint now) const;
    bool isExcluded(const VmId&, const BackendServerId&, TimePoint now) const;
    // The best candidate in the data centre, or in its whole region.
    std::optional<VmId> bestCandidate(const BackendServerId&, const DataCentre& place, bool wholeRegion, TimePoint now) const;

    std::map<std::string, std::string> regionByDataCentre;
    std::vector<RelayCandidate> candidates;
    std::map<VmId, TimePoint> excludedUntil;
    std::map<std::pair<VmId, BackendServerId>, TimePoint> excludedUntilByServer;
    std::map<BackendServerId, Choice> choices;
};

}
