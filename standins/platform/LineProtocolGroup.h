#pragma once

#include "standins/TcpListener.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace foxtail::standins {

// An execution of a caller's statement on a backend server.
struct StatementRecord {
    std::string serverId;
    std::string organisation;
    std::string requestId;
    // The statement, with the name of a prepared statement replaced by its template.
    std::string text;
    // The session variables of the connection.
    std::map<std::string, std::string> sessionValues;
    std::chrono::steady_clock::time_point ranAt;
};

// A committed write.
struct CommittedWrite {
    uint64_t term = 0;
    uint64_t position = 0;
    std::string requestId;
    std::string item;
    std::string data;
};

// A group of three backend servers with the platform's line protocol: a primary and two replicas with a replicated log. All
// servers run in this process, and each listens on its own port.
class LineProtocolGroup {
public:
    static constexpr size_t serverCount = 3;
    // Called for every statement of a caller that a server runs. The lock of the group is held during the call.
    using StatementListener = std::function<void(const StatementRecord&)>;

    LineProtocolGroup(std::string service, StatementListener);
    ~LineProtocolGroup();

    const std::string& service() const { return this->serviceName; }
    std::string serverId(size_t server) const;
    // Returns the entry with which a server registers itself, with its own port or, if not 0, the given port of a proxy in front of it.
    std::string registrationEntry(size_t server, uint16_t port = 0);
    uint16_t port(size_t server) const { return this->servers[server].port; }

    // Makes a server the primary of the next term. Returns the HTTP status for the promotion order.
    unsigned promote(const std::string& id);
    // Simulates a crash of a server: its port refuses connections, and its log is kept.
    void crash(size_t server);
    void restart(size_t server);
    // Makes a server accept connections but send no replies.
    void setUnresponsive(size_t server, bool isSilent);
    // Sets whether the entry of a server reports that it leaves. The server goes on to serve.
    void setDraining(size_t server, bool isDraining);
    // Sets the delay before a replica applies a received entry.
    void setApplyDelay(size_t server, std::chrono::milliseconds);
    // Stops or resumes the delivery of log entries to a replica.
    void setReplicationBlocked(size_t server, bool isBlocked);
    // Sets the share of statements that run but whose replies are lost.
    void setLostReplyShare(double share);

    std::optional<size_t> primary();
    // Returns the log of the current primary.
    std::vector<CommittedWrite> primaryLog();
    size_t connectionCount(size_t server);
    // Returns all data that the servers have received. Tests search it for keys.
    std::string receivedBytes();

private:
    using Clock = std::chrono::steady_clock;
    struct Server {
        std::string id;
        bool isRunning = true;
        bool isUnresponsive = false;
        bool isDraining = false;
        bool isReplicationBlocked = false;
        bool isPrimary = false;
        uint64_t term = 1;
        uint64_t pausedForTerm = 0;
        std::chrono::milliseconds applyDelay { 2 };
        std::vector<CommittedWrite> log;
        std::vector<Clock::time_point> receivedAt;
        size_t connectionCount = 0;
        uint64_t generation = 0;
        uint16_t port = 0;
        std::unique_ptr<TcpListener> listener;
    };
    struct Connection;

    void serve(size_t server, boost::asio::ip::tcp::socket&);
    // Handles one line. Returns false when the connection must be closed.
    bool handleLine(Connection&, const std::string& line, std::string& out);
    bool handleStart(Connection&, const std::string& rest, std::string& out);
    bool handleQuery(Connection&, const std::string& id, std::string text, std::string& out);
    void runRead(Connection&, const std::string& id, const std::string& text, const std::string& item, std::string& out);
    bool commitWrites(Connection&, const std::string& id, std::vector<CommittedWrite> writes, std::string& out);
    void recordStatement(Connection&, const std::string& id, const std::string& text);
    void writeReady(Connection&, std::string& out);
    std::string statusRow(const Server&) const;
    // Copies the primary's log to the replicas that can receive it.
    void replicate();
    size_t appliedCount(const Server&) const;
    std::string newDigest(const Server&, const std::string& id);

    std::string serviceName;
    StatementListener statementListener;
    std::mutex mutex;
    std::condition_variable stateCondition;
    std::vector<Server> servers;
    std::string receivedData;
    double lostReplyShare = 0;
    std::mt19937 random { 7 };
    bool isStopping = false;
};

}
