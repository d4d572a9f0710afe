#include "foxtailtrail/proxy/PeerExchange.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/GroupUpdateCodec.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace foxtail {

using Udp = boost::asio::ip::udp;

namespace {

    constexpr Duration greetingInterval = std::chrono::milliseconds(500);
    // Peers that are greeted at a time, so that the cost of a VM does not grow with the fleet.
    constexpr size_t greetedAtATime = 3;
    constexpr size_t greetedAtOnce = 16;
    // Upper bound of the places in the order of peers at which a VM begins.
    constexpr uint64_t greetingOrders = 1'000'003;
    // Without a greeting for this long a peer counts as away: it may have been left out of a dozen rounds.
    constexpr Duration peerSilence = std::chrono::seconds(4);
    // Two greetings of each peer of a small fleet come within this time, and the greetings of several peers of a large one.
    constexpr Duration isolationSilence = std::chrono::milliseconds(2500);
    // A peer that has been silent for this long does not count as a part of the fleet.
    constexpr Duration peerForgotten = std::chrono::seconds(60);
    constexpr Duration askTimeout = std::chrono::milliseconds(250);
    constexpr Duration avoidance = std::chrono::seconds(2);
    // A peer that stops is gone within this time.
    constexpr Duration stopAvoidance = std::chrono::seconds(6);
    // Processes whose starts are closer together than this count as equally old.
    constexpr Duration sameAge = std::chrono::seconds(2);
    constexpr const char* ledgerKey = "quota";

    // Kinds of datagrams.
    constexpr std::string_view greetingKind = "hello";
    constexpr std::string_view askKind = "ask";
    constexpr std::string_view grantKind = "grant";

    double numberAt(const json::array& list, size_t index) { return list.at(index).to_number<double>(); }

}

PeerExchange::PeerExchange(boost::asio::io_context& context, SessionProxy& proxy, NewerConfigurationCallback newerConfiguration)
    : context(context)
    , proxy(proxy)
    , onNewerConfiguration(std::move(newerConfiguration))
    , socket(context)
    , heartbeatTimer(context)
    // The rounds of the VMs begin at different peers, so that each peer hears of one VM after the other and not of all at once.
    , nextPeerIndex(stableHash(proxy.settings().vmId.value) % greetingOrders)
    , startedAt(bootNow())
    , quotaAllocator(proxy.settings().quota)
{
}

Result<void> PeerExchange::start()
{
    boost::system::error_code code;
    const ProxySettings& settings = this->proxy.settings();
    const Udp::endpoint endpoint(boost::asio::ip::make_address(settings.peerEndpoint.address, code), settings.datagramPort);
    if (!code)
        this->socket.open(endpoint.protocol(), code);
    if (!code)
        this->socket.bind(endpoint, code);
    if (!code)
        this->socket.non_blocking(true, code);
    if (code)
        return fail(ErrorKind::Internal, "cannot listen for datagrams: " + code.message());
    this->receiveNext();
    this->scheduleHeartbeats();
    return succeed();
}

void PeerExchange::setPeers(const std::vector<PeerEntry>& entries)
{
    const TimePoint now = bootNow();
    std::map<VmId, Peer> updated;
    for (const PeerEntry& entry : entries) {
        if (entry.id == this->proxy.settings().vmId)
            continue;
        const auto known = this->peers.find(entry.id);
        if (known != this->peers.end() && known->second.entry == entry)
            updated.emplace(entry.id, known->second);
        else
            updated.emplace(entry.id, Peer { entry, now, TimePoint {}, TimePoint {}, TimePoint {} });
    }
    this->peers = std::move(updated);
    this->updateFleet(now);
    // New peers learn of this VM at once; in a large fleet the rounds of greetings reach the others.
    const std::string text = this->heartbeatMessage();
    size_t greeted = 0;
    for (const Peer* peer : this->nextPeers(this->peers.size())) {
        if (peer->addedAt == now && greeted++ < greetedAtOnce)
            this->sendTo(*peer, text);
    }
}

bool PeerExchange::isLive(const Peer& peer, TimePoint now) const { return now < std::max(peer.lastSeenAt, peer.addedAt) + peerSilence; }

