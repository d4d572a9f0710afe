#pragma once

#include "review/harness-2/Platform.h"
#include "standins/platform/LineProtocolGroup.h"

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace foxtail::review {

// The time limits of the sites' settings, in the units of deploy/vm.yaml.
constexpr std::chrono::milliseconds configurationBound { 3000 };

// Writes record.txt: one line for each thing that was sent, answered or run, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& file);
    void write(const std::string& line);
    // Returns the milliseconds from the start to the time.
    int64_t at(Clock::time_point) const;

private:
    std::mutex mutex;
    std::ofstream out;
    Clock::time_point startedAt = Clock::now();
};

// A small deployment on loopback addresses: the store, the call of promotion, one group of three backend servers, and VMs as processes
// that run the command of the deploy file. The destructor ends the processes.
class Deployment {
public:
    Deployment(size_t vmCount, Record&);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Writes the next configuration. Without the keys, the tenant "orga" holds none.
    void publishConfiguration(bool hasKeys);
    void registerServers();
    bool waitUntilReady();
    void signal(size_t vm, int signalNumber) const;
    uint16_t callerPort(size_t vm) const { return this->ports[vm].callers; }
    size_t vmCount() const { return this->ports.size(); }
    // Returns the number of VMs that have ended by themselves.
    size_t endedVms();
    // Returns the logs of a VM.
    std::string log(size_t vm) const;
    // The path of a VM to a server of the group.
    Path& path(size_t vm, size_t server) { return *this->paths[vm][server]; }
    // The process of a server ends, and its port refuses connections.
    void crash(size_t server);
    standins::LineProtocolGroup& group() { return *this->servers; }
    PromotionCall& promotions() { return *this->promotionCall; }
    std::vector<standins::StatementRecord> statements();
    // Returns the VM of the last decision to promote, and when it was recorded.
    std::optional<std::pair<std::string, Clock::time_point>> lastDecision();

private:
    struct Ports {
        uint16_t callers = 0;
        uint16_t ready = 0;
        uint16_t peers = 0;
        uint16_t datagrams = 0;
        uint16_t metrics = 0;
        uint16_t relay = 0;
    };
    void startVm(size_t vm);
    bool isReady(size_t vm) const;
    // Returns an entry of a server with the port of the VM's path to it.
    std::string viewOf(size_t vm, const std::string& table, const std::string& value) const;
    void recordWrite(const std::string& table, const std::string& key, const std::string& value);

    Record& record;
    std::string folder;
    std::vector<Ports> ports;
    std::map<size_t, pid_t> processes;
    uint64_t version = 0;
    std::mutex mutex;
    std::vector<standins::StatementRecord> ran;
    std::string lockHolder;
    std::optional<std::pair<std::string, Clock::time_point>> decision;
    std::unique_ptr<standins::LineProtocolGroup> servers;
    // By VM and server.
    std::vector<std::vector<std::unique_ptr<Path>>> paths;
    std::unique_ptr<PromotionCall> promotionCall;
    std::unique_ptr<Store> store;
};

// Returns whether the environment asks for the disruption: TROUBLE is not 0.
bool hasTrouble();

}
