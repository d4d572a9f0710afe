#pragma once

#include "foxtailtrail/failover/GroupView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

// The timeouts and delays of a promotion. Together with failure detection they keep an interruption of service under 3 s.
struct PromotionSettings {
    // A command without a reply is sent again after this time.
    Duration replyTimeout = std::chrono::milliseconds(200);
    // A command that failed is sent again after this delay.
    Duration retryDelay = std::chrono::milliseconds(40);
    Duration fencingTimeout = std::chrono::seconds(1);
    Duration promotingTimeout = std::chrono::milliseconds(500);
    // Servers that do not answer within this time are left to GroupMonitor, so that this VM can act on the next failure.
    Duration followingTimeout = std::chrono::milliseconds(500);
    // The back-off after a lost promotion is this delay times the VM's rank in the rendezvous order of the database. One
    // more step is added when another promoter has a higher term, so that it can finish.
    Duration backoffDelayPerRank = std::chrono::milliseconds(400);
    // Pseudo-random extra back-off per consecutive lost promotion. It separates two VMs that both assume to be first in the
    // order.
    Duration backoffJitter = std::chrono::milliseconds(100);
    // A VM of rank n starts n back-off steps after the promotion became due, or n times this delay when the promotion is
    // planned.
    Duration plannedDelayPerRank = std::chrono::seconds(1);
    // A promotion that was not requested for this long is no longer due, and the start delays begin again.
    Duration requestLifetime = std::chrono::milliseconds(500);
    // How often a promotion restarts in a higher term, because the chosen server does not answer, before it gives up.
    unsigned maximumRestarts = 3;
};

// A server of the group that takes part in a promotion.
struct PromotionMember {
    BackendServerId server;
    // A draining server becomes primary only when no other server holds as much of the log.
    bool isDraining = false;
};

// The input of a promotion.
struct PromotionRequest {
    std::vector<PromotionMember> members;
    // The highest term seen in the group.
    Term highestTerm;
    // Set when the primary still runs but has to be replaced. The other servers are then fenced without it: a fenced server
    // sends no more log, so a fenced primary alone could hold the newest, not yet acknowledged writes and would become
    // primary again.
    std::optional<BackendServerId> leavingPrimary;
    // Set for a planned promotion: the replica that has caught up.
    std::optional<BackendServerId> successor;
    // This VM's rank in the rendezvous order of the database, from 0.
    unsigned rendezvousRank = 0;
};

// The commands that change a backend server's term.
enum class PromotionCommand : uint8_t {
    Fence,
    Promote,
    Follow,
};

// The result of a command. After NoReply it is unknown whether the command took effect.
enum class CommandOutcome : uint8_t {
    Done,
    Refused,
    NoReply,
};

// The result of a command, with the server's status after it when that is known.
struct CommandReply {
    PromotionCommand command = PromotionCommand::Fence;
    BackendServerId server;
    Term term;
    CommandOutcome outcome = CommandOutcome::NoReply;
    std::optional<ServerStatus> status;
};

// The reply to ReadStatus. The status is empty when there was no reply.
struct StatusReply {
    BackendServerId server;
    std::optional<ServerStatus> status;
};

// The event that the time of a WaitUntil has been reached.
struct TimeReached { };

using PromotionEvent = std::variant<CommandReply, StatusReply, TimeReached>;

// A call of platform_fence(term, promoter) at the server.
struct FenceServer {
    BackendServerId server;
    Term term;
};

// A call of platform_promote(term, promoter) at the server.
struct PromoteServer {
    BackendServerId server;
    Term term;
};

// A call of platform_follow(term, address of the primary) at the server.
struct FollowPrimary {
    BackendServerId server;
    Term term;
    BackendServerId primary;
};

// A request for the server's status.
struct ReadStatus {
    BackendServerId server;
};

// A write of the hint of the new primary to the store. The promotion does not wait for it.
struct RecordPrimaryHint {
    Term term;
    BackendServerId primary;
};

// A timer that delivers TimeReached at this time. A later WaitUntil replaces it.
struct WaitUntil {
    TimePoint time;
};

