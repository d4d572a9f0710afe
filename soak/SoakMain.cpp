#include "soak/ConsistencyWorkload.h"
#include "soak/FaultProxy.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <queue>
#include <random>

namespace {

using namespace foxtail;
using namespace foxtail::soak;
namespace options = boost::program_options;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr size_t vmCount = 4;
constexpr size_t callerCount = 8;
constexpr std::chrono::seconds recoveryTimeout { 20 };
constexpr std::chrono::seconds ageOfCopy { 5 };

// A fleet of real VM processes with a fault proxy between each VM and the store, and one in front of each backend server.
class SoakEnvironment {
public:
    explicit SoakEnvironment(uint32_t seed)
        : random(seed)
        , fleet(
              vmCount, this->portOverrides(), seed % 2 == 0 ? fleet::Fleet::ConnectionMode::Direct : fleet::Fleet::ConnectionMode::Relayed)
    {
    }

    // Injects overlapping random faults for the given time, then repairs all of them.
    void run(std::chrono::seconds duration)
    {
        const auto end = Clock::now() + duration;
        while (Clock::now() < end) {
            this->injectRandomFault();
            const auto nextFaultAt = Clock::now() + milliseconds(100 + this->random() % 900);
            while (Clock::now() < nextFaultAt) {
                this->runRepairs(false);
                std::this_thread::sleep_for(milliseconds(20));
            }
        }
        this->runRepairs(true);
    }

    fleet::Fleet& fleetUnderTest() { return this->fleet; }
    const std::vector<std::string>& injectedFaults() const { return this->faultLog; }
    // Returns how many VMs were ended by a reload signal before their main function ran.
    size_t earlyReloads() const { return this->earlyReloadCount; }

private:
    struct ScheduledRepair {
        Clock::time_point dueAt;
        std::function<void()> run;
        bool operator>(const ScheduledRepair& other) const { return this->dueAt > other.dueAt; }
    };

    fleet::Fleet::PortOverrides portOverrides()
    {
        return { [this](size_t vm, uint16_t port) {
                    auto& proxy = this->storeProxies[vm];
                    if (!proxy)
                        proxy = std::make_unique<FaultProxy>(port);
                    return proxy->port();
                },
            [this](size_t server, uint16_t port) {
                auto& proxy = this->serverProxies[server];
                if (!proxy)
                    proxy = std::make_unique<FaultProxy>(port);
                return proxy->port();
            } };
    }

    void scheduleRepair(std::function<void()> repair)
    {
        this->scheduledRepairs.push({ Clock::now() + milliseconds(200 + this->random() % 3000), std::move(repair) });
    }

    void runRepairs(bool all)
    {
        while (!this->scheduledRepairs.empty() && (all || this->scheduledRepairs.top().dueAt <= Clock::now())) {
            const ScheduledRepair repair = this->scheduledRepairs.top();
            this->scheduledRepairs.pop();
            repair.run();
        }
    }

    size_t pickVm() { return this->random() % vmCount; }
    size_t pickServer() { return this->random() % standins::LineProtocolGroup::serverCount; }

    void injectRandomFault()
    {
        using Fault = void (SoakEnvironment::*)();
        struct FaultEntry {
            const char* name;
            Fault fault;
        };
        constexpr std::array<FaultEntry, 14> faults { {
            { "kill a VM", &SoakEnvironment::killVm },
            { "pause a VM", &SoakEnvironment::pauseVm },
            { "stop a VM", &SoakEnvironment::stopVm },
            { "signal a VM to reload", &SoakEnvironment::reloadVm },
            { "inject a store fault", &SoakEnvironment::injectStoreFault },
            { "compact the store or restore an older copy", &SoakEnvironment::replaceStoreHistory },
            { "inject a fault on a store connection", &SoakEnvironment::injectStoreLinkFault },
            { "inject a fault on a server connection", &SoakEnvironment::injectServerLinkFault },
            { "crash a server", &SoakEnvironment::crashServer },
            { "make a server unresponsive", &SoakEnvironment::makeServerUnresponsive },
            { "delay a replica", &SoakEnvironment::delayReplica },
            { "lose replies of servers", &SoakEnvironment::loseReplies },
            { "change the configuration", &SoakEnvironment::changeConfiguration },
            { "evacuate the data centre", &SoakEnvironment::evacuateDataCentre },
        } };
        const FaultEntry& entry = faults[this->random() % faults.size()];
        this->faultLog.emplace_back(entry.name);
        (this->*entry.fault)();
    }

