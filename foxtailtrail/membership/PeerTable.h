#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// The entry of a VM in the platform's list or in the configuration. It states where to send pings and is no proof that the
// VM is alive.
struct PeerHint {
    VmId vm;
    Region region;
    DataCentre dataCentre;
    // The list lags, so this counts only until the VM itself has replied.
    bool isLeaving = false;
};

// The report of a VM about itself in a ping or a reply to one.
struct PeerReport {
    VmId vm;
    // Differs between processes of the same VM and rises with every start.
    uint64_t incarnation = 0;
    bool isLeaving = false;
};

// The change that a report caused.
enum class PeerChange : uint8_t {
    None,
    Appeared,
    // Another process of the same VM has taken over. The state that the earlier one held is lost.
    Restarted,
    Leaving,
    // The report comes from an earlier process and is ignored.
    Outdated,
};

// The state of one peer at one time.
struct PeerState {
    VmId vm;
    Region region;
    DataCentre dataCentre;
    uint64_t incarnation = 0;
    bool isAlive = false;
    bool isLeaving = false;
    // When the peer became alive or, if it is not alive, when it was last seen.
    TimePoint stateChangedAt;
};

struct PeerTableSettings {
    Duration pingInterval = std::chrono::milliseconds(250);
    // A peer counts as dead after it has been silent for this long, which is four ping intervals.
    Duration peerSilenceTimeout = std::chrono::seconds(1);
    // The maximum number of peers to ping. Required peers are pinged even when there are more.
    size_t maximumPeers = 64;
};

// The peers of this VM. Whether a peer is alive is decided by this VM's own clock and pings.
class PeerTable {
public:
    PeerTable(PeerTableSettings, VmId ownId, Region vmRegion);

    // Replaces the hints. Required peers (witnesses, owners of limit shards, homes in use) are always pinged, then peers of
    // the own region, then others, up to the maximum. A peer that is no longer listed stays in the table as long as it
    // sends reports.
    void setPeers(const std::vector<PeerHint>&, const std::vector<VmId>& required, TimePoint now);

    // Returns the peers to ping now. Must be called at least every 50 ms, because pings are spread over the interval.
    std::vector<VmId> duePings(TimePoint now);

    // Handles the report of a peer. For the reply to a ping, sentAt is when the ping was sent, because a late reply does
    // not prove that the peer is still alive.
    PeerChange handleReport(const PeerReport&, TimePoint sentAt);

    // Handles a ping from a peer. It proves as much as a reply, so this VM postpones its own ping to that peer, and only
    // one of the two VMs keeps pinging.
    PeerChange handlePing(const PeerReport&, TimePoint now);

    // Returns whether the peer has been seen within the silence timeout. The own VM is always alive.
    bool isAlive(const VmId&, TimePoint now) const;

    // Returns how long the peer has been silent. Empty when the peer was never seen.
    std::optional<Duration> heartbeatAge(const VmId&, TimePoint now) const;

    // Returns all peers except the own VM, ordered by id.
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
