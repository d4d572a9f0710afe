#pragma once

#include "experiments/Deployment.h"
#include "experiments/Simulation.h"

#include "foxtailtrail/failover/GroupView.h"
#include "foxtailtrail/failover/Promotion.h"

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace foxtail {

// A backend server of the simulated group.
struct FakeBackend {
    size_t index = 0;
    bool isDown = false;
    // Messages to and from the server are lost without an error.
    bool isIsolated = false;
    Term promisedTerm { 1 };
    Term logTerm { 1 };
    std::string promoter;
    ServerRole role = ServerRole::Replica;
    uint64_t position = 0;
    TimePoint lastPrimaryContactAt;
};

// A simulated database group with asynchronous replication, in place of the platform's. Each data centre has one server. The
// first server is the primary of term 1.
class BackendGroup {
public:
    static constexpr size_t serverCount = Deployment::dataCentreCount;

    // Receives the outcome of a call. The status is empty when there was no reply.
    using ReplyCallback = std::function<void(CommandOutcome, std::optional<ServerStatus>)>;

    BackendGroup(Simulation&, const Deployment&, Duration replicationLag);

    static BackendServerId id(size_t server) { return BackendServerId("server-" + std::to_string(server + 1)); }
    static size_t indexOf(const BackendServerId& server) { return static_cast<size_t>(server.value.back() - '1'); }

    // Runs an operation on a server. A server that is down refuses the connection at once. A call to an isolated server ends
    // without a reply at the timeout.
    void call(
        size_t fromDataCentre, size_t server, Duration timeout, const std::function<bool(FakeBackend&)>& operation, const ReplyCallback&);

    bool fence(FakeBackend&, Term, const std::string& promoter) const;
    bool promote(FakeBackend&, Term, const std::string& promoter) const;
    bool follow(FakeBackend&, Term, size_t primary);

    // Commits a transaction on a primary of the term and sends it to the replicas. Returns std::nullopt when the server refuses.
    std::optional<LogPoint> commit(FakeBackend&, Term);

    ServerStatus status(const FakeBackend&) const;
    LogPoint logPoint(size_t server) const { return { this->servers[server].logTerm, Position { this->servers[server].position } }; }

    std::array<FakeBackend, serverCount> servers;

private:
    void replicate(size_t primary, size_t replica, Term, uint64_t position, Duration delay);
    void sendHeartbeat(size_t server);

    Simulation& simulation;
    const Deployment& deployment;
    Duration lag;
};

}