void PeerExchange::updateFleet(TimePoint now)
{
    const ProxySettings& own = this->proxy.settings();
    std::map<DataCentre, size_t> vms { { own.dataCentre, 1 } };
    std::vector<RelayCandidate> relays { { own.vmId, own.dataCentre, own.processorShare } };
    std::map<VmId, Endpoint> relayAddresses;
    for (const auto& [id, peer] : this->peers) {
        if (now >= std::max(peer.lastSeenAt, peer.addedAt) + peerForgotten)
            continue;
        ++vms[peer.entry.dataCentre];
        // Not every VM hears every other one often, and all should see the same candidates. Relays that are away are noticed in use.
        if (now < peer.excludedUntil)
            continue;
        relays.push_back({ id, peer.entry.dataCentre, peer.entry.processorShare });
        relayAddresses.emplace(id, Endpoint { peer.entry.configurationEndpoint.address, peer.entry.relayPort });
    }
    this->proxy.setRelays(relays, std::move(relayAddresses));
    this->proxy.setVmCounts(std::move(vms));
}

bool PeerExchange::areMostPeersSilent() const
{
    const TimePoint now = bootNow();
    const auto heard = std::count_if(
        this->peers.begin(), this->peers.end(), [&](const auto& each) { return now < each.second.lastSeenAt + isolationSilence; });
    // In a large fleet a VM hears from as many peers a round as greet it, whatever the size.
    const size_t expected = std::min(this->peers.size(), 2 * greetedAtATime);
    return static_cast<size_t>(heard) * 2 < expected;
}

size_t PeerExchange::rendezvousRank(std::string_view key) const
{
    const TimePoint now = bootNow();
    const uint64_t own = rendezvousScore(key, this->proxy.settings().vmId.value);
    size_t rank = 0;
    for (const auto& [id, peer] : this->peers) {
        if (this->isLive(peer, now) && rendezvousScore(key, id.value) > own)
            ++rank;
    }
    return rank;
}

PeerExchange::Peer* PeerExchange::quotaAllocatorPeer(TimePoint now)
{
    const auto mayLend
        = [&](const Peer& peer) { return peer.startedAt != TimePoint {} && this->isLive(peer, now) && now >= peer.excludedUntil; };
    TimePoint oldest = this->isStopping ? now : this->startedAt;
    for (const auto& [id, peer] : this->peers) {
        if (mayLend(peer))
            oldest = std::min(oldest, peer.startedAt);
    }
    Peer* best = nullptr;
    uint64_t bestWeight
        = this->isStopping || oldest + sameAge < this->startedAt ? 0 : rendezvousScore(ledgerKey, this->proxy.settings().vmId.value);
    for (auto& [id, peer] : this->peers) {
        if (!mayLend(peer) || oldest + sameAge < peer.startedAt)
            continue;
        const uint64_t weight = rendezvousScore(ledgerKey, id.value);
        if (weight > bestWeight) {
            best = &peer;
            bestWeight = weight;
        }
    }
    return best;
}

json::object PeerExchange::quotaAllocatorHint(TimePoint now)
{
    const Peer* peer = this->quotaAllocatorPeer(now);
    if (!peer && !this->proxy.isConfigured())
        return {};
    if (!peer)
        return { { "vm", this->proxy.settings().vmId.value }, { "upMs", toMilliseconds(now - this->startedAt) }, { "silentMs", 0 } };
    return { { "vm", peer->entry.id.value }, { "upMs", toMilliseconds(now - peer->startedAt) },
        { "silentMs", toMilliseconds(now - peer->lastSeenAt) } };
}

void PeerExchange::applyQuotaAllocatorHint(const json::object& message, TimePoint now)
{
    const Result<json::object> hint = objectMember(message, "ledger");
    if (!hint)
        return;
    const Result<std::string> vm = stringMember(hint.value(), "vm");
    const Result<uint64_t> up = unsignedMember(hint.value(), "upMs");
    const Result<uint64_t> silent = unsignedMember(hint.value(), "silentMs");
    const auto peer = vm ? this->peers.find(VmId(vm.value())) : this->peers.end();
    if (peer == this->peers.end() || !up || !silent)
        return;
    const TimePoint heardAt = now - std::chrono::milliseconds(silent.value());
    if (heardAt <= peer->second.lastSeenAt)
        return;
    peer->second.lastSeenAt = heardAt;
    peer->second.startedAt = now - std::chrono::milliseconds(up.value());
}

void PeerExchange::announceStop()
{
    this->isStopping = true;
    const std::string text = this->heartbeatMessage();
    for (const auto& [id, peer] : this->peers)
        this->sendTo(peer, text);
}

