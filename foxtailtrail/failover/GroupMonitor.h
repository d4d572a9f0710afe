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

// The timeouts and limits by which a monitor detects failures.
struct GroupMonitorSettings {
    // The primary counts as silent when it leaves probes unanswered for the first of these times and the replicas have had
    // no contact with it for the second.
    Duration unansweredProbeTimeout = std::chrono::milliseconds(600);
    Duration replicaSilenceTimeout = std::chrono::milliseconds(500);
    // The links to the primary count as broken when it leaves probes unanswered for this long and other VMs confirm it.
    // Also applies to a primary that answers probes but no longer reaches its replicas.
    Duration brokenLinkTimeout = std::chrono::seconds(2);
    // A report of another VM counts for this long after it was requested.
    Duration peerReportLifetime = std::chrono::seconds(1);
    // A term that has no primary for this long belongs to a promoter that failed.
    Duration unfinishedPromotionTimeout = std::chrono::milliseconds(600);
    // A replica that lags by less than this can take over from a leaving primary.
    Duration maximumSuccessorLag = std::chrono::milliseconds(500);
    ReplicaFreshnessSettings replicaFreshness;
};

// A backend server of the group, from the configuration.
struct GroupMember {
    BackendServerId server;
    Region region;
    bool isMarkedDraining = false;
};

// Another VM that is assumed to be alive.
struct MonitorPeer {
    VmId vm;
    DataCentre dataCentre;
};

// The group that a monitor watches, and the VMs that can confirm its observations.
struct GroupScope {
    DatabaseId database;
    DataCentre ownDataCentre;
    std::vector<GroupMember> members;
    std::vector<MonitorPeer> peers;
};

// The result of one probe of a backend server. The status is empty when the probe failed.
struct ProbeResult {
    BackendServerId server;
    TimePoint sentAt;
    TimePoint receivedAt;
    std::optional<ServerStatus> status;
};

// The report of another VM on whether it can reach a backend server.
struct PeerReachabilityReport {
    VmId vm;
    BackendServerId server;
    TimePoint requestedAt;
    bool isReachable = false;
};

// Why a promotion is due.
enum class PromotionCause : uint8_t {
    // Neither this VM nor the replicas have contact with the primary.
    PrimarySilent,
    // This VM and VMs of other data centres cannot reach the primary, although replicas have contact with it.
    PeersConfirm,
    // The primary answers, but a majority of the group no longer has contact with it, so no write can become durable.
    ReplicasCutOff,
    // A promoter fenced servers and stopped before the group had a new primary.
    Unfinished,
    // The primary is draining, a replica has caught up, and the group keeps a majority without the primary.
    Planned,
};

// Returns the name of a cause, for reports.
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

// A server that has to be sent the command to follow the primary.
struct DueFollowCommand {
    BackendServerId server;
    Term term;
    BackendServerId primary;
};

// The monitor of one database group on one VM. It maintains the GroupView and decides when a promotion is due.
class GroupMonitor {
public:
    // Fails with MalformedRequest when the scope names no server or names one twice.
    static Result<GroupMonitor> create(GroupScope, GroupMonitorSettings = {});

    // Replaces the scope after a change of configuration or of the VMs assumed to be alive. Keeps the state of the servers
    // that remain. Fails in the same cases as create and then changes nothing.
    Result<void> changeScope(GroupScope);

    // Handles the result of a probe. Results may arrive in any order.
    void onProbe(const ProbeResult&);

    // Handles the report of another VM.
    void onPeerReachabilityReport(const PeerReachabilityReport&);

    // Returns the server whose reachability other VMs should check now, if any.
    std::optional<BackendServerId> serverToCheckWithPeers(TimePoint now) const;

    // Returns the promotion that the evidence requires, if any.
    std::optional<DuePromotion> duePromotion(TimePoint now) const;

    // Returns the reachable servers that do not follow the primary of the highest term, because they came back or missed
    // the command, and those that report no contact with it.
    std::vector<DueFollowCommand> dueFollowCommands(TimePoint now) const;

    // Returns the state of the group for the other modules.
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
