// One VM of four loses its paths to the primary and a replica, which go on to serve the other VMs. The cut refuses connections.

#include "review/harness-2/Deployment.h"
#include "tests/fleet/Fleet.h"

#include <algorithm>
#include <atomic>
#include <iostream>

using namespace foxtail;
using namespace foxtail::review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;
constexpr size_t vmCount = 4;
// The VM whose paths are cut, and the one whose callers write.
constexpr size_t cutVm = 0;
constexpr size_t writingVm = 1;
constexpr std::chrono::milliseconds writeInterval { 640 };
constexpr std::chrono::milliseconds readInterval { 50 };
constexpr std::chrono::milliseconds cutTime { 5000 };
constexpr std::chrono::milliseconds healedTime { 3000 };
constexpr int maxCuts = 11;
constexpr std::chrono::seconds settleTime { 2 };

class Client {
public:
    Client(Deployment& usedDeployment, Record& eventRecord, size_t usedVm)
        : deployment(usedDeployment)
        , record(eventRecord)
        , vm(usedVm)
    {
    }

    // Sends a statement, and reconnects first after a lost connection. Returns whether it was acknowledged.
    bool run(const std::string& id, const std::string& text)
    {
        if (!this->caller) {
            this->caller.emplace(this->deployment.callerPort(this->vm));
            if (!this->caller->isConnected() || !this->caller->start("strict", "key-of-orga").succeeded()) {
                this->caller.reset();
                return false;
            }
        }
        this->record.write("sent to vm" + std::to_string(this->vm) + ": " + id + " " + text);
        const fleet::Reply reply = this->caller->query(id, text);
        this->record.write("answered: " + id + " "
            + (reply.isConnectionLost   ? "connection closed"
                    : reply.succeeded() ? "DONE"
                                        : reply.error));
        if (reply.isConnectionLost || reply.state != 'I')
            this->caller.reset();
        return reply.succeeded();
    }

private:
    Deployment& deployment;
    Record& record;
    size_t vm;
    std::optional<fleet::Caller> caller;
};

// Returns the acknowledged writes that the log of the present primary lacks.
std::vector<std::string> lostWrites(Deployment& deployment, const std::vector<std::string>& acknowledged)
{
    const std::vector<standins::CommittedWrite> log = deployment.group().primaryLog();
    std::vector<std::string> lost;
    for (const std::string& id : acknowledged) {
        if (std::none_of(log.begin(), log.end(), [&](const standins::CommittedWrite& write) { return write.requestId == id; }))
            lost.push_back(id);
    }
    return lost;
}

int run()
{
    Record record("review/8/record.txt");
    Deployment deployment(vmCount, record);
    if (!deployment.waitUntilReady())
        return couldNotRun;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::vector<std::string> acknowledged;
    std::thread writer([&] {
        Client client(deployment, record, writingVm);
        for (int number = 0; !isStopping; ++number) {
            const std::string id = "w" + std::to_string(number);
            if (client.run(id, "WRITE item" + std::to_string(number) + " x")) {
                const std::lock_guard<std::mutex> lock(mutex);
                acknowledged.push_back(id);
            }
            std::this_thread::sleep_for(writeInterval);
        }
    });
    std::thread reader([&] {
        Client client(deployment, record, cutVm);
        for (int number = 0; !isStopping; ++number) {
            client.run("r" + std::to_string(number), "READ item1");
            std::this_thread::sleep_for(readInterval);
        }
    });
    std::vector<std::string> lost;
    for (int cut = 0; cut < maxCuts && lost.empty(); ++cut) {
        std::this_thread::sleep_for(healedTime);
        const size_t primary = deployment.group().primary().value_or(0);
        const size_t replica = (primary + 1) % standins::LineProtocolGroup::serverCount;
        if (hasTrouble()) {
            record.write(
                "vm0 is cut off from the primary groupa-" + std::to_string(primary) + " and the replica groupa-" + std::to_string(replica));
            deployment.path(cutVm, primary).cut();
            deployment.path(cutVm, replica).cut();
        }
        std::this_thread::sleep_for(cutTime);
        if (hasTrouble()) {
            record.write("the cut ends");
            deployment.path(cutVm, primary).heal();
            deployment.path(cutVm, replica).heal();
        }
        const std::lock_guard<std::mutex> lock(mutex);
        lost = lostWrites(deployment, acknowledged);
    }
    isStopping = true;
    writer.join();
    reader.join();
    std::this_thread::sleep_for(settleTime);
    lost = lostWrites(deployment, acknowledged);
    for (const std::string& id : lost)
        record.write("lost: " + id + " was acknowledged and is not in the log of the primary");
    for (size_t vm = 0; vm < vmCount; ++vm)
        record.write("log of vm" + std::to_string(vm) + "\n" + deployment.log(vm));
    std::cout << lost.size() << " acknowledged writes of " << acknowledged.size() << " lost, after "
              << deployment.promotions().orders().size() << " promotions" << std::endl;
    if (acknowledged.empty() || deployment.endedVms() > 0)
        return couldNotRun;
    return lost.empty() ? held : broken;
}

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