void PeerExchange::requestQuotaIfDue()
{
    if (!this->proxy.isConfigured())
        return;
    const TimePoint now = bootNow();
    if (this->isQuotaRequestOutstanding) {
        if (now < this->quotaRequestSentAt + askTimeout)
            return;
        this->isQuotaRequestOutstanding = false;
        const auto silent = this->peers.find(this->quotaRequestPeer);
        if (silent != this->peers.end())
            silent->second.excludedUntil = now + avoidance;
    }
    LocalQuota& share = this->proxy.quota();
    if (!share.isRequestDue(this->proxy.fleetSize(), now))
        return;
    const std::vector<QuotaRequest> asks = share.collectRequests(now);
    share.recordRequestSent(now);
    Peer* peer = this->quotaAllocatorPeer(now);
    if (!peer) {
        const RouteTable& table = this->proxy.routeTable();
        share.applyGrants(
            this->quotaAllocator.grant(this->proxy.settings().vmId, asks, table.organisations, this->proxy.fleetSize(), now), now, now);
        this->proxy.serveQuotaWaiters();
        return;
    }
    json::array list;
    for (const QuotaRequest& ask : asks)
        list.push_back(json::array { ask.organisation.value, ask.wanted, ask.unused });
    this->isQuotaRequestOutstanding = true;
    this->quotaRequestSentAt = now;
    this->quotaRequestPeer = peer->entry.id;
    json::object message { { "kind", askKind }, { "vm", this->proxy.settings().vmId.value }, { "number", ++this->quotaRequestNumber },
        { "list", list } };
    // The lender relates the times of the news to the moment at which it sent its last answer, which came here later.
    if (this->lastGrantPeer == peer->entry.id) {
        message["after"] = this->lastGrantNumber;
        message["news"] = encodeGroupUpdates(this->proxy.groupUpdates(this->lastGrantReceivedAt), this->lastGrantReceivedAt);
    }
    this->sendTo(*peer, json::serialize(message));
}

std::string PeerExchange::heartbeatMessage()
{
    return json::serialize(json::object { { "kind", greetingKind }, { "vm", this->proxy.settings().vmId.value },
        { "configuration", this->proxy.configurationVersion() }, { "control", this->proxy.settings().peerEndpoint.port },
        { "upMs", toMilliseconds(bootNow() - this->startedAt) }, { "stops", this->isStopping },
        { "ledger", this->quotaAllocatorHint(bootNow()) } });
}

void PeerExchange::scheduleHeartbeats()
{
    this->heartbeatTimer.expires_after(greetingInterval);
    this->heartbeatTimer.async_wait([this](const boost::system::error_code& code) {
        if (code)
            return;
        this->sendHeartbeats();
        this->scheduleHeartbeats();
    });
}

void PeerExchange::sendHeartbeats()
{
    this->updateFleet(bootNow());
    if (this->peers.empty())
        return;
    const std::string text = this->heartbeatMessage();
    const size_t count = std::min(greetedAtATime, this->peers.size());
    for (const Peer* peer : this->nextPeers(count))
        this->sendTo(*peer, text);
    this->nextPeerIndex += count;
}

std::vector<const PeerExchange::Peer*> PeerExchange::nextPeers(size_t count)
{
    std::vector<const Peer*> next;
    auto peer = this->peers.begin();
    if (!this->peers.empty())
        std::advance(peer, this->nextPeerIndex % this->peers.size());
    while (next.size() < count) {
        next.push_back(&peer->second);
        if (++peer == this->peers.end())
            peer = this->peers.begin();
    }
    return next;
}

void PeerExchange::sendTo(const Peer& peer, const std::string& text)
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(peer.entry.configurationEndpoint.address, code);
    if (!code)
        this->sendTo(Udp::endpoint(address, peer.entry.datagramPort), text);
}

void PeerExchange::sendTo(const Udp::endpoint& endpoint, const std::string& text)
{
    boost::system::error_code code;
    this->socket.send_to(boost::asio::buffer(text), endpoint, 0, code);
    if (code && code != boost::asio::error::would_block)
        logEvent(LogLevel::Debug, "datagram not sent", { { "detail", code.message() } });
}

void PeerExchange::receiveNext()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->sender, [this](const boost::system::error_code& code, size_t count) {
            if (code == boost::asio::error::operation_aborted)
                return;
            if (!code)
                this->handleDatagram({ this->buffer.data(), count }, this->sender);
            this->receiveNext();
        });
}

