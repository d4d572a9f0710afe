#pragma once

#include "foxtailtrail/failover/GroupView.h"
#include "foxtailtrail/failover/Promotion.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace foxtail {

using std::chrono::milliseconds;

constexpr size_t groupSize = 3;
// Nodes of the fake network: the servers, then the VMs.
constexpr size_t nodeCount = 6;

// The steps of a promotion and of an acknowledgement at which a fault can be injected.
enum class Step : uint8_t {
    PromotionStarted,
    FenceSent,
    FenceDone,
    FenceReplied,
    PromoteSent,
    PromoteDone,
    PromoteReplied,
    FollowSent,
    FollowDone,
    PromotionEnded,
    WriteSent,
    WriteCommitted,
    StatusRead,
    Acknowledged,
};
constexpr size_t stepCount = 14;

// A discrete event simulation in virtual time. Events run in the order of their time, then of their insertion.
class Simulation {
public:
    explicit Simulation(uint64_t seed)
        : random(seed)
    {
    }

    TimePoint now() const { return this->currentTime; }

    void scheduleAt(TimePoint when, std::function<void()> action)
    {
        this->events.push_back({ std::max(when, this->currentTime), ++this->sequence, std::move(action) });
        std::push_heap(this->events.begin(), this->events.end());
    }

    void scheduleAfter(Duration delay, std::function<void()> action) { this->scheduleAt(this->currentTime + delay, std::move(action)); }

    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.front().dueAt <= end) {
            std::pop_heap(this->events.begin(), this->events.end());
            const Event event = std::move(this->events.back());
            this->events.pop_back();
            this->currentTime = event.dueAt;
            event.action();
        }
        this->currentTime = end;
    }

    // Returns a random network delay of 1 to 4 ms.
    Duration networkDelay() { return Duration(1000 + this->random() % 3000); }

private:
    struct Event {
        TimePoint dueAt;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.dueAt, other.sequence) < std::tie(this->dueAt, this->sequence); }
    };

    std::mt19937_64 random;
    TimePoint currentTime;
    uint64_t sequence = 0;
    std::vector<Event> events;
};

// A transaction in a log. Equal entries have the same write and the same term of origin.
struct LogEntry {
    uint64_t write;
    Term term;
    bool operator==(const LogEntry&) const = default;
};

// The reply to a call.
struct FakeReply {
    CommandOutcome outcome = CommandOutcome::Refused;
    ServerStatus status;
    LogPoint logPoint;
    // Whether the read found the write that it looked for.
    bool isWriteFound = false;
};

// A backend server of the fake group. logTerm rises only when the log reaches the point where the term began.
struct FakeServer {
    size_t index = 0;
    bool isUp = true;
    Term promisedTerm { 1 };
    Term logTerm { 1 };
    std::string promoter;
    ServerRole role = ServerRole::Replica;
    std::vector<LogEntry> log;
    size_t termStartPosition = 0;
    size_t upstream = 0;
    TimePoint lastPrimaryContactAt;
    Duration lag { 0 };
    bool isLeaving = false;

    LogPoint logPoint() const { return { this->logTerm, Position { this->log.size() } }; }

    ServerStatus status(TimePoint now) const
    {
        return { this->promisedTerm, this->logTerm, Position { this->log.size() }, this->role, now - this->lastPrimaryContactAt,
            this->isLeaving };
    }
};

// The recorded events that the checks evaluate.
struct History {
    std::map<Term, std::set<size_t>> primaries;
    // Per write: whether a majority had promised a higher term when it last committed or was found committed.
    std::map<uint64_t, bool> committedWhenReplaced;
    std::map<uint64_t, TimePoint> acknowledged;
    std::vector<std::string> violations;
};

// Three servers with asynchronous replication behind a network that can fail in every direction.
class FakeGroup {
public:
    explicit FakeGroup(uint64_t seed)
        : simulation(seed)
    {
        for (size_t index = 0; index < groupSize; ++index) {
            this->servers[index].index = index;
            this->replicate(index);
        }
        this->servers[0].role = ServerRole::Primary;
        this->history.primaries[Term { 1 }].insert(0);
    }

    static BackendServerId id(size_t server) { return BackendServerId("s" + std::to_string(server)); }
    static size_t indexOf(const BackendServerId& server) { return static_cast<size_t>(server.value.back() - '0'); }

    // Blocks or unblocks every link from one set of nodes to another.
    void block(const std::set<size_t>& from, const std::set<size_t>& to, bool isBlocked)
    {
        for (const size_t source : from) {
            for (const size_t target : to)
                this->blockedLinks[source][target] = isBlocked;
        }
    }

    // Runs an action of a VM, now or, if the VM is paused, when its pause ends.
    void onVm(size_t vm, const std::function<void()>& action)
    {
        if (this->simulation.now() >= this->pausedUntil[vm]) {
            action();
        } else {
            this->simulation.scheduleAt(this->pausedUntil[vm], [this, vm, action] { this->onVm(vm, action); });
        }
    }

