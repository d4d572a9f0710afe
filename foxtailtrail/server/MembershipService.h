#pragma once

#include "foxtailtrail/membership/PeerTable.h"
#include "foxtailtrail/server/ControlSnapshot.h"
#include "foxtailtrail/server/PeerClient.h"
#include "foxtailtrail/store/StoreClient.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace foxtail {

// Settings of a MembershipService.
struct MembershipServiceSettings {
    // This VM. The configuration version in it is not used.
    LiveVm self;
    uint64_t incarnation = 0;
    // Peer ports to ping before the platform's list of VMs has been read.
    std::vector<Endpoint> bootstrapPeers;
    Duration listRefreshInterval = std::chrono::seconds(5);
    PeerTableSettings peerTable;
};

// Discovers the other VMs and detects by pings which of them are alive. Runs in fibers of the control thread.
class MembershipService {
public:
    MembershipService(MembershipServiceSettings, StoreClient&, PeerClient&, std::function<uint64_t()> configurationVersion);

    // Sets this VM's peer port if the operating system has picked it.
    void setPeerPort(uint16_t port) { this->settings.self.peerEndpoint.port = port; }

    // Sends the pings that are due. Must be called every 50 ms.
    void sendDuePings();

    // Registers this VM and reads the platform's list of VMs if either is due. Blocks the calling fiber.
    void refreshVmList();

    // Handles the peer call "ping".
    Result<json::object> handlePing(const json::object& parameters);

    // Sets the peers that are always pinged, whatever their number.
    void setRequiredPeers(std::vector<VmId>);

    // Marks this VM as leaving. Peers are notified by the next pings.
    void setLeaving();

    // Returns this VM and its live peers, ordered by id.
    std::vector<LiveVm> liveVms() const;

    // Returns the time since the last heartbeat of a VM. Empty if there was none, or if the VM is this one.
    std::optional<Duration> heartbeatAge(const VmId&) const;

    bool isLeaving() const { return this->settings.self.isLeaving; }

private:
    json::object encodeSelf() const;
    Result<void> handleHeartbeat(const json::object& report, TimePoint sentAt, bool isPing);
    void ping(const Endpoint&);
    void updatePeerTable();
    void logSilentPeers();

    MembershipServiceSettings settings;
    StoreClient& store;
    PeerClient& peers;
    std::function<uint64_t()> configurationVersion;
    PeerTable peerTable;
    std::map<VmId, LiveVm> knownVms;
    std::set<VmId> previouslyLiveVms;
    std::vector<VmId> requiredPeers;
    // Bootstrap peers that have not replied yet, so that their VM ids are unknown.
    std::vector<Endpoint> unansweredEndpoints;
    TimePoint nextBootstrapAt;
    TimePoint nextListRefreshAt;
    bool isRegistered = false;
};

}
