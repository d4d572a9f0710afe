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

// How a backend stand-in is built.
struct BackendStandinSettings {
    // 0 for any free port.
    uint16_t port = 0;
    std::string serverId = "server";
    ServerRole role = ServerRole::Primary;
    // host:port of the primary, for a replica.
    std::string primaryAddress;
    // Run once on the empty database. It is not part of the log, so all servers of a group need the same one.
    std::string schema;
    // How long a replica waits before it applies an entry.
    std::chrono::milliseconds applyDelay { 0 };
    // Added to every statement on tables, while no lock is held.
    std::chrono::milliseconds statementDelay { 0 };
    // The cap over all connections except those of replicas and of the fault switch.
    uint32_t maxConnections = 100;
};

// A small backend server of a database group: the PostgreSQL protocol and the platform's functions over SQLite.
class BackendStandin {
public:
    explicit BackendStandin(BackendStandinSettings);
    ~BackendStandin();
    BackendStandin(const BackendStandin&) = delete;
    BackendStandin& operator=(const BackendStandin&) = delete;

    uint16_t port() const { return this->listener.port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->port()); }
    ReplicatedDatabase& replicatedDatabase() { return this->database; }

    // Ends all connections and threads.
    void stop();

    // Sets one fault switch; SqlError for an unknown name or value. The switches:
    // - silent: a comma-separated list of "all", "clients", "replicas", "vm:<id>", or "none". Statements of the named peers
    //   take effect, but nothing is sent to them until the switch changes.
    // - statementDelayMs, lagMs: as in the settings.
    // - loseCommits: the next so many commits take effect and close the connection without an answer.
    // - leaving: "on" or "off", shown by platform_status().
    void setFault(const std::string& name, const std::string& value);
    bool isSilentFor(const BackendSession&);
    std::chrono::milliseconds statementDelay();
    bool shouldLoseCommit();

    // Counts the session and checks its claim. Throws SqlError when the server does not take it.
    void registerSession(BackendSession&);
    void unregisterSession(BackendSession&);

    // Makes the VM the home under the epoch and ends the connections of lower epochs. Throws SqlError with FT004.
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
    // The last member, so that no session outlives the state it uses.
    TcpListener listener;
};

}
