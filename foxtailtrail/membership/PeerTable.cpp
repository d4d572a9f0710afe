#include "foxtailtrail/membership/PeerTable.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>

namespace foxtail {

PeerTable::PeerTable(PeerTableSettings initialSettings, VmId ownId, Region vmRegion)
    : settings(initialSettings)
    , self(std::move(ownId))
    , ownRegion(std::move(vmRegion))
{
}

void PeerTable::addListed(const PeerHint& hint, TimePoint now)
{
    const auto [entry, isNew] = this->peers.try_emplace(hint.vm);
    Peer& peer = entry->second;
    peer.hint = hint;
    peer.isListed = true;
    if (!isNew)
        return;
    // Spreads the first pings of all peers over one interval.
    const auto offsetPermille = static_cast<int64_t>(rendezvousScore(this->self.value, hint.vm.value) % 1000);
    peer.nextPingAt = now + this->settings.pingInterval * offsetPermille / 1000;
}

void PeerTable::setPeers(const std::vector<PeerHint>& hints, const std::vector<VmId>& required, TimePoint now)
{
    // Orders the hints by priority: required peers, peers of the own region, then a weight that differs between VMs, so
    // that not all VMs ping the same peers.
    std::vector<PeerHint> ordered = hints;
    std::erase_if(ordered, [&](const PeerHint& hint) { return hint.vm == this->self; });
    const auto priority = [&](const PeerHint& hint) {
        const bool isRequired = std::find(required.begin(), required.end(), hint.vm) != required.end();
        const int rank = isRequired ? 0 : (hint.region == this->ownRegion ? 1 : 2);
        return std::pair(rank, rendezvousScore(this->self.value, hint.vm.value));
    };
    std::sort(
        ordered.begin(), ordered.end(), [&](const PeerHint& left, const PeerHint& right) { return priority(left) < priority(right); });
    for (auto& [id, peer] : this->peers)
        peer.isListed = false;
    for (size_t index = 0; index < ordered.size(); ++index) {
        if (index < this->settings.maximumPeers || priority(ordered[index]).first == 0)
            this->addListed(ordered[index], now);
    }
    std::erase_if(this->peers, [&](const auto& entry) { return !entry.second.isListed && !this->isAlive(entry.second, now); });
}

std::vector<VmId> PeerTable::duePings(TimePoint now)
{
    std::erase_if(this->peers, [&](const auto& entry) { return !entry.second.isListed && !this->isAlive(entry.second, now); });
    std::vector<VmId> due;
    for (auto& [id, peer] : this->peers) {
        if (now < peer.nextPingAt)
            continue;
        due.push_back(id);
        // After a pause of this VM, missed pings are not sent belatedly.
        peer.nextPingAt = std::max(peer.nextPingAt + this->settings.pingInterval, now + this->settings.pingInterval / 2);
    }
    return due;
}

PeerChange PeerTable::handleReport(const PeerReport& report, TimePoint sentAt)
{
    if (report.vm == this->self)
        return PeerChange::None;
    Peer& peer = this->peers.try_emplace(report.vm).first->second;
    peer.hint.vm = report.vm;
    const bool isFirst = !peer.lastSeenAt || !this->isAlive(peer, sentAt);
    const bool isRestart = peer.lastSeenAt && report.incarnation != peer.incarnation;
    // While the newer process replies, the report of an earlier one is late or comes from a process that was paused.
    if (isRestart && !isFirst && report.incarnation < peer.incarnation)
        return PeerChange::Outdated;
    const bool startsLeaving = report.isLeaving && (!peer.isLeaving || isRestart || !peer.lastSeenAt);
    if (isFirst || isRestart)
        peer.becameAliveAt = sentAt;
    // Within one incarnation a peer never stops leaving, in whatever order its reports arrive.
    peer.isLeaving = report.isLeaving || (peer.isLeaving && !isRestart && peer.lastSeenAt);
    peer.incarnation = report.incarnation;
    peer.lastSeenAt = std::max(peer.lastSeenAt.value_or(sentAt), sentAt);
    if (isRestart)
        return PeerChange::Restarted;
    if (isFirst)
        return PeerChange::Appeared;
    return startsLeaving ? PeerChange::Leaving : PeerChange::None;
}

PeerChange PeerTable::handlePing(const PeerReport& report, TimePoint now)
{
    const PeerChange change = this->handleReport(report, now);
    const auto found = this->peers.find(report.vm);
    // The delay is a quarter longer than the peer's interval, so that the peer's next ping comes first.
    if (found != this->peers.end() && change != PeerChange::Outdated)
        found->second.nextPingAt = std::max(found->second.nextPingAt, now + this->settings.pingInterval * 5 / 4);
    return change;
}

bool PeerTable::isAlive(const Peer& peer, TimePoint now) const
{
    return peer.lastSeenAt && now < *peer.lastSeenAt + this->settings.peerSilenceTimeout;
}

bool PeerTable::isAlive(const VmId& vm, TimePoint now) const
{
    const auto found = this->peers.find(vm);
    return vm == this->self || (found != this->peers.end() && this->isAlive(found->second, now));
}

std::optional<Duration> PeerTable::heartbeatAge(const VmId& vm, TimePoint now) const
{
    const auto found = this->peers.find(vm);
    if (found == this->peers.end() || !found->second.lastSeenAt)
        return std::nullopt;
    return std::max(Duration(0), now - *found->second.lastSeenAt);
}

std::vector<PeerState> PeerTable::snapshot(TimePoint now) const
{
    std::vector<PeerState> states;
    for (const auto& [id, peer] : this->peers) {
        const bool isPeerAlive = this->isAlive(peer, now);
        const bool isPeerLeaving = peer.lastSeenAt ? peer.isLeaving : peer.hint.isLeaving;
        const TimePoint stateChangedAt = isPeerAlive ? peer.becameAliveAt : peer.lastSeenAt.value_or(TimePoint {});
        states.push_back({ id, peer.hint.region, peer.hint.dataCentre, peer.incarnation, isPeerAlive, isPeerLeaving, stateChangedAt });
    }
    return states;
}

}
