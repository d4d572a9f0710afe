#pragma once

#include "foxtailtrail/failover/GroupView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

// The waits of a promotion. Together with detection they keep the gap in service under 3 s.
struct PromotionSettings {
    // A command without an answer is sent again after this.
    Duration replyTimeout = std::chrono::milliseconds(200);
    // A command that failed is sent again after this.
    Duration retryDelay = std::chrono::milliseconds(40);
    Duration fencingTimeout = std::chrono::seconds(1);
    Duration promotingTimeout = std::chrono::milliseconds(500);
    // Servers that don't answer by then are left to GroupMonitor, so that this VM can act on the next failure.
    Duration followingTimeout = std::chrono::milliseconds(500);
    // The back-off after losing, times this VM's place in the rendezvous order of the database. One more step is added
    // when another promoter is in a higher term, so that it can finish.
    Duration backoffDelayPerRank = std::chrono::milliseconds(400);
    // Random-like extra back-off per lost attempt in a row. It separates two VMs that both believe they are first.
    Duration backoffJitter = std::chrono::milliseconds(100);
    // The turn of the VM at place n comes n back-off steps after the promotion became due, or n of these when planned.
    Duration plannedDelayPerRank = std::chrono::seconds(1);
    // A promotion that was not asked for in this time is no longer due, and turns begin anew.
    Duration requestLifetime = std::chrono::milliseconds(500);
    // How often a promotion begins again in a higher term, when the server it chose doesn't answer, before it gives up.
    unsigned maximumRestarts = 3;
};

// A server of the group that a promotion works on.
struct PromotionMember {
    BackendServerId server;
    // A leaving server becomes primary only when no other holds as much.
    bool isDraining = false;
};

// What a promotion starts from.
struct PromotionRequest {
    std::vector<PromotionMember> members;
    // The highest term seen in the group.
    Term highestTerm;
    // Set when the primary still runs but has to be replaced: the others are fenced without it. A fenced server hands out
    // no more log, so it alone could hold the newest, not yet acknowledged writes and would become primary again.
    std::optional<BackendServerId> leavingPrimary;
    // Set for a planned promotion: the replica that has caught up.
    std::optional<BackendServerId> successor;
    // This VM's place in the rendezvous order of the database, from 0.
    unsigned rendezvousRank = 0;
};

// The commands that change a backend server's term.
enum class PromotionCommand : uint8_t {
    Fence,
    Promote,
    Follow,
};

// How a command ended. NoReply leaves open whether it took effect.
enum class CommandOutcome : uint8_t {
    Done,
    Refused,
    NoReply,
};

// The end of a command, with the server's status after it when that is known.
struct CommandReply {
    PromotionCommand command = PromotionCommand::Fence;
    BackendServerId server;
    Term term;
    CommandOutcome outcome = CommandOutcome::NoReply;
    std::optional<ServerStatus> status;
};

// The answer to ReadStatus. Empty when there was none.
struct StatusReply {
    BackendServerId server;
    std::optional<ServerStatus> status;
};

// The time of a WaitUntil has come.
struct TimeReached { };

using PromotionEvent = std::variant<CommandReply, StatusReply, TimeReached>;

// Call platform_fence(term, promoter) at the server.
struct FenceServer {
    BackendServerId server;
    Term term;
};

// Call platform_promote(term, promoter) at the server.
struct PromoteServer {
    BackendServerId server;
    Term term;
};

// Call platform_follow(term, address of the primary) at the server.
struct FollowPrimary {
    BackendServerId server;
    Term term;
    BackendServerId primary;
};

// Read the server's status.
struct ReadStatus {
    BackendServerId server;
};

// Write the hint of the new primary to the store. Nothing waits for it.
struct RecordPrimaryHint {
    Term term;
    BackendServerId primary;
};

// Deliver TimeReached at this time. A later WaitUntil replaces it.
struct WaitUntil {
    TimePoint time;
};

using PromotionEffect = std::variant<FenceServer, PromoteServer, FollowPrimary, ReadStatus, RecordPrimaryHint, WaitUntil>;

// Where a promotion is.
enum class PromotionPhase : uint8_t {
    Idle,
    Fencing,
    Promoting,
    Following,
    Done,
    Lost,
};

// The name of a phase, for reports.
std::string_view promotionPhaseName(PromotionPhase);

// Makes one server of a group the primary of a new term. One object lives as long as the VM's interest in the group, so
// that it never uses a term twice. It may be paused at any point: a majority promises each term to one promoter only, and
// a promoter chooses at most one server in a term.
class Promotion {
public:
    // The promoter's name must differ between two starts of the same VM: a restarted VM that took over the promises of
    // its former life could choose a second server in the same term.
    explicit Promotion(std::string promoter, PromotionSettings = {});

    // Begins in a term higher than any seen. Called again as long as the promotion is due. Does nothing while a promotion
    // runs, while the back-off lasts, or before this VM's turn: VMs that see the same evidence at once would split the
    // servers' promises among them, so each leaves those before it in the rendezvous order the time to act.
    std::vector<PromotionEffect> start(const PromotionRequest&, TimePoint now);

    // Takes in an event. Events of former terms and repeated events do no harm.
    std::vector<PromotionEffect> handle(const PromotionEvent&, TimePoint now);

    PromotionPhase phase() const { return this->currentPhase; }
    Term term() const { return this->currentTerm; }
    const std::string& promoter() const { return this->promoterName; }
    bool isRunning() const;

    // The new primary, from the moment it is known to be one.
    std::optional<BackendServerId> primary() const;

    // A lost promotion is not started again before this.
    TimePoint backoffUntil() const { return this->nextStartAt; }

private:
    struct Member {
        BackendServerId server;
        bool isDraining = false;
        bool isFenced = false;
        bool wasRefused = false;
        bool isFollowing = false;
        // The log point of the fenced server. It can't change in this term.
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
    void enterPhase(PromotionPhase, Duration limit, TimePoint now);
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
    // Since when a promotion out of this term has been asked for, and when last.
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
