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

// A backend server of the fake group.
struct FakeBackend {
    size_t index = 0;
    bool isDown = false;
    // Messages from and to the server get lost without an error.
    bool isIsolated = false;
    Term promisedTerm { 1 };
    Term logTerm { 1 };
    std::string promoter;
    ServerRole role = ServerRole::Replica;
    uint64_t position = 0;
    TimePoint lastPrimaryContactAt;
};

// One database group with asynchronous replication: a fake of what the platform provides. One server stands in each data
// centre; the first is the primary of term 1.
class BackendGroup {
public:
    static constexpr size_t serverCount = Deployment::dataCentreCount;

    // What a call ends with. The status is empty when there was no reply.
    using ReplyCallback = std::function<void(CommandOutcome, std::optional<ServerStatus>)>;

    BackendGroup(Simulation&, const Deployment&, Duration replicationLag);

    static BackendServerId id(size_t server) { return BackendServerId("server-" + std::to_string(server + 1)); }
    static size_t indexOf(const BackendServerId& server) { return static_cast<size_t>(server.value.back() - '1'); }

    // Runs an operation at a server. A dead server refuses the connection at once; one that is cut off leaves the call without
    // a reply until the timeout.
    void call(
        size_t fromDataCentre, size_t server, Duration timeout, const std::function<bool(FakeBackend&)>& operation, const ReplyCallback&);

    bool fence(FakeBackend&, Term, const std::string& promoter) const;
    bool promote(FakeBackend&, Term, const std::string& promoter) const;
    bool follow(FakeBackend&, Term, size_t primary);

    // Commits a transaction at a primary of the term and sends it to the replicas. Empty when the server refuses.
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
