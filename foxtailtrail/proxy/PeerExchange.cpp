#include "foxtailtrail/proxy/PeerExchange.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/GroupUpdateCodec.h"
#include "foxtailtrail/proxy/QuotaCodec.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace foxtail {

using Udp = boost::asio::ip::udp;

namespace {

    constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
    // Peers that get a heartbeat in one round, so that the cost of a VM does not grow with the fleet.
    constexpr size_t heartbeatsPerRound = 3;
    constexpr size_t maxInitialHeartbeats = 16;
    // Upper bound of the index in the list of peers at which a VM's rounds start.
    constexpr uint64_t startIndexRange = 1'000'003;
    // A peer that has been silent for this long is not live. The time is long because a peer of a large fleet may skip this VM in a dozen
    // rounds.
    constexpr Duration peerSilenceTimeout = std::chrono::seconds(4);
    // Within this time a VM gets two heartbeats from each peer of a small fleet, and heartbeats from several peers of a large one.
    constexpr Duration isolationTimeout = std::chrono::milliseconds(2500);
    // A peer that has been silent for this long is not counted as part of the fleet.
    constexpr Duration fleetMembershipTimeout = std::chrono::seconds(60);
    constexpr Duration unansweredExclusionLifetime = std::chrono::seconds(2);
    // A peer that announces its stop has exited within this time.
    constexpr Duration stoppingExclusionLifetime = std::chrono::seconds(6);

    // Kinds of datagrams.
    constexpr std::string_view heartbeatKind = "hello";
    constexpr std::string_view quotaRequestKind = "ask";
    constexpr std::string_view grantKind = "grant";

}

PeerExchange::PeerExchange(boost::asio::io_context& context, SessionProxy& proxy, NewerConfigurationCallback newerConfiguration)
    : context(context)
    , proxy(proxy)
    , onNewerConfiguration(std::move(newerConfiguration))
    , socket(context)
    , heartbeatTimer(context)
    // The VMs' rounds start at different peers, so that a peer gets the heartbeats of different VMs one after the other and not all at
    // once.
    , nextPeerIndex(stableHash(proxy.settings().vmId.value) % startIndexRange)
    , allocatorChoice(proxy.settings().vmId)
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
    const ProxySettings& own = this->proxy.settings();
    std::vector<AllocatorCandidate> candidates { { own.vmId, own.processorShare } };
    for (const PeerEntry& entry : entries) {
        if (entry.id == own.vmId)
            continue;
        candidates.push_back({ entry.id, entry.processorShare });
        const auto known = this->peers.find(entry.id);
        if (known != this->peers.end() && known->second.entry == entry)
            updated.emplace(entry.id, known->second);
        else
            updated.emplace(entry.id, Peer { entry, now, TimePoint {}, TimePoint {}, TimePoint {} });
    }
    this->peers = std::move(updated);
    this->allocatorChoice.setCandidates(candidates, now);
    this->updateFleet(now);
    // New peers get a heartbeat immediately. In a large fleet, the heartbeat rounds reach the remaining ones.
    const std::string text = this->heartbeatMessage();
    size_t sentCount = 0;
    for (const Peer* peer : this->nextPeers(this->peers.size())) {
        if (peer->addedAt == now && sentCount++ < maxInitialHeartbeats)
            this->sendTo(*peer, text);
    }
}

bool PeerExchange::isLive(const Peer& peer, TimePoint now) const
{
    return now < std::max(peer.lastSeenAt, peer.addedAt) + peerSilenceTimeout;
}

bool PeerExchange::isFleetMember(const Peer& peer, TimePoint now)
{
    return now < std::max(peer.lastSeenAt, peer.addedAt) + fleetMembershipTimeout;
}

std::set<VmId> PeerExchange::fleetMembers(TimePoint now) const
{
    std::set<VmId> members;
    for (const auto& [id, peer] : this->peers) {
        if (isFleetMember(peer, now))
            members.insert(id);
    }
    return members;
}

void PeerExchange::sendToFleet(const std::string& text, size_t maxVms)
{
    const TimePoint now = bootNow();
    size_t sentCount = 0;
    for (const auto& [id, peer] : this->peers) {
        if (isFleetMember(peer, now) && sentCount++ < maxVms)
            this->sendTo(peer, text);
    }
}

