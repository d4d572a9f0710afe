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

// What a caller got back for one statement.
struct Reply {
    std::vector<std::string> rows;
    // "-" for a statement that the VM answered itself.
    std::string digest;
    // The word of an error, or an empty text.
    std::string error;
    std::string detail;
    char state = '?';
    std::string position;
    // The connection ended before the answer.
    bool isConnectionLost = false;

    bool succeeded() const { return !this->isConnectionLost && this->error.empty(); }
};

// A blocking caller on one connection.
class Caller {
public:
    // Connects; isConnected() tells whether that worked.
    explicit Caller(uint16_t port);

    bool isConnected() const { return this->connected; }
    Reply start(const std::string& database, const std::string& key);
    Reply query(const std::string& id, const std::string& text);
    // Sends bytes as they are.
    void sendRaw(const std::string& bytes);
    // The next line, or nothing when the connection has ended or no line came for a while.
    std::optional<std::string> readLine();
    void close();

private:
    Reply readReply();

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    boost::asio::streambuf buffer;
    bool connected = false;
};

// An organisation of the operators' configuration.
struct OrganisationEntry {
    std::string name;
    std::vector<std::string> keys;
    double ratePerSecond = 100'000;
    double burst = 100'000;
};

// VMs as separate processes in front of stand-ins for the platform's store and one group of backend servers. Everything listens on
// loopback; the processes end with this object.
class Fleet {
public:
    // Ports under which VMs reach the store and the servers, for proxies in between.
    struct PortOverrides {
        std::function<uint16_t(size_t vm, uint16_t storePort)> storePort;
        std::function<uint16_t(size_t server, uint16_t serverPort)> serverPort;
    };

    // How the VMs reach the servers: over connections of their own, or over those of one VM a server, as in a large fleet before few
    // connections.
    enum class ConnectionMode : uint8_t {
        Direct,
        Relayed,
    };

    explicit Fleet(size_t vmCount, PortOverrides links = {}, ConnectionMode paths = ConnectionMode::Direct);
    ~Fleet();

    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Writes the next version of the configuration with the present organisations and waits until it is stored.
    void publishConfiguration();
    std::vector<OrganisationEntry> organisations;
    // Databases beside the three that are always there: "strict" (primary), "bounded" and "own".
    std::vector<std::string> extraDatabases;
    uint64_t version() const { return this->configurationVersion; }

    // Writes the entries of the servers that run into the shared list.
    void registerServers();
    void unregisterServer(size_t server);

    void startVm(size_t vm);
    void signalVm(size_t vm, int number);
    // Ends a VM at once and forgets it.
    void killVm(size_t vm);
    // Waits for the end of a VM that was told to stop. Returns its exit status.
    int waitForVm(size_t vm);
    // The VMs that have ended without being told to, with their wait statuses.
    std::map<size_t, int> unexpectedExits();
    bool isRunning(size_t vm) const { return this->processes.count(vm) > 0; }
    size_t vmCount() const { return this->ports.size(); }
    uint16_t callerPort(size_t vm) const { return this->ports[vm].callers; }
    // The status of the probe of readiness, or 0 without an answer.
    unsigned readinessStatus(size_t vm);
    // Waits until all running VMs are ready. Returns false when that takes too long.
    bool waitUntilReady();
    // What the VMs have logged.
    std::string logs() const;
    // Every statement that a backend server ran for a caller.
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
    // The maximum that the configuration names for each server.
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

// Runs the condition until it holds or the time is over.
template <typename Condition> bool eventually(Condition condition, std::chrono::milliseconds limit = std::chrono::seconds(15))
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

}
