#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/limits/QuotaAllocator.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/proxy/SessionProxy.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// Another VM as the store lists it.
struct PeerEntry {
    VmId id;
    // Where it answers requests for the configuration.
    Endpoint configurationEndpoint;
    uint16_t datagramPort = 0;
    // Where it lets other VMs use its connections to backend servers.
    uint16_t relayPort = 0;
    DataCentre dataCentre;
    double processorShare = 1;
    bool operator==(const PeerEntry&) const = default;
};

// The datagrams between VMs: signs of life with the version of the configuration, and the loans of quotas.
class PeerExchange {
public:
    // Told that a peer has a newer configuration.
    using NewerConfigurationCallback = std::function<void(const Endpoint&, uint64_t version)>;

    PeerExchange(boost::asio::io_context&, SessionProxy&, NewerConfigurationCallback);

    // Opens the socket. Fails with Internal when it cannot be bound.
    Result<void> start();
    // Tells the peers that this VM stops, so that another one lends quotas.
    void announceStop();
    void setPeers(const std::vector<PeerEntry>&);
    // Asks for a grant if one is due. Called often.
    void requestQuotaIfDue();
    // The place of this VM among the live ones in an order that depends on the key; 0 is the first.
    size_t rendezvousRank(std::string_view key) const;
    // Whether most peers have been silent for some greetings.
    bool areMostPeersSilent() const;

private:
    struct Peer {
        PeerEntry entry;
        TimePoint addedAt {};
        TimePoint lastSeenAt {};
        // After unanswered requests the peer is passed over until this time.
        TimePoint excludedUntil {};
        // When its process started, by this VM's clock and without the time of the greeting on its way.
        TimePoint startedAt {};
    };
    // An exchange of news with a VM that asks this one. Its times are related to this VM's by the last answer that it has got.
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
    std::string heartbeatMessage();
    // The VM that lends quotas to this one; null for this VM itself. One of the oldest processes is chosen, so that the loans survive
    // restarts of others.
    Peer* quotaAllocatorPeer(TimePoint now);
    // Tells which VM this one takes for the ledger, and how current that is; the VMs agree on one sooner than by their own greetings.
    json::object quotaAllocatorHint(TimePoint now);
    void applyQuotaAllocatorHint(const json::object& message, TimePoint now);
    // The peers in their order, from the place at which this VM's rounds have arrived.
    std::vector<const Peer*> nextPeers(size_t count);
    void updateFleet(TimePoint now);

    boost::asio::io_context& context;
    SessionProxy& proxy;
    NewerConfigurationCallback onNewerConfiguration;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer heartbeatTimer;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 4096> buffer {};
    std::map<VmId, Peer> peers;
    size_t nextPeerIndex = 0;
    TimePoint startedAt {};
    bool isStopping = false;
    QuotaAllocator quotaAllocator;
    uint64_t quotaRequestNumber = 0;
    bool isQuotaRequestOutstanding = false;
    TimePoint quotaRequestSentAt {};
    VmId quotaRequestPeer;
    // The last answer: its number, whose it was, and when it came.
    uint64_t lastGrantNumber = 0;
    VmId lastGrantPeer;
    TimePoint lastGrantReceivedAt {};
    std::map<VmId, Requester> requesters;
};

}
