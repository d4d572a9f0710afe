#pragma once

#include "foxtailtrail/execution/ReadExecution.h"
#include "foxtailtrail/execution/Resolution.h"
#include "foxtailtrail/execution/RetryPolicy.h"
#include "tests/execution/FakeGroup.h"

#include <array>
#include <memory>
#include <queue>
#include <tuple>

namespace foxtail::test {

// A fault at one step of one attempt.
enum class Fault : uint8_t {
    None,
    // The connection breaks and the step never reaches the server, which notices later.
    LostBeforeSend,
    // The connection breaks at once; the server runs the step much later.
    LostAfterSend,
    // The server runs the step; the connection breaks before the reply.
    LostBeforeReply,
    // The reply comes after the deadline.
    LateReply,
    // The deadline passes while the step is outstanding.
    Deadline,
    // Another server becomes primary before the step runs; the old one hears of it later.
    PrimaryReplaced,
    // The same, and the old primary runs the step first.
    PrimaryReplacedAfterStep,
    // The VM dies while the step is outstanding; the caller repeats the id at another VM.
    VmDeath,
    // The same request arrives at a second VM.
    Duplicate,
};
inline constexpr std::array allFaults { Fault::LostBeforeSend, Fault::LostAfterSend, Fault::LostBeforeReply, Fault::LateReply,
    Fault::Deadline, Fault::PrimaryReplaced, Fault::PrimaryReplacedAfterStep, Fault::VmDeath, Fault::Duplicate };

// One call of a caller at one VM. Empty outcome: the VM died, so no answer came.
struct Call {
    TransactionRequest request;
    TimePoint startedAt;
    std::optional<TransactionOutcome> outcome;
};

// Virtual time, one database group of three servers, VMs that run the machines under test, and faults.
class World {
public:
    World();

    // The fault for a step of a call: by number of the call (from 0), attempt at it (from 1) and step (from 1). Step
    // 0 is the wait for durability.
    std::function<Fault(size_t call, uint32_t attempt, uint32_t step)> faultAt = [](auto...) { return Fault::None; };

    // Called with the number of a call when it is answered.
    std::function<void(size_t call)> onAnswered = [](size_t) {};

    // Starts a call now or later.
    void call(const TransactionRequest&, Duration after = Duration { 0 });

    // Resolves an id as the status route does, until the outcome is known.
    Resolved resolve(const TransactionRequest&);

    // Runs until nothing is left to do, and lets every server follow the primary.
    void run();

    TimePoint now() const { return this->time; }
    const FakeServer& primary() const { return this->servers[this->primaryIndex]; }

    std::vector<Call> calls;
    // What a connection or a server saw that must never happen.
    std::vector<std::string> violations;

private:
    struct Attempt;
    struct Caller;
    // A pooled connection to a server.
    struct Connection {
        size_t server = 0;
        const Attempt* owner = nullptr;
        bool outstanding = false;
        bool open = false;
        bool closed = false;
    };
    struct Event {
        TimePoint time;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.time, other.number) < std::tie(this->time, this->number); }
    };

    void after(Duration, std::function<void()>);
    void perform(const std::shared_ptr<Caller>&, const std::optional<RetryEffect>&);
    void startAttempt(const std::shared_ptr<Caller>&, uint32_t number, std::unique_ptr<Execution>);
    void perform(const std::shared_ptr<Attempt>&, const ExecutionEffects&);
    void feed(const std::shared_ptr<Attempt>&, const ExecutionEvent&);
    void acquire(const std::shared_ptr<Attempt>&);
    Fault faultOf(const std::shared_ptr<Attempt>&, uint32_t step) const;
    void runStep(const std::shared_ptr<Attempt>&, const RunStep&);
    void deliver(const std::shared_ptr<Attempt>&, int connection, const RunStep&, Duration replyAfter);
    void strike(const std::shared_ptr<Attempt>&, Fault, const RunStep*);
    void awaitDurability(const std::shared_ptr<Attempt>&, const LogPoint&);
    void release(const std::shared_ptr<Attempt>&, bool close);
    void finish(const std::shared_ptr<Attempt>&, const std::function<std::optional<RetryEffect>(RetryPolicy&)>&);
    void replicate();
    void replacePrimary();
    void healAll();

    TimePoint time;
    uint64_t eventNumber = 0;
    std::priority_queue<Event> events;
    std::array<FakeServer, 3> servers;
    size_t primaryIndex = 0;
    Term term { 1 };
    int connectionNumber = 0;
    std::map<int, Connection> connections;
    Resolved lastResolved;
};

// A write of one organisation at the fake database.
TransactionRequest bookingRequest(const std::string& id, std::vector<Statement>, TimePoint deadline);

}
