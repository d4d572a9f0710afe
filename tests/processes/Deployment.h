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

// The response to one request of a caller.
struct CallerResponse {
    // 0 without a response. errorKind is then PeerUnavailable when the connection failed, and OutcomeUnknown when it was lost later.
    unsigned status = 0;
    // The name of the error kind. Empty on success.
    std::string errorKind;
    // Whether the request has run, from the error: "no", "yes" or "unknown".
    std::string ran;
    std::string token;
    std::string body;
};

// A request to the service "booking".
struct CallerRequest {
    std::string operation;
    std::string body;
    std::string token;
    std::string requestId;
    // The Authorization header. Empty to use the key of the sample organisation.
    std::string key;
};

// A write in the history of a workload: its slot and the outcome of its attempts.
struct WriteRecord {
    std::string slot;
    bool isAcknowledged = false;
    // Whether every attempt failed with ran "no".
    bool isRefused = false;
};

std::string bookingBody(const std::string& slot);
std::string listBody();

// Returns the slots in the first result of the response to a read, including duplicates.
std::multiset<std::string> slotsOf(const CallerResponse&);

// Runs the sample deployment as separate processes: the platform stand-in, backend servers b1 (primary), b2 and b3, and VMs vm1
// to vm3. The slots in the bookings table are not unique, so that a write that runs twice is detected. The destructor kills all
// processes.
class Deployment {
public:
    static constexpr size_t vmCount = 3;

    // Starts all processes and declares the sample configuration. Throws std::runtime_error on failure.
    Deployment();
    ~Deployment();

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Sends one request through a VM (0 to 2) on a new connection. May be called from any thread.
    CallerResponse send(size_t vm, const CallerRequest&);
    HttpResponse sendRaw(Endpoint, const HttpRequest&);
    Endpoint callerEndpoint(size_t vm) const { return { "127.0.0.1", this->ports[vm].caller }; }
    std::string authorization() const { return "Bearer " + this->key; }

    // Runs an operator command on a VM.
    Result<OperatorResponse> command(size_t vm, const std::string& text);

    // Sends a signal to the process with the name.
    void signal(const std::string& name, int number);
    // Waits until a process exits and returns its wait status.
    int waitForExit(const std::string& name);
    // Starts a VM with its existing settings file.
    void startVm(size_t vm);
    // Changes the faults of the platform stand-in.
    void changeStoreFaults(const std::string& faults);
    // Returns the name of the current primary of the database.
    std::string primary();
    // Waits until a read through every VM succeeds.
    void waitUntilServing();
    // Returns the contents of all files of the deployment and of all metrics pages.
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

// Runs concurrent sessions that write and read their writes back. A generator with a fixed seed selects the VM of each request. A
// write whose outcome is unknown is repeated with the same request id through a VM selected anew.
class SessionWorkload {
public:
    // Each session ends after writesPerSession acknowledged writes.
    SessionWorkload(Deployment&, size_t sessions, size_t writesPerSession);

    // Waits until the given number of writes are acknowledged. Returns false when all sessions end before that.
    bool waitForAcknowledged(size_t count);
    // Waits until all sessions have ended.
    void join();
    // Compares the history with the final rows and returns the violations, one per line. Call after join().
    std::string violations();
    size_t acknowledgedWrites() const { return this->acknowledgedCount; }
    // Returns the responses that were not successful, one per line.
    std::string failures();

private:
    void runSession(size_t session, size_t writes);
    WriteRecord write(std::mt19937_64&, const std::string& slot, std::string& token);
    void readBack(std::mt19937_64&, const std::string& token, const std::vector<WriteRecord>&);

    Deployment& deployment;
    // Accessed only by the callers' thread until all sessions have ended.
    std::vector<WriteRecord> history;
    std::string sessionViolations;
    std::string failureLines;
    std::atomic<size_t> acknowledgedCount = 0;
    std::atomic<size_t> runningSessionCount = 0;
};

}
