#pragma once

#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/server/OperatorClient.h"

#include <array>
#include <atomic>
#include <map>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace foxtail::processes {

// What a caller got back from one request.
struct CallerResponse {
    // 0 when no answer came; kind is then PeerUnavailable when no connection could be made, and OutcomeUnknown after that.
    unsigned status = 0;
    // The name of the error, or an empty text.
    std::string errorKind;
    // "no", "yes" or "unknown" of an error.
    std::string ran;
    std::string token;
    std::string body;
};

// A request of a caller to the service "booking".
struct CallerRequest {
    std::string operation;
    std::string body;
    std::string token;
    std::string requestId;
    // Empty for the key of the sample organisation.
    std::string key;
};

// One write of the history: its slot and what its attempts were answered.
struct WriteRecord {
    std::string slot;
    bool isAcknowledged = false;
    // Every attempt was answered with ran "no".
    bool isRefused = false;
};

std::string bookingBody(const std::string& slot);
std::string listBody();

// The slots in the first result of a read's answer, with repetitions.
std::multiset<std::string> slotsOf(const CallerResponse&);

// The sample deployment as separate processes: the platform stand-in, backend servers b1 (primary), b2 and b3, and VMs vm1 to
// vm3. The bookings table has no unique column, so that a write that runs twice shows. Every process ends with this object.
class Deployment {
public:
    static constexpr size_t vmCount = 3;

    // Starts everything and declares the sample configuration. Throws std::runtime_error when that fails.
    Deployment();
    ~Deployment();

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Sends one request through a VM (0 to 2) on a new connection. May be called from any thread.
    CallerResponse send(size_t vm, const CallerRequest&);
    HttpResponse sendRaw(Endpoint, const HttpRequest&);
    Endpoint callerEndpoint(size_t vm) const { return { "127.0.0.1", this->ports[vm].caller }; }
    std::string authorization() const { return "Bearer " + this->key; }

    // Runs a command of the operators' language on a VM.
    Result<OperatorResponse> command(size_t vm, const std::string& text);

    // Sends a signal to a process by its name.
    void signal(const std::string& name, int number);
    // Waits for the end of a process and returns its wait status.
    int waitForExit(const std::string& name);
    // Starts a VM with its former settings.
    void startVm(size_t vm);
    // Changes the faults of the platform stand-in.
    void changeStoreFaults(const std::string& faults);
    // The name of the database's present primary.
    std::string primary();
    // Waits until every VM answers a confirmed read.
    void waitUntilServing();
    // The texts of all log files and metrics pages.
    std::string logsAndMetrics();

    FiberThread& callersThread() { return *this->callerThread; }

private:
    struct VmPorts {
        uint16_t caller = 0;
        uint16_t peer = 0;
        uint16_t operators = 0;
        uint16_t metrics = 0;
    };

    uint16_t startStandin(const std::string& name, std::vector<std::string> arguments);
    void startProcess(const std::string& name, std::vector<std::string> arguments);
    void pickPorts();
    void declareConfiguration();
    std::string filePath(const std::string& name) const { return this->folder + "/" + name; }

    std::string folder;
    std::string key;
    uint16_t storePort = 0;
    std::array<VmPorts, vmCount> ports {};
    std::map<std::string, pid_t> processIds;
    std::unique_ptr<FiberThread> callerThread;
};

// Sessions that write and read back under load, each request through a VM picked by a fixed seed. A write whose outcome is
// unknown is repeated with its id through another VM.
class SessionWorkload {
public:
    // Each session ends after so many acknowledged writes.
    SessionWorkload(Deployment&, size_t sessions, size_t writesPerSession);

    // Waits until so many writes were acknowledged. Returns false when the sessions ended before.
    bool waitForAcknowledged(size_t count);
    // Waits for the end of all sessions.
    void join();
    // The faults of the history against the rows at the end, one a line; empty when there is none. Call after join().
    std::string violations();
    size_t acknowledgedWrites() const { return this->acknowledgedCount; }
    // Every answer that was not a success, one a line.
    std::string failures();

private:
    void runSession(size_t session, size_t writes);
    WriteRecord write(std::mt19937_64&, const std::string& slot, std::string& token);
    void readBack(std::mt19937_64&, const std::string& token, const std::vector<WriteRecord>&);

    Deployment& deployment;
    // Only the callers' thread touches the history until every session has ended.
    std::vector<WriteRecord> history;
    std::string sessionViolations;
    std::string failureLines;
    std::atomic<size_t> acknowledgedCount = 0;
    std::atomic<size_t> runningSessionCount = 0;
};

}
