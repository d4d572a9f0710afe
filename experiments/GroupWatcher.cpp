#include "experiments/GroupWatcher.h"

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration probeInterval = milliseconds(100);
    constexpr Duration probeTimeout = milliseconds(250);
    // 500 us. While a commit is pending, servers are probed more often, so that its durability is detected soon.
    constexpr Duration durabilityProbeInterval { 500 };
    constexpr Duration publishInterval = milliseconds(20);

    GroupScope scopeOf(const Deployment& deployment, size_t dataCentre)
    {
        GroupScope scope { DatabaseId("database"), deployment.dataCentres[dataCentre], {}, {} };
        for (size_t server = 0; server < BackendGroup::serverCount; ++server)
            scope.members.push_back({ BackendGroup::id(server), deployment.regionOf(server) });
        return scope;
    }

    std::vector<BackendServerId> allServers()
    {
        std::vector<BackendServerId> ids;
        for (size_t server = 0; server < BackendGroup::serverCount; ++server)
            ids.push_back(BackendGroup::id(server));
        return ids;
    }

}

GroupWatcher::GroupWatcher(Simulation& run, BackendGroup& watchedGroup, const Deployment& simulatedDeployment, uint32_t ownVm,
    std::shared_ptr<const AcknowledgementStrategy> strategy)
    : monitor(GroupMonitor::create(scopeOf(simulatedDeployment, simulatedDeployment.dataCentreOf(ownVm))).value())
    , simulation(run)
    , group(watchedGroup)
    , deployment(simulatedDeployment)
    , vm(ownVm)
    , ownDataCentre(simulatedDeployment.dataCentreOf(ownVm))
    , tracker(allServers(), std::move(strategy))
{
}

void GroupWatcher::start(const std::vector<GroupWatcher*>& others)
{
    GroupScope scope = scopeOf(this->deployment, this->ownDataCentre);
    for (GroupWatcher* other : others) {
        if (other == this)
            continue;
        this->peers.push_back(other);
        scope.peers.push_back({ other->vmId(), this->deployment.dataCentres[other->ownDataCentre] });
    }
    (void)this->monitor.changeScope(scope);
    // Random start times keep the probes of different VMs and servers from coinciding.
    for (size_t server = 0; server < BackendGroup::serverCount; ++server)
        this->simulation.scheduleAfter(
            Duration(this->simulation.randomBelow(probeInterval.count())), [this, server] { this->probe(server); });
    this->simulation.scheduleEvery(publishInterval, [this] {
        this->completeWaits();
        this->publishView();
        this->checkWithPeers();
    });
}

// Probes the server and schedules the next probe after the usual interval, or a shorter one while a commit is pending.
void GroupWatcher::probe(size_t server)
{
    if (this->hasCrashed || this->isProbeInFlight[server])
        return;
    this->isProbeInFlight[server] = true;
    ++this->probeRound[server];
    this->crossRegionProbeCount += this->deployment.regionOf(server) == this->deployment.regionOf(this->ownDataCentre) ? 0 : 1;
    const TimePoint sentAt = this->simulation.now();
    this->group.call(
        this->ownDataCentre, server, probeTimeout, [](FakeBackend&) { return true; },
        [this, server, sentAt](CommandOutcome, std::optional<ServerStatus> status) {
            if (this->hasCrashed)
                return;
            this->isProbeInFlight[server] = false;
            if (status)
                this->tracker.observe(BackendGroup::id(server), sentAt, *status);
            this->monitor.onProbe({ BackendGroup::id(server), sentAt, this->simulation.now(), status });
            this->completeWaits();
            this->publishView();
            const Duration nextProbeDelay = this->tracker.hasPendingCommits() ? durabilityProbeInterval : probeInterval;
            this->simulation.scheduleAfter(nextProbeDelay, [this, server, scheduledRound = this->probeRound[server]] {
                if (scheduledRound == this->probeRound[server])
                    this->probe(server);
            });
        });
}

void GroupWatcher::awaitDurability(LogPoint commit, TimePoint deadline, const std::function<void(Durability)>& done)
{
    this->durabilityCallbacks[this->tracker.track(commit, deadline)] = done;
    for (size_t server = 0; server < BackendGroup::serverCount; ++server)
        this->probe(server);
}

void GroupWatcher::completeWaits()
{
    for (const DurabilityOutcome& outcome : this->tracker.collectOutcomes(this->simulation.now()))
        this->durabilityCallbacks.extract(outcome.ticket).mapped()(outcome.durability);
}

void GroupWatcher::publishView()
{
    if (this->simulation.now() < this->publishedAt + publishInterval && !this->publishedView.servers.empty())
        return;
    this->publishedAt = this->simulation.now();
    this->publishedView = this->monitor.view(this->simulation.now());
}

void GroupWatcher::checkWithPeers()
{
    const auto suspect = this->monitor.serverToCheckWithPeers(this->simulation.now());
    if (!suspect || this->hasCrashed)
        return;
    const TimePoint requestedAt = this->simulation.now();
    for (GroupWatcher* peer : this->peers) {
        if (peer->hasCrashed)
            continue;
        const Duration oneWayLatency = this->deployment.latency(this->ownDataCentre, peer->ownDataCentre);
        this->simulation.scheduleAfter(oneWayLatency, [this, peer, oneWayLatency, requestedAt, server = *suspect] {
            this->group.call(
                peer->ownDataCentre, BackendGroup::indexOf(server), probeTimeout, [](FakeBackend&) { return true; },
                [this, peer, oneWayLatency, requestedAt, server](CommandOutcome, std::optional<ServerStatus> status) {
                    this->simulation.scheduleAfter(oneWayLatency, [this, peer, requestedAt, server, isReachable = status.has_value()] {
                        this->monitor.onPeerReachabilityReport({ peer->vmId(), server, requestedAt, isReachable });
                    });
                });
        });
    }
}

}