    // Calls a server from a VM. The reply is empty when none arrived in time.
    void call(size_t vm, size_t server, const std::function<FakeReply(FakeServer&)>& operation,
        const std::function<void(std::optional<FakeReply>)>& done)
    {
        const auto hasFinished = std::make_shared<bool>(false);
        const auto finish = [this, vm, hasFinished, done](std::optional<FakeReply> reply) {
            this->onVm(vm, [hasFinished, done, reply] {
                if (!std::exchange(*hasFinished, true))
                    done(reply);
            });
        };
        const Duration requestDelay = std::exchange(this->nextRequestDelay[vm], Duration(0));
        this->simulation.scheduleAfter(this->simulation.networkDelay() + requestDelay, [this, vm, server, operation, finish] {
            if (!this->servers[server].isUp || this->blockedLinks[vm][server])
                return;
            const FakeReply reply = operation(this->servers[server]);
            if (std::exchange(this->loseNextReply[vm], false))
                return;
            this->simulation.scheduleAfter(this->simulation.networkDelay(), [this, vm, server, reply, finish] {
                if (!this->blockedLinks[server][vm])
                    finish(reply);
            });
        });
        this->simulation.scheduleAfter(milliseconds(200), [finish] { finish(std::nullopt); });
    }

    FakeReply reply(const FakeServer& server, bool isDone) const
    {
        return { isDone ? CommandOutcome::Done : CommandOutcome::Refused, server.status(this->simulation.now()), {}, false };
    }

    FakeReply fence(FakeServer& server, Term term, const std::string& promoter)
    {
        if (term > server.promisedTerm) {
            server.promisedTerm = term;
            server.promoter = promoter;
            server.role = ServerRole::Fenced;
            return this->reply(server, true);
        }
        return this->reply(server, term == server.promisedTerm && promoter == server.promoter);
    }

    FakeReply promote(FakeServer& server, Term term, const std::string& promoter)
    {
        if (term != server.promisedTerm || promoter != server.promoter || server.role == ServerRole::Replica)
            return this->reply(server, false);
        if (server.role == ServerRole::Fenced) {
            server.role = ServerRole::Primary;
            server.logTerm = term;
            server.termStartPosition = server.log.size();
            this->history.primaries[term].insert(server.index);
        }
        return this->reply(server, true);
    }

    FakeReply follow(FakeServer& server, Term term, size_t primary)
    {
        if (term < server.promisedTerm || (server.role == ServerRole::Primary && server.logTerm == term))
            return this->reply(server, false);
        server.promisedTerm = term;
        server.role = ServerRole::Replica;
        server.upstream = primary;
        return this->reply(server, true);
    }

    // Commits a write once: a write that is in the log already keeps its position.
    FakeReply write(FakeServer& server, Term term, uint64_t write)
    {
        FakeReply result = this->reply(server, server.role == ServerRole::Primary && server.logTerm == term);
        if (result.outcome != CommandOutcome::Done)
            return result;
        auto found = std::find_if(server.log.begin(), server.log.end(), [&](const LogEntry& entry) { return entry.write == write; });
        if (found == server.log.end())
            found = server.log.insert(found, { write, term });
        result.logPoint = { term, Position { static_cast<uint64_t>(found - server.log.begin()) + 1 } };
        this->history.committedWhenReplaced[write] = this->isReplaced(term);
        return result;
    }

    FakeReply read(FakeServer& server, LogPoint required, bool mustBePrimary, uint64_t write)
    {
        const bool isDone = holdsLogPoint(server.logPoint(), required) && (!mustBePrimary || server.role == ServerRole::Primary);
        FakeReply result = this->reply(server, isDone);
        result.isWriteFound
            = std::any_of(server.log.rbegin(), server.log.rend(), [&](const LogEntry& entry) { return entry.write == write; });
        return result;
    }

    // Returns whether a majority has promised a higher term.
    bool isReplaced(Term term) const
    {
        return std::count_if(this->servers.begin(), this->servers.end(), [&](const FakeServer& server) {
            return server.promisedTerm > term;
        }) >= 2;
    }

    Simulation simulation;
    std::array<FakeServer, groupSize> servers;
    std::array<std::array<bool, nodeCount>, nodeCount> blockedLinks {};
    std::array<TimePoint, nodeCount> pausedUntil {};
    std::array<bool, nodeCount> loseNextReply {};
    std::array<Duration, nodeCount> nextRequestDelay {};
    History history;

private:
    // Pulls the log of the upstream every 10 ms, at most four new entries at a time.
    void replicate(size_t index)
    {
        this->simulation.scheduleAfter(milliseconds(10), [this, index] {
            this->replicate(index);
            const FakeServer& replica = this->servers[index];
            const size_t from = replica.upstream;
            if (!replica.isUp || replica.role != ServerRole::Replica || this->blockedLinks[index][from])
                return;
            this->simulation.scheduleAfter(this->simulation.networkDelay(), [this, index, from] {
                const FakeServer& source = this->servers[from];
                if (!source.isUp || source.role != ServerRole::Primary || this->blockedLinks[from][index])
                    return;
                this->simulation.scheduleAfter(this->simulation.networkDelay() + this->servers[index].lag,
                    [this, index, source] { this->receive(this->servers[index], source); });
            });
        });
    }

    void receive(FakeServer& replica, const FakeServer& source)
    {
        if (!replica.isUp || replica.role != ServerRole::Replica || replica.promisedTerm != source.logTerm
            || replica.upstream != source.index)
            return;
        replica.lastPrimaryContactAt = this->simulation.now();
        const auto commonLength = static_cast<size_t>(
            std::mismatch(replica.log.begin(), replica.log.end(), source.log.begin(), source.log.end()).first - replica.log.begin());
        if (replica.logTerm < source.logTerm)
            replica.log.resize(commonLength);
        for (size_t next = replica.log.size(); next < std::min(source.log.size(), commonLength + 4); ++next)
            replica.log.push_back(source.log[next]);
        if (replica.log.size() >= source.termStartPosition)
            replica.logTerm = source.logTerm;
    }
};

}
