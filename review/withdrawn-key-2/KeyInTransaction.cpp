// A tenant's key is withdrawn while one of its callers is inside a transaction.

#include "review/harness-2/Deployment.h"
#include "tests/fleet/Fleet.h"

#include <iostream>

using namespace foxtail;
using namespace foxtail::review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;
constexpr std::chrono::milliseconds pauseBetweenStatements { 1000 };
constexpr int statementsAfterWithdrawal = 7;
// The answer of the store and the way to a backend server, on a machine under load.
constexpr std::chrono::milliseconds margin { 200 };

std::string describe(const fleet::Reply& reply)
{
    if (reply.isConnectionLost)
        return "connection closed";
    return (reply.error.empty() ? "DONE " + reply.digest : "ERROR " + reply.error) + ", state " + reply.state;
}

}

static int run()
{
    Record record("review/withdrawn-key-2/record.txt");
    Deployment deployment(2, record);
    if (!deployment.waitUntilReady())
        return couldNotRun;
    fleet::Caller caller(deployment.callerPort(0));
    int number = 0;
    const auto send = [&](fleet::Caller& sender, const std::string& text) {
        const std::string id = "a" + std::to_string(++number);
        record.write("sent: " + id + " " + text);
        fleet::Reply reply = sender.query(id, text);
        record.write("answered: " + id + " " + describe(reply));
        return reply;
    };
    if (!caller.start("strict", "key-of-orga").succeeded() || !send(caller, "BEGIN").succeeded() || !send(caller, "READ x1").succeeded())
        return couldNotRun;
    std::optional<Clock::time_point> withdrawnAt;
    if (hasTrouble()) {
        deployment.publishConfiguration(false);
        withdrawnAt = Clock::now();
    }
    for (int index = 0; index < statementsAfterWithdrawal; ++index) {
        std::this_thread::sleep_for(pauseBetweenStatements);
        send(caller, index + 1 < statementsAfterWithdrawal ? "READ x" + std::to_string(index + 2) : "WRITE x1 written-with-withdrawn-key");
    }
    send(caller, "COMMIT");
    // Shows that the VM has the new configuration.
    fleet::Caller second(deployment.callerPort(0));
    record.write("a new session with the key: " + describe(second.start("strict", "key-of-orga")));
    if (deployment.endedVms() > 0)
        return couldNotRun;
    int late = 0;
    for (const standins::StatementRecord& statement : deployment.statements()) {
        // Each statement reaches its server within a few milliseconds, so it was sent later than the bound.
        if (withdrawnAt && statement.organisation == "orga" && statement.ranAt > *withdrawnAt + configurationBound + margin)
            ++late;
    }
    record.write(std::to_string(late) + " statements ran with a key that was withdrawn more than "
        + std::to_string(configurationBound.count()) + " ms before they were sent");
    std::cout << late << " statements ran with the withdrawn key" << std::endl;
    return late > 0 ? broken : held;
}

int main()
{
    try {
        return run();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << std::endl;
        return couldNotRun;
    }
}