    void killVm()
    {
        const size_t vm = this->pickVm();
        if (!this->fleet.isRunning(vm))
            return;
        this->fleet.killVm(vm);
        this->scheduleRepair([this, vm] { this->fleet.startVm(vm); });
    }

    void pauseVm()
    {
        const size_t vm = this->pickVm();
        if (!this->fleet.isRunning(vm))
            return;
        this->fleet.signalVm(vm, SIGSTOP);
        this->scheduleRepair([this, vm] {
            if (this->fleet.isRunning(vm))
                this->fleet.signalVm(vm, SIGCONT);
        });
    }

    void stopVm()
    {
        const size_t vm = this->pickVm();
        if (!this->fleet.isRunning(vm))
            return;
        this->fleet.signalVm(vm, SIGCONT);
        this->fleet.signalVm(vm, SIGTERM);
        if (this->fleet.waitForVm(vm) != 0)
            this->faultLog.emplace_back("a VM that was stopped exited with an error");
        this->scheduleRepair([this, vm] { this->fleet.startVm(vm); });
    }

    void reloadVm()
    {
        const size_t vm = this->pickVm();
        if (!this->fleet.isRunning(vm))
            return;
        const bool canReceive = this->fleet.canReceiveSignal(vm, SIGHUP);
        this->fleet.signalVm(vm, SIGHUP);
        if (canReceive)
            return;
        // The signal ends a process whose main function does not run yet. As on the platform, the VM is started again.
        bool hasEnded = false;
        fleet::eventually([&] {
            hasEnded = hasEnded || this->fleet.takeProcessEndedBy(vm, SIGHUP);
            return hasEnded || this->fleet.canReceiveSignal(vm, SIGHUP);
        });
        if (hasEnded) {
            ++this->earlyReloadCount;
            this->fleet.startVm(vm);
        }
    }

    void injectStoreFault()
    {
        standins::RowStoreFaults faults;
        switch (this->random() % 5) {
        case 0:
            faults.isUnavailable = true;
            break;
        case 1:
            faults.isUnresponsive = this->unresponsiveStoreCount++ % 2 == 0;
            faults.isSilent = !faults.isUnresponsive;
            break;
        case 2:
            faults.rejectedConnectionShare = 0.5;
            break;
        case 3:
            faults.requestDelay = milliseconds(200);
            break;
        default:
            faults.lostReplyShare = 0.4;
            faults.lostReplyCommitDelay = milliseconds(this->random() % 2 == 0 ? 0 : 2000);
            break;
        }
        this->fleet.store().setFaults(faults);
        this->scheduleRepair([this] { this->fleet.store().setFaults({}); });
    }

    void replaceStoreHistory()
    {
        if (this->historyReplacementCount++ % 2 == 0) {
            this->fleet.store().compact();
            return;
        }
        this->fleet.store().restore(ageOfCopy);
        // The operator and the servers write again what the copy lacks.
        this->fleet.publishConfiguration();
        this->fleet.setEvacuated(this->isEvacuated);
        this->fleet.registerServers();
    }

