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
    // Other VMs take a promotion over that has shown no primary for 600 ms, so catching up has to end before.
    Duration catchUpLimit = std::chrono::milliseconds(400);
    Duration fencingLimit = std::chrono::seconds(1);
    Duration promotingLimit = std::chrono::milliseconds(500);
    Duration followingLimit = std::chrono::seconds(2);
    // The back-off after losing, times this VM's place in the rendezvous order of the database.
    Duration backoffStep = std::chrono::milliseconds(400);
    // Random-like extra back-off per lost attempt in a row. It separates two VMs that both believe they are first.
    Duration backoffSpread = std::chrono::milliseconds(100);
    // A planned promotion is not urgent: the VM at place n leaves the VMs before it this long, times n, to begin it.
    Duration plannedStep = std::chrono::seconds(1);
    // How often a promotion begins again in a higher term, when the server it chose doesn't answer, before it gives up.
    unsigned restarts = 3;
};

// A server of the group that a promotion works on.
struct PromotionMember {
    BackendServerId server;
    // A leaving server becomes primary only when no other holds as much.
    bool draining = false;
};

// What a promotion starts from.
struct PromotionRequest {
    std::vector<PromotionMember> members;
    // The highest term seen in the group.
    Term highestTerm;
    // Set for a planned promotion: the primary to replace, and the replica that takes over once it has caught up.
    std::optional<BackendServerId> leavingPrimary;
    std::optional<BackendServerId> successor;
    // This VM's place in the rendezvous order of the database, from 0.
    unsigned place = 0;
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
struct RecordHint {
    Term term;
    BackendServerId primary;
};

// Deliver TimeReached at this time. A later WaitUntil replaces it.
struct WaitUntil {
    TimePoint time;
};

using PromotionEffect = std::variant<FenceServer, PromoteServer, FollowPrimary, ReadStatus, RecordHint, WaitUntil>;

// Where a promotion is.
enum class PromotionPhase : uint8_t {
    Idle,
    // Planned only: the leaving primary is being fenced and the successor receives the end of its log.
    CatchingUp,
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

    // Begins in a term higher than any seen. Does nothing while a promotion runs or the back-off lasts, or before a planned
    // promotion is this VM's turn. Called again as long as the promotion is due.
    std::vector<PromotionEffect> start(const PromotionRequest&, TimePoint now);

    // Takes in an event. Events of former terms and repeated events do no harm.
    std::vector<PromotionEffect> handle(const PromotionEvent&, TimePoint now);

    PromotionPhase phase() const { return this->currentPhase; }
    Term term() const { return this->currentTerm; }
    const std::string& promoter() const { return this->name; }
    bool isRunning() const;

    // The new primary, from the moment it is known to be one.
    std::optional<BackendServerId> primary() const;

    // A lost promotion is not started again before this.
    TimePoint backoffUntil() const { return this->startNotBefore; }

private:
    struct Member {
        BackendServerId server;
        bool draining = false;
        bool fenced = false;
        bool refused = false;
        bool followed = false;
        // The log point of the fenced server. It can't change in this term.
        std::optional<LogPoint> fencedPoint;
        TimePoint nextCommandAt;
    };

    void apply(const CommandReply&, TimePoint now);
    void apply(const StatusReply&, TimePoint now);
    void apply(const TimeReached&, TimePoint) { }
    void applyFence(Member&, const CommandReply&);
    void learn(Member&, const ServerStatus&, TimePoint now);

    bool isTurnForPlanned(const PromotionRequest&, TimePoint now);
    void beginTerm(TimePoint now);
    void enter(PromotionPhase, Duration limit, TimePoint now);
    void advance(TimePoint now);
    void advanceCatchingUp(TimePoint now);
    void advanceFencing(TimePoint now);
    void advancePromoting(TimePoint now);
    void advanceFollowing(TimePoint now);
    void lose(TimePoint now);

    std::vector<PromotionEffect> dueEffects(TimePoint now);
    void addCommand(const Member&, std::vector<PromotionEffect>&) const;
    bool needsCommand(const Member&) const;
    bool isBetter(const Member&, const Member&) const;
    Member* find(const BackendServerId&);
    size_t majority() const { return this->members.size() / 2 + 1; }

    std::string name;
    PromotionSettings settings;
    PromotionRequest request;
    PromotionPhase currentPhase = PromotionPhase::Idle;
    Term currentTerm;
    Term highestSeen;
    std::vector<Member> members;
    TimePoint phaseDeadline;
    TimePoint startNotBefore;
    // When the planned promotion away from a primary was first asked for.
    std::optional<BackendServerId> plannedFor;
    TimePoint plannedSince;
    std::optional<BackendServerId> chosen;
    bool promoted = false;
    bool hintRecorded = false;
    bool successorCaughtUp = false;
    unsigned restartsLeft = 0;
    unsigned lossesInARow = 0;
};

}
