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

// What a MembershipService is built from.
struct MembershipServiceSettings {
    // This VM. Its configuration version is not used.
    LiveVm self;
    uint64_t incarnation = 0;
    // Where to look for VMs before the platform's list has been read.
    std::vector<Endpoint> bootstrapPeers;
    Duration listRefreshInterval = std::chrono::seconds(5);
    PeerTableSettings peerTable;
};

// Finds the other VMs and judges by pings which of them live. Runs in fibers of the control thread.
class MembershipService {
public:
    MembershipService(MembershipServiceSettings, StoreClient&, PeerClient&, std::function<uint64_t()> configurationVersion);

    // Sets this VM's port for calls of other VMs, when the system picked it.
    void setPeerPort(uint16_t port) { this->settings.self.peerEndpoint.port = port; }

    // Sends the pings that are due. Call it every 50 ms.
    void sendDuePings();

    // Registers this VM and reads the platform's list, when that is due. Blocks the calling fiber.
    void refreshVmList();

    // Answers the peer call "ping".
    Result<json::object> handlePing(const json::object& parameters);

    // Names the peers that must be pinged whatever their number.
    void setRequiredPeers(std::vector<VmId>);

    // Marks this VM as leaving; peers learn it from the next pings.
    void setLeaving();

    // This VM and the peers that live, ordered by id.
    std::vector<LiveVm> liveVms() const;

    // How long a VM has been silent. Empty when it was never heard, or is this VM.
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
    // Addresses of the settings that have not answered yet, so that their VM ids are not known.
    std::vector<Endpoint> unansweredEndpoints;
    TimePoint nextBootstrapAt;
    TimePoint nextListRefreshAt;
    bool isRegistered = false;
};

}
