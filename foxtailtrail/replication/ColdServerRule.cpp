#include "foxtailtrail/replication/ColdServerRule.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // The part of the permitted excess that the senders may use by one statement each beyond the rate. The rest is for statements that
    // arrive closer together than they were sent, and for VMs that know the fleet differently.
    constexpr double usedExcessShare = 0.5;
    constexpr double microsecondsPerSecond = 1e6;

}

void ColdServerRule::recordReport(const BackendServerId& server, int64_t startedAtMs, uint64_t sequence, Duration coldFor, TimePoint now)
{
    const auto known = this->servers.find(server);
    if (known == this->servers.end() && coldFor <= Duration(0))
        return;
    ColdServer& cold = this->servers[server];
    if (known == this->servers.end())
        cold.rank = this->rankFor(server);
    if (cold.startedAtMs == startedAtMs && cold.sequence == sequence && cold.coldUntil != TimePoint {})
        return;
    cold.startedAtMs = startedAtMs;
    cold.sequence = sequence;
    cold.coldUntil = now + coldFor;
}

bool ColdServerRule::isCold(const BackendServerId& server, TimePoint now) const
{
    const auto known = this->servers.find(server);
    return known != this->servers.end() && now < known->second.coldUntil;
}

size_t ColdServerRule::senderCount(double ratePerSecond) const
{
    const double excess = std::max(0.0, ratePerSecond * (this->bounds.excess - 1) + this->bounds.slack);
    // More senders than statements a second would only lengthen the intervals of each.
    const double wanted = std::min({ usedExcessShare * excess, ratePerSecond, static_cast<double>(this->fleet.size()) });
    return static_cast<size_t>(std::max(1.0, wanted));
}

size_t ColdServerRule::rankFor(const BackendServerId& server) const
{
    const uint64_t ownScore = rendezvousScore(server.value, this->own.value);
    return static_cast<size_t>(std::count_if(this->fleet.begin(), this->fleet.end(),
        [&](const VmId& vm) { return vm != this->own && rendezvousScore(server.value, vm.value) > ownScore; }));
}

void ColdServerRule::setFleet(std::vector<VmId> vms)
{
    this->fleet = std::move(vms);
    for (auto& [server, cold] : this->servers)
        cold.rank = this->rankFor(server);
}

bool ColdServerRule::maySend(const BackendServerId& server, double ratePerSecond, TimePoint now) const
{
    if (!(ratePerSecond > 0) || !this->isCold(server, now))
        return true;
    const size_t senders = this->senderCount(ratePerSecond);
    const ColdServer& cold = this->servers.at(server);
    if (cold.rank >= senders)
        return false;
    const auto interval = Duration(static_cast<Duration::rep>(microsecondsPerSecond * static_cast<double>(senders) / ratePerSecond));
    return !cold.hasSent || cold.lastSentAt + interval <= now;
}

void ColdServerRule::recordSent(const BackendServerId& server, TimePoint now)
{
    const auto known = this->servers.find(server);
    if (known == this->servers.end())
        return;
    known->second.hasSent = true;
    known->second.lastSentAt = now;
}

}
