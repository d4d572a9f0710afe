#pragma once

#include "standins/LogPuller.h"
#include "standins/ReplicatedDatabase.h"
#include "standins/TcpListener.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace foxtail::standins {

class BackendSession;

// The settings of a backend stand-in.
struct BackendStandinSettings {
    // 0 selects any free port.
    uint16_t port = 0;
    std::string serverId = "server";
    ServerRole role = ServerRole::Primary;
    // The host:port of the primary. Used by a replica only.
    std::string primaryAddress;
    // SQL that is run once on the empty database. It is not replicated, so all servers of a group need the same schema.
    std::string schema;
    // The delay before a replica applies a log entry.
    std::chrono::milliseconds applyDelay { 0 };
    // A delay added to every statement on tables, during which no lock is held.
    std::chrono::milliseconds statementDelay { 0 };
    // The limit on connections, not counting those of replicas and of fault control.
    uint32_t maxConnections = 100;
};

// A small backend server of a database group. Serves the PostgreSQL protocol and the platform's functions on a SQLite database.
class BackendStandin {
public:
    explicit BackendStandin(BackendStandinSettings);
    ~BackendStandin();
    BackendStandin(const BackendStandin&) = delete;
    BackendStandin& operator=(const BackendStandin&) = delete;

    uint16_t port() const { return this->listener.port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->port()); }
    ReplicatedDatabase& replicatedDatabase() { return this->database; }

    // Closes all connections and stops all threads.
    void stop();

    // Sets one fault. Throws SqlError for an unknown name or value. The faults:
    // - silent: a comma-separated list of "all", "clients", "replicas", "vm:<id>", or "none". Statements of the named peers
    //   take effect, but no reply is sent to them until the fault is changed.
    // - statementDelayMs, lagMs: as statementDelay and applyDelay of the settings.
    // - loseCommits: the given number of next commits take effect and close the connection without a reply.
    // - leaving: "on" or "off"; reported by platform_status().
    void setFault(const std::string& name, const std::string& value);
    bool isSilentFor(const BackendSession&);
    std::chrono::milliseconds statementDelay();
    bool shouldLoseCommit();

    // Checks the claim of the session and the connection limit and registers the session. Throws SqlError when it is refused.
    void registerSession(BackendSession&);
    void unregisterSession(BackendSession&);

    // Makes the VM the home in the epoch and closes the connections of lower epochs. A repeated claim has no effect. Throws SqlError
    // with FT004 when the epoch is not the next one.
    void claim(const std::string& vm, uint64_t epoch);
    std::string homeVm();
    uint64_t homeEpoch();

private:
    std::mutex mutex;
    BackendStandinSettings settings;
    std::set<std::string> silentPeers;
    uint64_t commitsToLose = 0;
    std::set<BackendSession*> sessions;
    std::string currentHome;
    uint64_t currentEpoch = 0;
    ReplicatedDatabase database;
    LogPuller puller;
    // Declared last, so that it is destroyed first and no session outlives the state it uses.
    TcpListener listener;
};

}
