#include "experiments/GroupWatcher.h"

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration probeInterval = milliseconds(100);
    constexpr Duration probeTimeout = milliseconds(250);
    constexpr Duration durabilityProbeInterval { 500 };
    constexpr Duration publishInterval = milliseconds(20);

    GroupScope scopeOf(const Deployment& deployment, size_t dataCentre)
    {
        GroupScope scope { DatabaseId("database"), deployment.dataCentres[dataCentre], {}, {} };
        for (size_t server = 0; server < BackendGroup::size; ++server)
            scope.members.push_back({ BackendGroup::id(server), deployment.regionOf(server) });
        return scope;
    }

    std::vector<BackendServerId> allServers()
    {
        std::vector<BackendServerId> ids;
        for (size_t server = 0; server < BackendGroup::size; ++server)
            ids.push_back(BackendGroup::id(server));
        return ids;
    }

}

GroupWatcher::GroupWatcher(Simulation& run, BackendGroup& watched, const Deployment& chosen, uint32_t ownVm,
    std::shared_ptr<const AcknowledgementStrategy> strategy)
    : monitor(GroupMonitor::create(scopeOf(chosen, chosen.dataCentreOf(ownVm))).value())
    , simulation(run)
    , group(watched)
    , deployment(chosen)
    , vm(ownVm)
    , home(chosen.dataCentreOf(ownVm))
    , tracker(allServers(), std::move(strategy))
{
}

void GroupWatcher::start(const std::vector<GroupWatcher*>& others)
{
    GroupScope scope = scopeOf(this->deployment, this->home);
    for (GroupWatcher* other : others) {
        if (other == this)
            continue;
        this->peers.push_back(other);
        scope.peers.push_back({ other->vmId(), this->deployment.dataCentres[other->home] });
    }
    (void)this->monitor.changeScope(scope);
    // VMs and servers are not probed in step.
    for (size_t server = 0; server < BackendGroup::size; ++server)
        this->simulation.after(Duration(this->simulation.below(probeInterval.count())), [this, server] { this->probe(server); });
    this->simulation.every(publishInterval, [this] {
        this->settle();
        this->publish();
        this->askPeers();
    });
}

// Probes again after the usual interval, or soon while a commit waits.
void GroupWatcher::probe(size_t server)
{
    if (this->isDead || this->isProbeOut[server])
        return;
    this->isProbeOut[server] = true;
    ++this->probeRound[server];
    this->probesBetweenRegions += this->deployment.regionOf(server) == this->deployment.regionOf(this->home) ? 0 : 1;
    const TimePoint sentAt = this->simulation.now();
    this->group.call(
        this->home, server, probeTimeout, [](FakeBackend&) { return true; },
        [this, server, sentAt](CommandOutcome, std::optional<ServerStatus> status) {
            if (this->isDead)
                return;
            this->isProbeOut[server] = false;
            if (status)
                this->tracker.observe(BackendGroup::id(server), sentAt, *status);
            this->monitor.onProbe({ BackendGroup::id(server), sentAt, this->simulation.now(), status });
            this->settle();
            this->publish();
            const Duration pause = this->tracker.isWaiting() ? durabilityProbeInterval : probeInterval;
            this->simulation.after(pause, [this, server, round = this->probeRound[server]] {
                if (round == this->probeRound[server])
                    this->probe(server);
            });
        });
}

void GroupWatcher::awaitDurability(LogPoint commit, TimePoint deadline, const std::function<void(Durability)>& done)
{
    this->waits[this->tracker.track(commit, deadline)] = done;
    for (size_t server = 0; server < BackendGroup::size; ++server)
        this->probe(server);
}

void GroupWatcher::settle()
{
    for (const DurabilityOutcome& outcome : this->tracker.settle(this->simulation.now()))
        this->waits.extract(outcome.ticket).mapped()(outcome.durability);
}

void GroupWatcher::publish()
{
    if (this->simulation.now() < this->publishedAt + publishInterval && !this->published.servers.empty())
        return;
    this->publishedAt = this->simulation.now();
    this->published = this->monitor.view(this->simulation.now());
}

void GroupWatcher::askPeers()
{
    const auto suspect = this->monitor.serverToAskPeersAbout(this->simulation.now());
    if (!suspect || this->isDead)
        return;
    const TimePoint askedAt = this->simulation.now();
    for (GroupWatcher* peer : this->peers) {
        if (peer->isDead)
            continue;
        const Duration hop = this->deployment.latency(this->home, peer->home);
        this->simulation.after(hop, [this, peer, hop, askedAt, server = *suspect] {
            this->group.call(
                peer->home, BackendGroup::indexOf(server), probeTimeout, [](FakeBackend&) { return true; },
                [this, peer, hop, askedAt, server](CommandOutcome, std::optional<ServerStatus> status) {
                    this->simulation.after(hop, [this, peer, askedAt, server, isReachable = status.has_value()] {
                        this->monitor.onPeerEvidence({ peer->vmId(), server, askedAt, isReachable });
                    });
                });
        });
    }
}

}