using PromotionEffect = std::variant<FenceServer, PromoteServer, FollowPrimary, ReadStatus, RecordPrimaryHint, WaitUntil>;

// The phase of a promotion.
enum class PromotionPhase : uint8_t {
    Idle,
    Fencing,
    Promoting,
    Following,
    Done,
    Lost,
};

// Returns the name of a phase, for reports.
std::string_view promotionPhaseName(PromotionPhase);

// The procedure that makes one server of a group the primary of a new term. One object exists for as long as the VM uses
// the group, so that it never uses a term twice. The VM may be paused at any point: a majority promises each term to one
// promoter only, and a promoter chooses at most one server in a term.
class Promotion {
public:
    // The promoter's name must differ between two starts of the same VM. Otherwise a restarted VM could use the promises
    // that servers made to its former process to choose a second server in the same term.
    explicit Promotion(std::string promoter, PromotionSettings = {});

    // Starts the promotion in a term higher than any seen. The caller repeats the call for as long as the promotion is due.
    // Does nothing while a promotion runs, during the back-off, or before this VM's start delay has elapsed. VMs that act
    // on the same evidence at once would split the servers' promises among them, so each VM leaves those before it in the
    // rendezvous order the time to act.
    std::vector<PromotionEffect> start(const PromotionRequest&, TimePoint now);

    // Handles an event. Events of former terms and repeated events have no effect.
    std::vector<PromotionEffect> handle(const PromotionEvent&, TimePoint now);

    PromotionPhase phase() const { return this->currentPhase; }
    Term term() const { return this->currentTerm; }
    const std::string& promoter() const { return this->promoterName; }
    bool isRunning() const;

    // Returns the new primary once it is known to be one.
    std::optional<BackendServerId> primary() const;

    // Returns the time before which a lost promotion is not started again.
    TimePoint backoffUntil() const { return this->nextStartAt; }

private:
    struct Member {
        BackendServerId server;
        bool isDraining = false;
        bool isFenced = false;
        bool wasRefused = false;
        bool isFollowing = false;
        // The log point of the fenced server. It cannot change in this term.
        std::optional<LogPoint> fencedLogPoint;
        TimePoint nextCommandAt;
    };

    void apply(const CommandReply&, TimePoint now);
    void apply(const StatusReply&, TimePoint now);
    void apply(const TimeReached&, TimePoint) { }
    void applyFence(Member&, const CommandReply&);
    void applyStatus(Member&, const ServerStatus&, TimePoint now);

    bool hasStartDelayElapsed(const PromotionRequest&, TimePoint now);
    void beginTerm(TimePoint now);
    void enterPhase(PromotionPhase, Duration timeout, TimePoint now);
    void advance(TimePoint now);
    void advanceFencing(TimePoint now);
    void advancePromoting(TimePoint now);
    void advanceFollowing(TimePoint now);
    void lose(TimePoint now, unsigned backoffSteps);

    std::vector<PromotionEffect> dueEffects(TimePoint now);
    void addCommand(const Member&, std::vector<PromotionEffect>&) const;
    bool needsCommand(const Member&) const;
    bool isBetterSuccessor(const Member&, const Member&) const;
    Member* find(const BackendServerId&);
    size_t majority() const { return this->members.size() / 2 + 1; }

    std::string promoterName;
    PromotionSettings settings;
    PromotionRequest request;
    PromotionPhase currentPhase = PromotionPhase::Idle;
    Term currentTerm;
    Term highestSeenTerm;
    std::vector<Member> members;
    TimePoint phaseDeadline;
    TimePoint nextStartAt;
    // The times of the first and the last request for a promotion out of requestedTerm.
    Term requestedTerm;
    TimePoint firstRequestedAt;
    TimePoint lastRequestedAt;
    std::optional<BackendServerId> chosenSuccessor;
    bool isSuccessorPromoted = false;
    bool isPrimaryHintRecorded = false;
    unsigned restartsLeft = 0;
    unsigned consecutiveLosses = 0;
};

}
