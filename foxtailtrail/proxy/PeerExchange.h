#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/base/StoreVersion.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/limits/QuotaAllocator.h"
#include "foxtailtrail/limits/QuotaAllocatorChoice.h"
#include "foxtailtrail/limits/QuotaRequestLog.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/proxy/SessionProxy.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace foxtail {

// Another VM as listed in the store.
struct PeerEntry {
    VmId id;
    // The address at which it serves requests for its configuration.
    Endpoint configurationEndpoint;
    uint16_t datagramPort = 0;
    // The port at which it relays statements of other VMs over its connections to backend servers.
    uint16_t relayPort = 0;
    DataCentre dataCentre;
    double processorShare = 1;
    bool operator==(const PeerEntry&) const = default;
};

// The datagrams between VMs: heartbeats with the version of the configuration, and requests and grants of quota.
class PeerExchange {
public:
    // The size of the largest UDP datagram. A longer message is not sent.
    static constexpr size_t maxDatagramBytes = 65507;

    // Called when a peer has a newer configuration.
    using NewerConfigurationCallback = std::function<void(const Endpoint&, uint64_t version)>;

    // Called when a peer knows of a later change of the evacuations.
    using NewerEvacuationsCallback = std::function<void(const Endpoint&, const StoreVersion& changedAt)>;

    // Sends a datagram to the sender of a message.
    using ReplyFunction = std::function<void(const std::string&)>;
    // Called with a message of a kind that this class does not know.
    using MessageHandler
        = std::function<void(std::string_view kind, const VmId& sender, const json::object& message, const ReplyFunction&)>;

    PeerExchange(boost::asio::io_context&, SessionProxy&, NewerConfigurationCallback);

    // Opens the socket and starts the heartbeats. Fails with Internal when the socket cannot be bound.
    Result<void> start();
    // Notifies the peers that this VM stops, so that they use another quota allocator.
    void announceStop();
    void setPeers(const std::vector<PeerEntry>&);
    // Sets the time from which this VM may allocate quota. A VM that has just joined the fleet does not know the VMs that join with it, and
    // would take the rates of all of them for its own.
    void allowAllocationFrom(TimePoint time) { this->allocatesFrom = time; }
    bool mayAllocate(TimePoint now) const { return this->allocatesFrom <= now; }
    // Returns true when this VM has just joined the fleet.
    bool isDiscoveringFleet(TimePoint now) const { return this->allocatesFrom != TimePoint::max() && now < this->allocatesFrom; }
    // Requests a quota grant if one is due. Called often.
    void requestQuotaIfDue();
    // Returns the rank of this VM among the live VMs in the rendezvous order of the key; 0 is the first.
    size_t rendezvousRank(std::string_view key) const;
    void setNewerEvacuationsCallback(NewerEvacuationsCallback callback) { this->onNewerEvacuations = std::move(callback); }
    void setMessageHandler(MessageHandler handler) { this->messageHandler = std::move(handler); }
    // Returns the other VMs that count as part of the fleet.
    std::set<VmId> fleetMembers(TimePoint now) const;
    // Sends a datagram to the other VMs of the fleet, or to the first ones of a larger fleet.
    void sendToFleet(const std::string& text, size_t maxVms);
    // Returns true when most peers have been silent for several heartbeat intervals.
    bool areMostPeersSilent() const;

private:
    struct Peer {
        PeerEntry entry;
        TimePoint addedAt {};
        TimePoint lastSeenAt {};
        // After several unanswered quota requests or the announcement of its stop, the peer is excluded as relay until this time.
        TimePoint excludedUntil {};
        // When it was last heard from, by this VM or by one that passed it on, ready to allocate quota.
        TimePoint allocatorHeardAt {};
    };
    // The last quota request that this VM answered for another VM. The requester gives the times of its group updates relative to this
    // answer.
    struct Requester {
        uint64_t answeredNumber = 0;
        TimePoint answeredAt {};
    };
    void handleQuotaRequest(const VmId&, const json::object&, const boost::asio::ip::udp::endpoint& from);
    void handleGrant(const json::object&);
    void receiveNext();
    void handleDatagram(std::string_view datagram, const boost::asio::ip::udp::endpoint& from);
    void scheduleHeartbeats();
    void sendHeartbeats();
    void sendTo(const boost::asio::ip::udp::endpoint&, const std::string&);
    void sendTo(const Peer&, const std::string&);
    bool isLive(const Peer&, TimePoint now) const;
    static bool isFleetMember(const Peer&, TimePoint now);
    // A VM that receives a message that requests an answer returns its own heartbeat.
    std::string heartbeatMessage(bool requestsAnswer = false);
    // Returns whether this VM can allocate quota.
    bool canAllocate(TimePoint now) const { return !this->isStopping && this->proxy.isConfigured() && this->mayAllocate(now); }
    // Returns which VM this one uses as the quota allocator and how long ago that one was heard from. With these hints, all VMs return to
    // an allocator that is available again at about the same time.
    json::object quotaAllocatorHint(TimePoint now);
    void recordAllocatorHeard(Peer&, TimePoint heardAt);
    void applyQuotaAllocatorHint(const json::object& message, TimePoint now);
    // Returns the next peers in the order of their ids, starting at the current position of this VM's heartbeat rounds.
    std::vector<const Peer*> nextPeers(size_t count);
    void updateFleet(TimePoint now);
    // Passes on that a peer knows of a later change of the evacuations than this VM.
    void handleEvacuationVersion(const json::object& message, const Endpoint& peer);

    boost::asio::io_context& context;
    SessionProxy& proxy;
    NewerConfigurationCallback onNewerConfiguration;
    NewerEvacuationsCallback onNewerEvacuations;
    MessageHandler messageHandler;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer heartbeatTimer;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, maxDatagramBytes> buffer {};
    std::map<VmId, Peer> peers;
    size_t nextPeerIndex = 0;
    TimePoint allocatesFrom = TimePoint::max();
    bool isStopping = false;
    QuotaAllocatorChoice allocatorChoice;
    QuotaAllocator quotaAllocator;
    // When this VM last allocated quota to a VM, which may be itself.
    TimePoint allocatedAt {};
    QuotaRequestLog quotaRequestLog;
    // The last grant message: the number of its request, the VM that sent it, and when it was received.
    uint64_t lastGrantNumber = 0;
    VmId lastGrantPeer;
    TimePoint lastGrantReceivedAt {};
    std::map<VmId, Requester> requesters;
    // The VM that allocated quota for the last request, which may be this one.
    VmId lastAllocator;
};

}
