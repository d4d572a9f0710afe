#include "foxtailtrail/server/MembershipService.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>

namespace foxtail {

namespace {

    constexpr Duration pingTimeout = std::chrono::milliseconds(500);
    constexpr Duration bootstrapInterval = std::chrono::seconds(1);
    // Until this VM is on the platform's list, its registration is tried again this often.
    constexpr Duration registrationInterval = std::chrono::milliseconds(500);

}

MembershipService::MembershipService(
    MembershipServiceSettings settings, StoreClient& store, PeerClient& peers, std::function<uint64_t()> configurationVersion)
    : settings(std::move(settings))
    , store(store)
    , peers(peers)
    , configurationVersion(std::move(configurationVersion))
    , table(this->settings.table, this->settings.self.id, this->settings.self.region)
    , unanswered(this->settings.bootstrapPeers)
{
}

json::object MembershipService::encodeSelf() const
{
    const LiveVm& self = this->settings.self;
    return { { "vm", self.id.value }, { "incarnation", this->settings.incarnation }, { "leaving", self.leaving },
        { "address", self.peerEndpoint.address }, { "peerPort", self.peerEndpoint.port }, { "region", self.region.value },
        { "dataCentre", self.dataCentre.value }, { "version", this->configurationVersion() } };
}

Result<void> MembershipService::hear(const json::object& report, TimePoint sentAt, bool isPing)
{
    LiveVm vm;
    BOOST_OUTCOME_TRY(vm.id.value, stringMember(report, "vm"));
    BOOST_OUTCOME_TRY(const uint64_t incarnation, unsignedMember(report, "incarnation"));
    BOOST_OUTCOME_TRY(vm.leaving, booleanMember(report, "leaving"));
    BOOST_OUTCOME_TRY(vm.peerEndpoint.address, stringMember(report, "address"));
    BOOST_OUTCOME_TRY(const uint64_t port, unsignedMember(report, "peerPort"));
    vm.peerEndpoint.port = static_cast<uint16_t>(port);
    BOOST_OUTCOME_TRY(vm.region.value, stringMember(report, "region"));
    BOOST_OUTCOME_TRY(vm.dataCentre.value, stringMember(report, "dataCentre"));
    BOOST_OUTCOME_TRY(vm.configurationVersion, unsignedMember(report, "version"));
    if (vm.id == this->settings.self.id)
        return succeed();

    const bool isNew = !this->known.contains(vm.id);
    if (isNew) {
        this->known[vm.id] = vm;
        this->updateTable();
    }
    const PeerReport said { vm.id, incarnation, vm.leaving };
    const PeerChange change = isPing ? this->table.heardPing(said, sentAt) : this->table.heard(said, sentAt);
    if (change == PeerChange::Outdated)
        return succeed();
    this->known[vm.id] = vm;
    std::erase(this->unanswered, vm.peerEndpoint);
    if (change != PeerChange::None)
        logEvent(LogLevel::Info, "peer changed", { { "peer", vm.id.value }, { "leaving", vm.leaving }, { "incarnation", incarnation } });
    return succeed();
}

Result<json::object> MembershipService::answerPing(const json::object& parameters)
{
    BOOST_OUTCOME_TRY(this->hear(parameters, now(), true));
    return this->encodeSelf();
}

void MembershipService::ping(const Endpoint& endpoint)
{
    startFiber([this, endpoint] {
        const TimePoint sentAt = now();
        const Result<json::object> answer
            = this->peers.call(endpoint, TrafficPurpose::Control, "ping", this->encodeSelf(), sentAt + pingTimeout);
        if (answer)
            (void)this->hear(answer.value(), sentAt, false);
    });
}

void MembershipService::sendDuePings()
{
    this->logDeaths();
    for (const VmId& id : this->table.duePings(now())) {
        const auto found = this->known.find(id);
        if (found != this->known.end())
            this->ping(found->second.peerEndpoint);
    }
    if (now() < this->nextBootstrap)
        return;
    this->nextBootstrap = now() + bootstrapInterval;
    for (const Endpoint& endpoint : this->unanswered)
        this->ping(endpoint);
}

void MembershipService::logDeaths()
{
    std::set<VmId> alive;
    for (const PeerState& state : this->table.snapshot(now())) {
        if (state.alive)
            alive.insert(state.vm);
        else if (this->aliveBefore.contains(state.vm))
            logEvent(LogLevel::Warning, "peer silent", { { "peer", state.vm.value } });
    }
    this->aliveBefore = std::move(alive);
}

void MembershipService::refreshList()
{
    if (now() < this->nextList)
        return;
    if (!this->registered) {
        const LiveVm& self = this->settings.self;
        this->registered
            = this->store
                  .registerVm({ self.id, self.peerEndpoint.address, self.peerEndpoint.port, self.region, self.dataCentre, self.leaving })
                  .has_value();
    }
    this->nextList = now() + (this->registered ? this->settings.listInterval : registrationInterval);
    const Result<std::vector<ListedVm>> listed = this->store.listVms();
    if (!listed)
        return;
    for (const ListedVm& vm : listed.value()) {
        if (vm.id == this->settings.self.id || this->known.contains(vm.id))
            continue;
        this->known[vm.id] = { vm.id, { vm.address, vm.peerPort }, vm.region, vm.dataCentre, vm.leaving, 0 };
    }
    this->updateTable();
}

void MembershipService::setRequired(std::vector<VmId> ids)
{
    if (ids == this->required)
        return;
    this->required = std::move(ids);
    this->updateTable();
}

void MembershipService::updateTable()
{
    std::vector<PeerHint> hints;
    for (const auto& [id, vm] : this->known)
        hints.push_back({ id, vm.region, vm.dataCentre, vm.leaving });
    this->table.setPeers(hints, this->required, now());
}

void MembershipService::setLeaving()
{
    this->settings.self.leaving = true;
    this->registered = false;
    this->nextList = TimePoint();
}

std::vector<LiveVm> MembershipService::liveVms() const
{
    std::vector<LiveVm> live { this->settings.self };
    live.back().configurationVersion = this->configurationVersion();
    for (const PeerState& state : this->table.snapshot(now())) {
        const auto found = this->known.find(state.vm);
        if (!state.alive || found == this->known.end())
            continue;
        live.push_back(found->second);
        live.back().leaving = state.leaving;
    }
    std::sort(live.begin(), live.end(), [](const LiveVm& left, const LiveVm& right) { return left.id < right.id; });
    return live;
}

std::optional<Duration> MembershipService::silence(const VmId& id) const
{
    return id == this->settings.self.id ? std::nullopt : this->table.silence(id, now());
}

}
