#pragma once

#include "standins/platform/LineProtocolGroup.h"
#include "standins/platform/RowStore.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace foxtail::fleet {

// The reply to one statement of a caller.
struct Reply {
    std::vector<std::string> rows;
    // "-" for a statement that the VM handled itself.
    std::string digest;
    // The code of an error, or empty.
    std::string error;
    std::string detail;
    char state = '?';
    std::string position;
    // Set when the connection was closed before the reply was complete.
    bool isConnectionLost = false;

    bool succeeded() const { return !this->isConnectionLost && this->error.empty(); }
};

// A blocking client with one connection.
class Caller {
public:
    // Connects to the port; isConnected() returns whether the connection was established.
    explicit Caller(uint16_t port);

    bool isConnected() const { return this->connected; }
    Reply start(const std::string& database, const std::string& key);
    Reply query(const std::string& id, const std::string& text);
    // Sends bytes unmodified.
    void sendRaw(const std::string& bytes);
    // Reads the reply to the oldest request without one.
    Reply readReply();
    // Returns the next line, or an empty optional when the connection has ended or no line arrives in time.
    std::optional<std::string> readLine();
    void close();

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    boost::asio::streambuf buffer;
    bool connected = false;
};

// An organisation in the operators' configuration.
struct OrganisationEntry {
    std::string name;
    std::vector<std::string> keys;
    double ratePerSecond = 100'000;
    double burst = 100'000;
};

// VMs as separate processes in front of stand-ins for the platform's store and for one group of backend servers. All of them listen on the
// loopback address; the destructor ends the processes.
class Fleet {
public:
    // Functions that replace the ports at which VMs reach the store and the servers, so that a test can put proxies in between.
    struct PortOverrides {
        std::function<uint16_t(size_t vm, uint16_t storePort)> storePort;
        std::function<uint16_t(size_t server, uint16_t serverPort)> serverPort;
    };

    // How the VMs reach the servers: over their own connections, or over the connections of one VM per server, as in a large fleet whose
    // servers accept few connections.
    enum class ConnectionMode : uint8_t {
        Direct,
        Relayed,
    };

    // The lines are added to the settings file of each VM.
    explicit Fleet(size_t vmCount, PortOverrides overrides = {}, ConnectionMode connectionMode = ConnectionMode::Direct,
        std::string extraSettings = {});
    ~Fleet();

    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Writes the next version of the configuration with the current organisations and databases to the store.
    void publishConfiguration();
    std::vector<OrganisationEntry> organisations;
    // Databases in addition to the three that always exist: "strict" (primary), "bounded" and "own".
    std::vector<std::string> extraDatabases;
    uint64_t version() const { return this->configurationVersion; }

    // Writes the entries of the running servers to the server table of the store.
    void registerServers();
    void registerServer(size_t server);
    void unregisterServer(size_t server);
    // Has the data centre of all servers evacuated, or takes that back.
    void setEvacuated(bool);

    void startVm(size_t vm);
    void signalVm(size_t vm, int signalNumber);
    // Returns whether a VM handles a signal or holds it back. No process does before its main function runs.
    bool canReceiveSignal(size_t vm, int signalNumber) const;
    // Returns true when a VM was ended by a signal, and removes its process from the list.
    bool takeProcessEndedBy(size_t vm, int signalNumber);
    // Kills a VM and removes its process from the list.
    void killVm(size_t vm);
    // Waits until a VM exits that was sent a signal to stop. Returns its wait status.
    int waitForVm(size_t vm);
    // Returns the VMs that have exited by themselves since the last call, with their wait statuses.
    std::map<size_t, int> unexpectedExits();
    bool isRunning(size_t vm) const { return this->processes.count(vm) > 0; }
    pid_t processId(size_t vm) const { return this->processes.at(vm); }
    size_t vmCount() const { return this->ports.size(); }
    uint16_t callerPort(size_t vm) const { return this->ports[vm].callers; }
    // Returns the HTTP status of the readiness probe, or 0 without a response.
    unsigned readinessStatus(size_t vm);
    // Waits until all running VMs are ready. Returns false on a timeout.
    bool waitUntilReady();
    // Returns the log output of all VMs.
    std::string logs() const;
    // Returns every statement that a backend server has run for a caller.
    std::vector<standins::StatementRecord> records();

    standins::RowStore& store() { return *this->rowStore; }
    standins::LineProtocolGroup& group() { return *this->lineGroup; }

private:
    struct Ports {
        uint16_t callers = 0;
        uint16_t ready = 0;
        uint16_t peers = 0;
        uint16_t datagrams = 0;
        uint16_t metrics = 0;
        uint16_t relay = 0;
    };
    void pickPorts(size_t vmCount);
    std::string settingsFile(size_t vm) const;

    PortOverrides portOverrides;
    std::string extraSettings;
    // The maximum number of connections that the configuration allows to each server.
    size_t maxConnections = 40;
    std::string folder;
    std::vector<Ports> ports;
    std::map<size_t, pid_t> processes;
    uint64_t configurationVersion = 0;
    std::mutex recordMutex;
    std::vector<standins::StatementRecord> statementRecords;
    std::unique_ptr<standins::LineProtocolGroup> lineGroup;
    std::unique_ptr<standins::RowStore> rowStore;
};

// Evaluates the condition until it holds or the timeout has passed. Returns true when it held.
template <typename Condition> bool eventually(Condition condition, std::chrono::milliseconds timeout = std::chrono::seconds(15))
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

}