void PeerExchange::updateFleet(TimePoint now)
{
    const ProxySettings& own = this->proxy.settings();
    std::map<DataCentre, size_t> vmCounts { { own.dataCentre, 1 } };
    std::vector<RelayCandidate> relays { { own.vmId, own.dataCentre, own.processorShare } };
    std::map<VmId, Endpoint> relayAddresses;
    for (const auto& [id, peer] : this->peers) {
        if (!isFleetMember(peer, now))
            continue;
        ++vmCounts[peer.entry.dataCentre];
        // All VMs should use the same relay candidates although not every VM gets frequent heartbeats from every other one, so silent VMs
        // stay candidates. A relay that is down is detected when it is used.
        if (now < peer.excludedUntil)
            continue;
        relays.push_back({ id, peer.entry.dataCentre, peer.entry.processorShare });
        relayAddresses.emplace(id, Endpoint { peer.entry.configurationEndpoint.address, peer.entry.relayPort });
    }
    this->proxy.setRelays(relays, std::move(relayAddresses));
    this->proxy.setVmCounts(std::move(vmCounts));
}

bool PeerExchange::areMostPeersSilent() const
{
    const TimePoint now = bootNow();
    const auto recentlySeenCount = std::count_if(
        this->peers.begin(), this->peers.end(), [&](const auto& each) { return now < each.second.lastSeenAt + isolationTimeout; });
    // In a large fleet, the number of peers that send a heartbeat to this VM in one round does not depend on the size of the fleet.
    const size_t expected = std::min(this->peers.size(), 2 * heartbeatsPerRound);
    return static_cast<size_t>(recentlySeenCount) * 2 < expected;
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

json::object PeerExchange::quotaAllocatorHint(TimePoint now)
{
    const VmId& self = this->proxy.settings().vmId;
    const std::optional<VmId> allocator = this->allocatorChoice.allocatorAt(now, this->canAllocate(now));
    if (allocator == self)
        return { { "vm", self.value }, { "silentMs", 0 } };
    const auto peer = allocator ? this->peers.find(*allocator) : this->peers.end();
    if (peer == this->peers.end() || peer->second.allocatorHeardAt == TimePoint {})
        return {};
    return { { "vm", allocator->value }, { "silentMs", toMilliseconds(now - peer->second.allocatorHeardAt) } };
}

void PeerExchange::applyQuotaAllocatorHint(const json::object& message, TimePoint now)
{
    const Result<json::object> hint = objectMember(message, "ledger");
    if (!hint)
        return;
    const Result<std::string> vm = stringMember(hint.value(), "vm");
    const Result<uint64_t> silent = unsignedMember(hint.value(), "silentMs");
    const auto peer = vm ? this->peers.find(VmId(vm.value())) : this->peers.end();
    if (peer != this->peers.end() && silent)
        this->recordAllocatorHeard(peer->second, now - std::chrono::milliseconds(silent.value()));
}

void PeerExchange::recordAllocatorHeard(Peer& peer, TimePoint heardAt)
{
    peer.allocatorHeardAt = std::max(peer.allocatorHeardAt, heardAt);
    peer.lastSeenAt = std::max(peer.lastSeenAt, heardAt);
    this->allocatorChoice.recordHeard(peer.entry.id, heardAt);
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
    if (this->quotaRequestLog.isReplyAwaited(now))
        return;
    const bool isRepetition = this->quotaRequestLog.isRepetitionDue(now);
    if (const std::optional<VmId> unresponsive = this->quotaRequestLog.takeUnresponsiveAllocator(now)) {
        this->allocatorChoice.recordUnresponsive(*unresponsive, now);
        const auto silent = this->peers.find(*unresponsive);
        if (silent != this->peers.end())
            silent->second.excludedUntil = now + unansweredExclusionLifetime;
    }
    LocalQuota& share = this->proxy.quota();
    if (!isRepetition && !share.isRequestDue(this->proxy.fleetSize(), now))
        return;
    const std::optional<VmId> allocator = this->allocatorChoice.allocatorAt(now, this->canAllocate(now));
    if (!allocator)
        return;
    if (*allocator != this->lastAllocator) {
        logEvent(
            LogLevel::Info, "quota allocator changed", { { "allocator", allocator->value }, { "earlier", this->lastAllocator.value } });
        this->lastAllocator = *allocator;
    }
    const auto peer = this->peers.find(*allocator);
    const std::vector<QuotaRequest> quotaRequests = share.collectRequests(now);
    share.recordRequestSent(now);
    if (peer == this->peers.end()) {
        this->allocatedAt = now;
        const RouteTable& table = this->proxy.routeTable();
        share.applyGrants(
            this->quotaAllocator.grant(this->proxy.settings().vmId, quotaRequests, table.organisations, this->proxy.fleetSize(), now), now,
            now);
        this->proxy.serveQuotaWaiters();
        return;
    }
    json::array list = encodeQuotaRequests(quotaRequests);
    json::object message { { "kind", quotaRequestKind }, { "vm", this->proxy.settings().vmId.value },
        { "number", this->quotaRequestLog.recordSent(*allocator, now) }, { "list", list } };
    // The quota allocator reads the times of the updates relative to the moment at which it sent its last answer, which is earlier than the
    // moment at which this VM received it.
    if (this->lastGrantPeer == *allocator) {
        message["after"] = this->lastGrantNumber;
        message["news"] = encodeGroupUpdates(this->proxy.groupUpdates(this->lastGrantReceivedAt), this->lastGrantReceivedAt);
    }
    this->sendTo(peer->second, json::serialize(message));
}

std::string PeerExchange::heartbeatMessage(bool requestsAnswer)
{
    json::object message { { "kind", heartbeatKind }, { "vm", this->proxy.settings().vmId.value },
        { "configuration", this->proxy.configurationVersion() }, { "control", this->proxy.settings().peerEndpoint.port },
        { "stops", this->isStopping }, { "allocates", this->canAllocate(bootNow()) }, { "answer", requestsAnswer },
        { "ledger", this->quotaAllocatorHint(bootNow()) } };
    if (const StoreVersion& changedAt = this->proxy.evacuations().changedAt(); changedAt != StoreVersion {})
        message["evacuations"] = json::array { changedAt.era, changedAt.number };
    return json::serialize(message);
}

void PeerExchange::handleEvacuationVersion(const json::object& message, const Endpoint& peer)
{
    const json::value* value = message.if_contains("evacuations");
    const json::array* numbers = value ? value->if_array() : nullptr;
    if (!numbers || numbers->size() != 2 || !numbers->at(0).is_number() || !numbers->at(1).is_number())
        return;
    boost::system::error_code eraCode;
    boost::system::error_code numberCode;
    const StoreVersion changedAt { numbers->at(0).to_number<uint64_t>(eraCode), numbers->at(1).to_number<uint64_t>(numberCode) };
    if (!eraCode && !numberCode && this->onNewerEvacuations && changedAt > this->proxy.evacuations().knownAsOf())
        this->onNewerEvacuations(peer, changedAt);
}

void PeerExchange::scheduleHeartbeats()
{
    this->heartbeatTimer.expires_after(heartbeatInterval);
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
    const size_t count = std::min(heartbeatsPerRound, this->peers.size());
    for (const Peer* peer : this->nextPeers(count))
        this->sendTo(*peer, text);
    this->nextPeerIndex += count;
    if (bootNow() >= this->allocatedAt + heartbeatInterval)
        return;
    const std::string request = this->heartbeatMessage(true);
    for (const VmId& preceding : this->allocatorChoice.precedingCandidates()) {
        if (const auto peer = this->peers.find(preceding); peer != this->peers.end())
            this->sendTo(peer->second, request);
    }
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
        logEvent(text.size() > maxDatagramBytes ? LogLevel::Warning : LogLevel::Debug, "sending a datagram failed",
            { { "bytes", text.size() }, { "detail", code.message() } });
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
        logEvent(
            LogLevel::Debug, "datagram ignored: it cannot be decoded", { { "detail", kind ? vm.error().detail : kind.error().detail } });
        return;
    }
    const TimePoint now = bootNow();
    const auto peer = this->peers.find(VmId(vm.value()));
    if (peer != this->peers.end())
        peer->second.lastSeenAt = now;
    const json::object& message = parsed.value();
    if (kind.value() == heartbeatKind) {
        const Result<bool> stops = booleanMember(message, "stops");
        const Result<bool> allocates = booleanMember(message, "allocates");
        const Result<uint64_t> version = unsignedMember(message, "configuration");
        if (peer != this->peers.end() && stops && allocates) {
            if (allocates.value())
                this->recordAllocatorHeard(peer->second, now);
            else
                this->allocatorChoice.recordNotReady(peer->first, now);
            if (stops.value()) {
                peer->second.excludedUntil = now + stoppingExclusionLifetime;
                this->allocatorChoice.recordStop(peer->first, now);
            }
            if (!allocates.value() && this->quotaRequestLog.recordDeclined(peer->first)) {
                // Evaluates the waiting operations, so that the next request contains them again.
                this->proxy.serveQuotaWaiters();
                this->requestQuotaIfDue();
            }
        }
        if (const Result<bool> answer = booleanMember(message, "answer"); answer && answer.value())
            this->sendTo(from, this->heartbeatMessage());
        this->applyQuotaAllocatorHint(message, now);
        const uint64_t own = this->proxy.configurationVersion();
        // The sender need not be a known peer: a VM that the store has rejected since its start knows no peers.
        const Result<uint64_t> control = unsignedMember(message, "control");
        if (control)
            this->handleEvacuationVersion(message, { from.address().to_string(), static_cast<uint16_t>(control.value()) });
        if (version && control && version.value() > own)
            this->onNewerConfiguration(Endpoint { from.address().to_string(), static_cast<uint16_t>(control.value()) }, version.value());
        return;
    }
    try {
        if (kind.value() == quotaRequestKind)
            this->handleQuotaRequest(VmId(vm.value()), message, from);
        else if (kind.value() == grantKind)
            this->handleGrant(message);
        else if (this->messageHandler)
            this->messageHandler(
                kind.value(), VmId(vm.value()), message, [this, from](const std::string& text) { this->sendTo(from, text); });
    } catch (const std::exception& error) {
        logEvent(LogLevel::Debug, "datagram ignored: it cannot be decoded", { { "detail", error.what() } });
    }
}

