#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// A statement that waits for its start at a backend server.
struct QueuedStatement {
    uint64_t ticket = 0;
    std::string organisation;
    // 0 is the highest priority.
    uint32_t priority = 0;
    TimePoint queuedAt {};
    // When the operation should end by the latency objective of its route.
    TimePoint objectiveAt = TimePoint::max();
    // The statement is refused when it has not started by this time.
    TimePoint giveUpAt {};
    // Whether the statement serves the proxy's own work, such as the renewal of a lease. It goes before all others.
    bool isControl = false;
};

// A place in the order of starts.
struct PlannedStart {
    uint64_t ticket = 0;
    // Whether the statement cannot end by its objective, or not without putting off one that goes before it.
    bool isPutOff = false;
};

// The pace at which a backend server takes statements from this VM.
struct ServerPace {
    // The mean time from the sending of a statement to its reply.
    Duration statementTime { 0 };
    // The mean time between two starts while statements wait.
    Duration startInterval { 0 };
    // How long a server that runs as many statements as it may has sent no reply, beyond the time of a statement.
    Duration silence { 0 };
    // The mean deviation from the statement time.
    Duration statementTimeDeviation { 0 };
};

// The statements that wait before one backend server, and the order in which they start.
//
// It answers a load that exceeds the server for seconds: callers with different objectives and priorities, and one organisation that sends
// most of it. The order is planned from the server's pace. As many statements as possible are planned to end by their objectives, in the
// order of their priorities as far as all of them still can; where not all can, those of the lowest priority are put off first, and within
// a priority those of the organisation that has started most recently and has most statements before them. Statements that are put off, or
// are late already, start when no other one waits, and otherwise take one start in five. Half of these starts go by priority, the other
// half by the organisations' use alone. So with k organisations waiting, each that has a statement put off starts its oldest one within
// about 10 k starts, whatever its priority; and late statements delay the others by a quarter at most. The order has no regard to the data
// centre that a statement comes from.
class StatementQueue {
public:
    void push(const QueuedStatement&);
    // Removes a statement that does not start. Returns whether it waited.
    bool remove(uint64_t ticket);
    // Returns all waiting statements in the order in which they should start.
    std::vector<PlannedStart> startOrder(TimePoint now, const ServerPace&) const;
    // Removes a statement that starts now.
    void recordStart(const PlannedStart&, TimePoint now);
    // Counts a statement that starts without having waited.
    void recordStart(const std::string& organisation, TimePoint now);

    // Returns the waiting statements that cannot start in time: their expected wait is well above the time that they have left.
    std::vector<uint64_t> hopeless(TimePoint now, const ServerPace&) const;
    // Returns whether the statement is among the hopeless ones.
    bool isHopeless(uint64_t ticket, TimePoint now, const ServerPace&) const;
    // Returns when a statement that is refused now may return: once the statements that wait have started, and those that were refused
    // before it. Each refusal gets a later time than the one before.
    TimePoint nextReturnAt(TimePoint now, const ServerPace&);

    bool empty() const { return this->statements.empty(); }
    size_t size() const { return this->statements.size(); }

private:
    // The starts of an organisation in the recent past, as a decaying count.
    struct RecentUse {
        double starts = 0;
        TimePoint countedAt {};
        double at(TimePoint now) const;
    };
    struct PlannedStatement {
        const QueuedStatement* statement = nullptr;
        // The place among those of its organisation, with the organisation's recent use added.
        double standing = 0;
        TimePoint latestStart {};
        bool isPutOff = false;
        bool hasPlace = false;
    };
    // Returns whether the first one goes before the second: by priority, then by standing.
    static bool ranksBefore(const PlannedStatement*, const PlannedStatement*);
    // Appends the control statements to the order, and returns the others in the order of their latest starts.
    std::vector<PlannedStatement> planned(TimePoint now, const ServerPace&, std::vector<PlannedStart>& order) const;
    // Marks those that must be put off so that the others can end by their objectives. Returns the others in the order in which they start.
    static std::vector<const PlannedStatement*> selectOnTime(std::vector<PlannedStatement>&, TimePoint firstStart, Duration startInterval);
    // Returns how long a statement of the priority waits with this many statements of the same priority before it, as their share of the
    // recent starts shows.
    Duration observedWait(uint32_t priority, size_t place, const ServerPace&) const;
    void countStart(const std::string& organisation, TimePoint now);

    // In the order of arrival, as tickets increase.
    std::map<uint64_t, QueuedStatement> statements;
    std::map<std::string, RecentUse> recentUse;
    // Starts since a statement that was put off started while others could still be on time.
    uint32_t startsSincePutOff = 0;
    // Whether the next start of a statement that was put off goes by the organisations' use alone.
    bool isNextByUse = false;
    // The share of the recent starts that went to each priority while statements of it waited.
    std::map<uint32_t, double> startShares;
    std::map<uint32_t, size_t> waitingByPriority;
    // The latest time that was named to a refused statement.
    TimePoint lastReturnAt {};
};

}
