#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/failover/GroupView.h"
#include "foxtailtrail/session/ReplicaFreshness.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace foxtail {

// How long silence must last before it counts as evidence.
struct GroupMonitorSettings {
    // The primary leaves probes unanswered for this long, and the replicas agree that it is silent.
    Duration unansweredProbeTimeout = std::chrono::milliseconds(600);
    Duration replicaSilenceTimeout = std::chrono::milliseconds(500);
    // The primary leaves probes unanswered for this long, and other VMs confirm it. Also the silence of a primary that
    // still answers probes but no longer reaches its replicas.
    Duration brokenLinkTimeout = std::chrono::seconds(2);
    // What another VM says counts for this long after it was asked.
    Duration peerReportLifetime = std::chrono::seconds(1);
    // A term without a primary for this long was left behind by a promoter that failed.
    Duration unfinishedPromotionTimeout = std::chrono::milliseconds(600);
    // A replica that lags less than this can take over from a leaving primary.
    Duration maximumSuccessorLag = std::chrono::milliseconds(500);
    ReplicaFreshnessSettings replicaFreshness;
};

// A backend server of the group, from the configuration.
struct GroupMember {
    BackendServerId server;
    Region region;
    bool isMarkedDraining = false;
};

// Another VM that is believed alive.
struct MonitorPeer {
    VmId vm;
    DataCentre dataCentre;
};

// The group that a monitor watches, and who else can confirm what it sees.
struct GroupScope {
    DatabaseId database;
    DataCentre ownDataCentre;
    std::vector<GroupMember> members;
    std::vector<MonitorPeer> peers;
};

// The end of one probe of a backend server. Without a status the probe failed.
struct ProbeResult {
    BackendServerId server;
    TimePoint sentAt;
    TimePoint receivedAt;
    std::optional<ServerStatus> status;
};

// Another VM's answer to the question whether it can reach a backend server.
struct PeerReachabilityReport {
    VmId vm;
    BackendServerId server;
    TimePoint requestedAt;
    bool isReachable = false;
};

// Why a promotion is due.
enum class PromotionCause : uint8_t {
    // Evidence (A): neither this VM nor the replicas hear the primary.
    PrimarySilent,
    // Evidence (B): this VM and VMs of other data centres can't reach the primary, although replicas hear it.
    PeersConfirm,
    // The primary answers, but a majority of the group no longer hears it, so no write can become durable.
    ReplicasCutOff,
    // A promoter fenced servers and stopped before there was a new primary.
    Unfinished,
    // The primary is draining, a replica has caught up, and the group keeps a majority without the primary.
    Planned,
};

// The name of a cause, for reports.
std::string_view promotionCauseName(PromotionCause);

// A promotion that should start now.
struct DuePromotion {
    PromotionCause cause = PromotionCause::PrimarySilent;
    Term highestTerm;
    // Set for ReplicasCutOff and Planned; see PromotionRequest.
    std::optional<BackendServerId> leavingPrimary;
    // Set for Planned.
    std::optional<BackendServerId> successor;
};

// A server that should be told to follow the primary.
struct DueFollowCommand {
    BackendServerId server;
    Term term;
    BackendServerId primary;
};

// Watches one database group from one VM: keeps the GroupView and decides when a promotion is due.
class GroupMonitor {
public:
    // Fails with MalformedRequest when the scope names no server or names one twice.
    static Result<GroupMonitor> create(GroupScope, GroupMonitorSettings = {});

    // Replaces the scope after a change of configuration or of the VMs believed alive. What is known of the servers that
    // stay is kept. Fails like create and then changes nothing.
    Result<void> changeScope(GroupScope);

    // Takes in the end of a probe. Results may arrive in any order.
    void onProbe(const ProbeResult&);

    // Takes in another VM's answer.
    void onPeerReachabilityReport(const PeerReachabilityReport&);

    // The server about which other VMs should be asked now, if any.
    std::optional<BackendServerId> serverToCheckWithPeers(TimePoint now) const;

    // The promotion that the evidence calls for, if any.
    std::optional<DuePromotion> duePromotion(TimePoint now) const;

    // Reachable servers that don't follow the primary of the highest term: they came back, or missed the command.
    std::vector<DueFollowCommand> dueFollowCommands(TimePoint now) const;

    // The picture of the group that the other modules use.
    GroupView view(TimePoint now) const;

private:
    struct Server {
        GroupMember member;
        std::optional<ServerStatus> status;
        // The send time of the newest answered probe.
        std::optional<TimePoint> lastAnsweredProbeAt;
        // The send time of the first probe that failed since then.
        std::optional<TimePoint> firstFailureAt;
        TimePoint lastFailureAt;
        unsigned consecutiveFailures = 0;
    };

    explicit GroupMonitor(GroupMonitorSettings);

    const Server* find(const BackendServerId&) const;
    const Server* primary() const;
    const Server* presumedPrimary() const;
    bool answersProbes(const Server&, TimePoint now) const;
    bool isUnansweredFor(const Server&, Duration, TimePoint now) const;
    bool isDraining(const Server&) const;
    bool reportsSilence(const Server&, Duration) const;
    bool othersReportSilence(const Server* primary, Duration, TimePoint now) const;
    size_t reachableCount(const Server* except, TimePoint now) const;
    bool isConfirmedByPeers(const BackendServerId&, TimePoint now) const;
    bool hasPromoterTimedOut(TimePoint now) const;
    bool isPromotionUnfinished(TimePoint now) const;
    std::optional<PromotionCause> unplannedPromotionCause(TimePoint now) const;
    const Server* successor(const Server& leaving, TimePoint now) const;
    void updateHighestTerm(const ServerStatus&, TimePoint now);

    GroupMonitorSettings settings;
    GroupScope scope;
    std::vector<Server> servers;
    std::vector<PeerReachabilityReport> peerReports;
    QuorumObservations observations;
    ReplicaFreshness replicaFreshness;
    Term highestTerm;
    // When the highest term was first seen. Empty before the first answer.
    std::optional<TimePoint> highestTermSeenAt;
};

}