void PeerExchange::handleDatagram(std::string_view datagram, const Udp::endpoint& from)
{
    const Result<json::object> parsed = parseJsonObject(datagram);
    const Result<std::string> kind = parsed ? stringMember(parsed.value(), "kind") : Result<std::string>(parsed.error());
    const Result<std::string> vm = parsed ? stringMember(parsed.value(), "vm") : Result<std::string>(parsed.error());
    if (!kind || !vm) {
        logEvent(LogLevel::Debug, "datagram skipped", { { "detail", kind ? vm.error().detail : kind.error().detail } });
        return;
    }
    const TimePoint now = bootNow();
    const auto peer = this->peers.find(VmId(vm.value()));
    if (peer != this->peers.end())
        peer->second.lastSeenAt = now;
    const json::object& message = parsed.value();
    if (kind.value() == greetingKind) {
        const Result<uint64_t> up = unsignedMember(message, "upMs");
        const Result<bool> stops = booleanMember(message, "stops");
        const Result<uint64_t> version = unsignedMember(message, "configuration");
        if (peer != this->peers.end() && up && stops) {
            // One without a configuration knows no limits and lends nothing.
            peer->second.startedAt = version && version.value() > 0 ? now - std::chrono::milliseconds(up.value()) : TimePoint {};
            if (stops.value())
                peer->second.excludedUntil = now + stopAvoidance;
        }
        this->applyQuotaAllocatorHint(message, now);
        const uint64_t own = this->proxy.configurationVersion();
        // The sender need not be known: a VM that the store rejects from its start on knows no peers.
        const Result<uint64_t> control = unsignedMember(message, "control");
        if (version && control && version.value() > own)
            this->onNewerConfiguration(Endpoint { from.address().to_string(), static_cast<uint16_t>(control.value()) }, version.value());
        return;
    }
    try {
        if (kind.value() == askKind)
            this->handleQuotaRequest(VmId(vm.value()), message, from);
        else if (kind.value() == grantKind)
            this->handleGrant(message);
    } catch (const std::exception& error) {
        logEvent(LogLevel::Debug, "datagram skipped", { { "detail", error.what() } });
    }
}

void PeerExchange::handleQuotaRequest(const VmId& vm, const json::object& message, const Udp::endpoint& from)
{
    if (!this->proxy.isConfigured())
        return;
    const TimePoint now = bootNow();
    std::vector<QuotaRequest> asks;
    for (const json::value& each : message.at("list").as_array()) {
        const json::array& ask = each.as_array();
        asks.push_back({ OrganisationId(std::string(std::string_view(ask.at(0).as_string()))), numberAt(ask, 1), numberAt(ask, 2) });
    }
    const uint64_t number = message.at("number").to_number<uint64_t>();
    Requester& asker = this->requesters[vm];
    const json::value* after = message.if_contains("after");
    if (after && after->to_number<uint64_t>() == asker.answeredNumber && asker.answeredNumber != 0)
        this->proxy.applyGroupUpdates(decodeGroupUpdates(message.at("news").as_array(), asker.answeredAt));
    json::array grants;
    const RouteTable& table = this->proxy.routeTable();
    for (const QuotaGrant& grant : this->quotaAllocator.grant(vm, asks, table.organisations, this->proxy.fleetSize(), now))
        grants.push_back(json::array { grant.organisation.value, grant.tokens });
    asker = Requester { number, now };
    // The asker relates the times to the moment at which it sent this request, which came here later.
    this->sendTo(from,
        json::serialize(json::object { { "kind", grantKind }, { "vm", this->proxy.settings().vmId.value }, { "number", number },
            { "list", grants }, { "news", encodeGroupUpdates(this->proxy.groupUpdates(now - primaryLeaseLifetime), now) },
            { "ledger", this->quotaAllocatorHint(now) } }));
}

void PeerExchange::handleGrant(const json::object& message)
{
    if (!this->isQuotaRequestOutstanding || message.at("number").to_number<uint64_t>() != this->quotaRequestNumber)
        return;
    const TimePoint now = bootNow();
    this->isQuotaRequestOutstanding = false;
    this->lastGrantNumber = this->quotaRequestNumber;
    this->lastGrantPeer = this->quotaRequestPeer;
    this->lastGrantReceivedAt = now;
    this->applyQuotaAllocatorHint(message, now);
    std::vector<QuotaGrant> grants;
    for (const json::value& each : message.at("list").as_array()) {
        const json::array& grant = each.as_array();
        grants.push_back({ OrganisationId(std::string(std::string_view(grant.at(0).as_string()))), numberAt(grant, 1) });
    }
    this->proxy.applyGroupUpdates(decodeGroupUpdates(message.at("news").as_array(), this->quotaRequestSentAt));
    this->proxy.quota().applyGrants(grants, this->quotaRequestSentAt, now);
    this->proxy.serveQuotaWaiters();
}

}
