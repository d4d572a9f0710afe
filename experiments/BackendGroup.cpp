#include "experiments/BackendGroup.h"

namespace foxtail {

namespace {

    // The interval of the heartbeats that a primary sends to its replicas.
    constexpr Duration heartbeatInterval = std::chrono::milliseconds(100);

}

BackendGroup::BackendGroup(Simulation& run, const Deployment& simulatedDeployment, Duration replicationLag)
    : simulation(run)
    , deployment(simulatedDeployment)
    , lag(replicationLag)
{
    for (size_t index = 0; index < serverCount; ++index) {
        this->servers[index].index = index;
        this->simulation.scheduleEvery(heartbeatInterval, [this, index] { this->sendHeartbeat(index); });
    }
    this->servers[0].role = ServerRole::Primary;
}

void BackendGroup::call(
    size_t fromDataCentre, size_t server, Duration timeout, const std::function<bool(FakeBackend&)>& operation, const ReplyCallback& done)
{
    const Duration oneWay = this->simulation.jittered(this->deployment.latency(fromDataCentre, server));
    this->simulation.scheduleAfter(oneWay, [this, server, timeout, oneWay, operation, done] {
        FakeBackend& target = this->servers[server];
        if (target.isDown || target.isIsolated) {
            const Duration remainingDelay = target.isDown ? oneWay : timeout - oneWay;
            this->simulation.scheduleAfter(remainingDelay, [done] { done(CommandOutcome::NoReply, std::nullopt); });
            return;
        }
        const CommandOutcome outcome = operation(target) ? CommandOutcome::Done : CommandOutcome::Refused;
        this->simulation.scheduleAfter(oneWay, [done, outcome, status = this->status(target)] { done(outcome, status); });
    });
}

bool BackendGroup::fence(FakeBackend& server, Term term, const std::string& promoter) const
{
    if (term > server.promisedTerm) {
        server.promisedTerm = term;
        server.promoter = promoter;
        server.role = ServerRole::Fenced;
        return true;
    }
    return term == server.promisedTerm && promoter == server.promoter;
}

bool BackendGroup::promote(FakeBackend& server, Term term, const std::string& promoter) const
{
    if (term != server.promisedTerm || promoter != server.promoter || server.role == ServerRole::Replica)
        return false;
    server.role = ServerRole::Primary;
    server.logTerm = term;
    return true;
}

bool BackendGroup::follow(FakeBackend& server, Term term, size_t primary)
{
    if (term < server.promisedTerm || (server.role == ServerRole::Primary && server.logTerm == term))
        return false;
    // A repeated command has no effect, so a replica that follows a crashed primary still reports a growing contact age.
    if (term == server.promisedTerm && server.role == ServerRole::Replica)
        return true;
    server.promisedTerm = term;
    server.role = ServerRole::Replica;
    this->replicate(primary, server.index, term, this->servers[primary].position, this->lag);
    return true;
}

std::optional<LogPoint> BackendGroup::commit(FakeBackend& server, Term term)
{
    if (server.isDown || server.role != ServerRole::Primary || server.logTerm != term)
        return std::nullopt;
    ++server.position;
    for (size_t replica = 0; replica < serverCount; ++replica) {
        if (replica != server.index)
            this->replicate(server.index, replica, term, server.position, this->simulation.jittered(this->lag));
    }
    return LogPoint { term, Position { server.position } };
}

void BackendGroup::replicate(size_t primary, size_t replica, Term term, uint64_t position, Duration delay)
{
    // Entries that the primary has not delivered before it fails are lost.
    this->simulation.scheduleAfter(delay, [this, primary, replica, term, position] {
        const FakeBackend& source = this->servers[primary];
        FakeBackend& target = this->servers[replica];
        if (source.isDown || source.isIsolated || target.isDown || target.role != ServerRole::Replica || target.promisedTerm != term)
            return;
        target.position = std::max(target.position, position);
        target.logTerm = term;
        target.lastPrimaryContactAt = this->simulation.now();
    });
}

void BackendGroup::sendHeartbeat(size_t server)
{
    const FakeBackend& source = this->servers[server];
    if (source.isDown || source.isIsolated || source.role != ServerRole::Primary)
        return;
    for (FakeBackend& target : this->servers) {
        if (target.role == ServerRole::Replica && target.promisedTerm == source.logTerm)
            target.lastPrimaryContactAt = this->simulation.now();
    }
}

ServerStatus BackendGroup::status(const FakeBackend& server) const
{
    return { server.promisedTerm, server.logTerm, Position { server.position }, server.role,
        this->simulation.now() - server.lastPrimaryContactAt, false };
}

}