void PeerExchange::handleQuotaRequest(const VmId& vm, const json::object& message, const Udp::endpoint& from)
{
    const TimePoint now = bootNow();
    if (!this->canAllocate(now)) {
        // The heartbeat states that this VM cannot allocate, so that the requester uses another one at once.
        this->sendTo(from, this->heartbeatMessage());
        return;
    }
    this->allocatedAt = now;
    const std::vector<QuotaRequest> quotaRequests = decodeQuotaRequests(message.at("list").as_array());
    const uint64_t number = message.at("number").to_number<uint64_t>();
    Requester& requester = this->requesters[vm];
    const json::value* after = message.if_contains("after");
    if (after && after->to_number<uint64_t>() == requester.answeredNumber && requester.answeredNumber != 0)
        this->proxy.applyGroupUpdates(decodeGroupUpdates(message.at("news").as_array(), requester.answeredAt));
    const RouteTable& table = this->proxy.routeTable();
    json::array grants
        = encodeQuotaGrants(this->quotaAllocator.grant(vm, quotaRequests, table.organisations, this->proxy.fleetSize(), now));
    requester = Requester { number, now };
    // The requester reads the times of the updates relative to the moment at which it sent this request, which is earlier than the moment
    // at which this VM received it.
    this->sendTo(from,
        json::serialize(json::object { { "kind", grantKind }, { "vm", this->proxy.settings().vmId.value }, { "number", number },
            { "list", grants }, { "news", encodeGroupUpdates(this->proxy.groupUpdates(now - primaryLeaseLifetime), now) },
            { "ledger", this->quotaAllocatorHint(now) } }));
}

void PeerExchange::handleGrant(const json::object& message)
{
    const std::optional<SentQuotaRequest> request = this->quotaRequestLog.recordReply(message.at("number").to_number<uint64_t>());
    if (!request)
        return;
    const TimePoint now = bootNow();
    this->lastGrantNumber = request->number;
    this->lastGrantPeer = request->allocator;
    this->lastGrantReceivedAt = now;
    this->allocatorChoice.recordGrant(request->allocator);
    if (const auto peer = this->peers.find(request->allocator); peer != this->peers.end())
        this->recordAllocatorHeard(peer->second, now);
    this->applyQuotaAllocatorHint(message, now);
    const std::vector<QuotaGrant> grants = decodeQuotaGrants(message.at("list").as_array());
    this->proxy.applyGroupUpdates(decodeGroupUpdates(message.at("news").as_array(), request->sentAt));
    this->proxy.quota().applyGrants(grants, request->sentAt, now);
    this->proxy.serveQuotaWaiters();
}

}
