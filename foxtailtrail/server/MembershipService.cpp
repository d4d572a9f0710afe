#include "foxtailtrail/server/MembershipService.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>

namespace foxtail {

namespace {

    constexpr Duration pingTimeout = std::chrono::milliseconds(500);
    constexpr Duration bootstrapInterval = std::chrono::seconds(1);
    // Retry interval of the registration, until this VM is on the platform's list.
    constexpr Duration registrationInterval = std::chrono::milliseconds(500);

}

MembershipService::MembershipService(
    MembershipServiceSettings settings, StoreClient& store, PeerClient& peers, std::function<uint64_t()> configurationVersion)
    : settings(std::move(settings))
    , store(store)
    , peers(peers)
    , configurationVersion(std::move(configurationVersion))
    , peerTable(this->settings.peerTable, this->settings.self.id, this->settings.self.region)
    , unansweredEndpoints(this->settings.bootstrapPeers)
{
}

json::object MembershipService::encodeSelf() const
{
    const LiveVm& self = this->settings.self;
    return { { "vm", self.id.value }, { "incarnation", this->settings.incarnation }, { "leaving", self.isLeaving },
        { "address", self.peerEndpoint.address }, { "peerPort", self.peerEndpoint.port }, { "region", self.region.value },
        { "dataCentre", self.dataCentre.value }, { "version", this->configurationVersion() } };
}

Result<void> MembershipService::handleHeartbeat(const json::object& report, TimePoint sentAt, bool isPing)
{
    LiveVm vm;
    BOOST_OUTCOME_TRY(vm.id.value, stringMember(report, "vm"));
    BOOST_OUTCOME_TRY(const uint64_t incarnation, unsignedMember(report, "incarnation"));
    BOOST_OUTCOME_TRY(vm.isLeaving, booleanMember(report, "leaving"));
    BOOST_OUTCOME_TRY(vm.peerEndpoint.address, stringMember(report, "address"));
    BOOST_OUTCOME_TRY(const uint64_t port, unsignedMember(report, "peerPort"));
    vm.peerEndpoint.port = static_cast<uint16_t>(port);
    BOOST_OUTCOME_TRY(vm.region.value, stringMember(report, "region"));
    BOOST_OUTCOME_TRY(vm.dataCentre.value, stringMember(report, "dataCentre"));
    BOOST_OUTCOME_TRY(vm.configurationVersion, unsignedMember(report, "version"));
    if (vm.id == this->settings.self.id)
        return succeed();

    const bool isNew = !this->knownVms.contains(vm.id);
    if (isNew) {
        this->knownVms[vm.id] = vm;
        this->updatePeerTable();
    }
    const PeerReport peerReport { vm.id, incarnation, vm.isLeaving };
    const PeerChange change = isPing ? this->peerTable.handlePing(peerReport, sentAt) : this->peerTable.handleReport(peerReport, sentAt);
    if (change == PeerChange::Outdated)
        return succeed();
    this->knownVms[vm.id] = vm;
    std::erase(this->unansweredEndpoints, vm.peerEndpoint);
    if (change != PeerChange::None)
        logEvent(
            LogLevel::Info, "peer state changed", { { "peer", vm.id.value }, { "leaving", vm.isLeaving }, { "incarnation", incarnation } });
    return succeed();
}

Result<json::object> MembershipService::handlePing(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(this->handleHeartbeat(parameters, now(), true));
    return this->encodeSelf();
}

void MembershipService::ping(const Endpoint& endpoint)
{
    startFiber([this, endpoint] {
        const TimePoint sentAt = now();
        const Result<json::object> reply
            = this->peers.call(endpoint, TrafficPurpose::Control, "ping", this->encodeSelf(), sentAt + pingTimeout);
        if (reply)
            (void)this->handleHeartbeat(reply.value(), sentAt, false);
    });
}

void MembershipService::sendDuePings()
{
    this->logSilentPeers();
    for (const VmId& id : this->peerTable.duePings(now())) {
        const auto found = this->knownVms.find(id);
        if (found != this->knownVms.end())
            this->ping(found->second.peerEndpoint);
    }
    if (now() < this->nextBootstrapAt)
        return;
    this->nextBootstrapAt = now() + bootstrapInterval;
    for (const Endpoint& endpoint : this->unansweredEndpoints)
        this->ping(endpoint);
}

void MembershipService::logSilentPeers()
{
    std::set<VmId> livePeers;
    for (const PeerState& state : this->peerTable.snapshot(now())) {
        if (state.isAlive)
            livePeers.insert(state.vm);
        else if (this->previouslyLiveVms.contains(state.vm))
            logEvent(LogLevel::Warning, "peer silent", { { "peer", state.vm.value } });
    }
    this->previouslyLiveVms = std::move(livePeers);
}

void MembershipService::refreshVmList()
{
    if (now() < this->nextListRefreshAt)
        return;
    if (!this->isRegistered) {
        const LiveVm& self = this->settings.self;
        this->isRegistered
            = this->store
                  .registerVm({ self.id, self.peerEndpoint.address, self.peerEndpoint.port, self.region, self.dataCentre, self.isLeaving })
                  .has_value();
    }
    this->nextListRefreshAt = now() + (this->isRegistered ? this->settings.listRefreshInterval : registrationInterval);
    const Result<std::vector<RegisteredVm>> listed = this->store.listVms();
    if (!listed)
        return;
    for (const RegisteredVm& vm : listed.value()) {
        if (vm.id == this->settings.self.id || this->knownVms.contains(vm.id))
            continue;
        this->knownVms[vm.id] = { vm.id, { vm.address, vm.peerPort }, vm.region, vm.dataCentre, vm.leaving, 0 };
    }
    this->updatePeerTable();
}

void MembershipService::setRequiredPeers(std::vector<VmId> ids)
{
    if (ids == this->requiredPeers)
        return;
    this->requiredPeers = std::move(ids);
    this->updatePeerTable();
}

void MembershipService::updatePeerTable()
{
    std::vector<PeerHint> hints;
    for (const auto& [id, vm] : this->knownVms)
        hints.push_back({ id, vm.region, vm.dataCentre, vm.isLeaving });
    this->peerTable.setPeers(hints, this->requiredPeers, now());
}

void MembershipService::setLeaving()
{
    this->settings.self.isLeaving = true;
    this->isRegistered = false;
    this->nextListRefreshAt = TimePoint();
}

std::vector<LiveVm> MembershipService::liveVms() const
{
    std::vector<LiveVm> live { this->settings.self };
    live.back().configurationVersion = this->configurationVersion();
    for (const PeerState& state : this->peerTable.snapshot(now())) {
        const auto found = this->knownVms.find(state.vm);
        if (!state.isAlive || found == this->knownVms.end())
            continue;
        live.push_back(found->second);
        live.back().isLeaving = state.isLeaving;
    }
    std::sort(live.begin(), live.end(), [](const LiveVm& left, const LiveVm& right) { return left.id < right.id; });
    return live;
}

std::optional<Duration> MembershipService::heartbeatAge(const VmId& id) const
{
    return id == this->settings.self.id ? std::nullopt : this->peerTable.heartbeatAge(id, now());
}

}