    void injectLinkFault(FaultProxy& proxy)
    {
        switch (this->random() % 5) {
        case 0:
            proxy.setDelay(milliseconds(50));
            break;
        case 1:
            proxy.setBlocked(true, false);
            break;
        case 2:
            proxy.setBlocked(false, true);
            break;
        case 3:
            proxy.stallOpenConnections();
            break;
        default:
            proxy.resetOpenConnections();
            break;
        }
        this->scheduleRepair([&proxy] {
            proxy.setDelay(milliseconds(0));
            proxy.setBlocked(false, false);
        });
    }

    void injectStoreLinkFault() { this->injectLinkFault(*this->storeProxies.at(this->pickVm())); }
    void injectServerLinkFault() { this->injectLinkFault(*this->serverProxies.at(this->pickServer())); }

    // At most one server is down at a time, so that a majority remains available.
    void crashServer()
    {
        if (this->isServerDown)
            return;
        const size_t server = this->pickServer();
        this->isServerDown = true;
        this->fleet.group().crash(server);
        this->scheduleRepair([this, server] {
            this->fleet.group().restart(server);
            this->fleet.registerServers();
            this->isServerDown = false;
        });
    }

    void makeServerUnresponsive()
    {
        if (this->isServerDown)
            return;
        const size_t server = this->pickServer();
        this->isServerDown = true;
        this->fleet.group().setUnresponsive(server, true);
        this->scheduleRepair([this, server] {
            this->fleet.group().setUnresponsive(server, false);
            this->isServerDown = false;
        });
    }

    void delayReplica()
    {
        const size_t server = this->pickServer();
        const bool blocksReplication = this->random() % 2 == 0;
        if (blocksReplication)
            this->fleet.group().setReplicationBlocked(server, true);
        else
            this->fleet.group().setApplyDelay(server, milliseconds(1000));
        this->scheduleRepair([this, server] {
            this->fleet.group().setReplicationBlocked(server, false);
            this->fleet.group().setApplyDelay(server, milliseconds(2));
        });
    }

    void loseReplies()
    {
        this->fleet.group().setLostReplyShare(0.05);
        this->scheduleRepair([this] { this->fleet.group().setLostReplyShare(0); });
    }

    void changeConfiguration()
    {
        this->fleet.extraDatabases.push_back("extra" + std::to_string(this->fleet.version()));
        this->fleet.organisations[1].keys = { "key-of-orgb-" + std::to_string(this->fleet.version()) };
        this->fleet.publishConfiguration();
    }

    // All servers are in one data centre, so that nothing may run until the evacuation is taken back.
    void evacuateDataCentre()
    {
        this->isEvacuated = true;
        this->fleet.setEvacuated(true);
        this->scheduleRepair([this] {
            this->isEvacuated = false;
            this->fleet.setEvacuated(false);
        });
    }

