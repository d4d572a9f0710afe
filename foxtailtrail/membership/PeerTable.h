#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// What is known of a VM from the platform's list or the configuration. It says where to ping, never that the VM lives.
struct PeerHint {
    VmId vm;
    Region region;
    DataCentre dataCentre;
    // The list lags, so this only counts until the VM itself has answered.
    bool isLeaving = false;
};

// What a VM says about itself in a ping or its answer.
struct PeerReport {
    VmId vm;
    // Differs between processes of the same VM and rises with every start.
    uint64_t incarnation = 0;
    bool isLeaving = false;
};

// What a report changed.
enum class PeerChange : uint8_t {
    None,
    Appeared,
    // Another process of the same VM has taken over. What the earlier one held is lost.
    Restarted,
    Leaving,
    // The report of an earlier process, which counts for nothing.
    Outdated,
};

// The state of one peer at one moment.
struct PeerState {
    VmId vm;
    Region region;
    DataCentre dataCentre;
    uint64_t incarnation = 0;
    bool isAlive = false;
    bool isLeaving = false;
    // The moment since which the peer has been alive or, if it is not, silent.
    TimePoint stateChangedAt;
};

// Settings of PeerTable.
struct PeerTableSettings {
    Duration pingInterval = std::chrono::milliseconds(250);
    // A peer is dead after this silence, four pings.
    Duration peerSilenceTimeout = std::chrono::seconds(1);
    // How many peers of other regions are pinged, besides the ones named as required.
    size_t maximumPeers = 64;
};

// Which peers live, judged by this VM's own clock and pings.
class PeerTable {
public:
    PeerTable(PeerTableSettings, VmId self, Region ownRegion);

    // Takes over the hints. Required peers (witnesses, owners of limit shards, homes in use) are always pinged, then peers of the
    // own region, then others, up to the maximum. A peer that is no longer named stays as long as it answers.
    void setPeers(const std::vector<PeerHint>&, const std::vector<VmId>& required, TimePoint now);

    // The peers to ping now. Call it every 50 ms or less; pings are spread over the interval.
    std::vector<VmId> duePings(TimePoint now);

    // Takes in what a peer said. For the answer to a ping, sentAt is when the ping was sent: a late answer proves less.
    PeerChange handleReport(const PeerReport&, TimePoint sentAt);

    // Takes in a ping that arrived from a peer. It says as much as an answer, so the own ping to that peer is put off and one of
    // the two VMs alone keeps pinging.
    PeerChange handlePing(const PeerReport&, TimePoint now);

    // True when the peer has been heard within the limit. The own VM is always alive.
    bool isAlive(const VmId&, TimePoint now) const;

    // How long the peer has been silent. Empty when it was never heard.
    std::optional<Duration> heartbeatAge(const VmId&, TimePoint now) const;

    // All peers, the own VM excluded, ordered by id.
    std::vector<PeerState> snapshot(TimePoint now) const;

private:
    struct Peer {
        PeerHint hint;
        bool isListed = false;
        uint64_t incarnation = 0;
        bool isLeaving = false;
        std::optional<TimePoint> lastSeenAt;
        TimePoint becameAliveAt;
        TimePoint nextPingAt;
    };

    bool isAlive(const Peer&, TimePoint now) const;
    void addListed(const PeerHint&, TimePoint now);

    PeerTableSettings settings;
    VmId self;
    Region ownRegion;
    std::map<VmId, Peer> peers;
};

}