    std::mt19937 random;
    size_t historyReplacementCount = 0;
    size_t unresponsiveStoreCount = 0;
    size_t earlyReloadCount = 0;
    std::map<size_t, std::unique_ptr<FaultProxy>> storeProxies;
    std::map<size_t, std::unique_ptr<FaultProxy>> serverProxies;
    std::priority_queue<ScheduledRepair, std::vector<ScheduledRepair>, std::greater<>> scheduledRepairs;
    std::vector<std::string> faultLog;
    bool isServerDown = false;
    bool isEvacuated = false;
    fleet::Fleet fleet;
};

// Checks that every VM serves the three databases of the workload again and, once the configuration has changed, refuses the first key
// of orgb.
std::vector<std::string> checkRecovery(fleet::Fleet& fleet)
{
    std::vector<std::string> failures;
    for (size_t vm = 0; vm < fleet.vmCount(); ++vm) {
        for (const char* database : { "strict", "own", "bounded" }) {
            const bool serves = fleet::eventually(
                [&] {
                    fleet::Caller caller(fleet.callerPort(vm));
                    return caller.isConnected() && caller.start(database, "key-of-orga").succeeded()
                        && caller.query(recoveryRequestId, "READ none").succeeded();
                },
                recoveryTimeout);
            if (!serves)
                failures.push_back("recover: vm" + std::to_string(vm) + " does not serve database " + database);
        }
        if (fleet.version() > 1) {
            const bool refusesOldKey = fleet::eventually([&] {
                fleet::Caller caller(fleet.callerPort(vm));
                return caller.isConnected() && caller.start("strict", "key-of-orgb").error == "NOAUTH";
            });
            if (!refusesOldKey && fleet.organisations[1].keys.front() != "key-of-orgb")
                failures.push_back("key: vm" + std::to_string(vm) + " accepts a withdrawn key");
        }
    }
    return failures;
}

// Writes the logs of the VMs, the injected faults and the violations of a seed to its log file.
void writeLogs(SoakEnvironment& environment, const std::vector<std::string>& foundViolations, const std::string& logFile, uint32_t seed)
{
    if (foundViolations.empty() || logFile.empty())
        return;
    std::ofstream log(logFile + "." + std::to_string(seed));
    log << environment.fleetUnderTest().logs();
    for (const std::string& fault : environment.injectedFaults())
        log << "injected: " << fault << "\n";
    for (const std::string& violation : foundViolations)
        log << "violation: " << violation << "\n";
}

// Runs one seed and returns the violated guarantees.
std::vector<std::string> runSeed(uint32_t seed, std::chrono::seconds duration, const std::string& logFile)
{
    SoakEnvironment environment(seed);
    std::vector<std::string> foundViolations;
    if (!environment.fleetUnderTest().waitUntilReady()) {
        foundViolations.emplace_back("recover: the fleet did not start");
        writeLogs(environment, foundViolations, logFile, seed);
        return foundViolations;
    }
    ConsistencyWorkload workload(environment.fleetUnderTest(), callerCount, seed);
    environment.run(duration);
    for (const auto& [vm, status] : environment.fleetUnderTest().unexpectedExits())
        foundViolations.push_back("end: vm" + std::to_string(vm) + " exited unexpectedly with status " + std::to_string(status));
    for (std::string& violation : checkRecovery(environment.fleetUnderTest()))
        foundViolations.push_back(std::move(violation));
    workload.stop();
    workload.checkHistory();
    for (std::string& violation : workload.violations())
        foundViolations.push_back(std::move(violation));
    std::cout << "seed " << seed << ": " << workload.succeededStatements() << " succeeded, " << workload.failedStatements() << " failed, "
              << environment.injectedFaults().size() << " faults, " << environment.fleetUnderTest().store().promotionOrders().size()
              << " promotions, " << environment.earlyReloads() << " reloads before main, " << foundViolations.size() << " violations"
              << std::endl;
    writeLogs(environment, foundViolations, logFile, seed);
    return foundViolations;
}

}

int main(int argumentCount, char** arguments)
{
    uint32_t first = 1;
    uint32_t count = 1;
    uint32_t seconds = 10;
    std::string logFile;
    options::options_description description("foxtail-soak: runs VMs under random faults and checks the promises");
    auto add = description.add_options();
    add("help", "show this text");
    add("seed", options::value(&first)->default_value(1), "the first seed");
    add("count", options::value(&count)->default_value(1), "how many seeds");
    add("seconds", options::value(&seconds)->default_value(10), "seconds of faults for each seed");
    add("log", options::value(&logFile), "where to write the logs of a seed that broke a promise; its number is appended");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argumentCount, arguments, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    bool hasPassed = true;
    for (uint32_t seed = first; seed < first + count; ++seed) {
        const std::vector<std::string> foundViolations = runSeed(seed, std::chrono::seconds(seconds), logFile);
        for (size_t index = 0; index < std::min<size_t>(foundViolations.size(), 10); ++index)
            std::cout << "  " << foundViolations[index] << "\n";
        hasPassed = hasPassed && foundViolations.empty();
    }
    return hasPassed ? 0 : 1;
}
