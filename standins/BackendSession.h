#pragma once

#include "standins/GroupMember.h"
#include "standins/PostgresWire.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtail::standins {

class BackendStandin;

// One client connection of a backend stand-in: the PostgreSQL protocol, version 3, with text values only.
class BackendSession {
public:
    BackendSession(BackendStandin&, boost::asio::ip::tcp::socket&);
    ~BackendSession();
    BackendSession(const BackendSession&) = delete;
    BackendSession& operator=(const BackendSession&) = delete;

    // Serves the connection until it ends.
    void serve();

    // Ends the connection and its transaction. May be called from any thread.
    void end();

    // Whether the peer is a replica or the fault switch of a test; both are outside of the connection cap.
    bool isReplica() const { return this->applicationName.starts_with("replica/"); }
    bool isFaultSwitch() const { return this->applicationName == "standin"; }
    // The VM that the application name "foxtail/<vm>[/<epoch>]" names. Empty for others.
    const std::string& vm() const { return this->vmName; }
    // The epoch of the claim; empty for a control connection.
    std::optional<uint64_t> epoch() const { return this->claimEpoch; }

    BackendStandin& standin() { return this->server; }
    SqlTransaction& transaction() { return this->sqlTransaction; }
    // Waits with no lock held, at most until the connection ends.
    void sleep(std::chrono::milliseconds);

private:
    struct Portal {
        std::string sql;
        std::vector<SqlValue> parameters;
        // Set once the statement has run, which the Describe message already causes.
        std::optional<StatementOutcome> outcome;
    };

    using MessageMethod = void (BackendSession::*)(WireReader&);
    struct MessageRow {
        char type;
        MessageMethod method;
    };

    bool startUp();
    void readStartupParameters(WireReader&);
    void greet();
    void serveMessage(const WireMessage&);
    void simpleQuery(WireReader&);
    void parse(WireReader&);
    void bind(WireReader&);
    void describe(WireReader&);
    void execute(WireReader&);
    void closeNamed(WireReader&);
    void sync(WireReader&);
    void flushRequested(WireReader&);

    const StatementOutcome& run(Portal&);
    StatementOutcome runStatement(const std::string& sql, const std::vector<SqlValue>& parameters);
    std::optional<StatementOutcome> runControl(const std::string& keyword, const std::string& sql);
    StatementOutcome runOnTables(const std::string& sql, const std::vector<SqlValue>& parameters);
    void payOwedDelay();

    void writeRowDescription(const StatementOutcome&);
    void writeRows(const StatementOutcome&);
    void writeError(const std::string& severity, const std::string& state, const std::string& message);
    void writeReady();
    void send();
    bool peerHungUp();

    BackendStandin& server;
    boost::asio::ip::tcp::socket& socket;
    WireWriter output;
    std::string applicationName;
    std::string vmName;
    std::optional<uint64_t> claimEpoch;
    SqlTransaction sqlTransaction;
    std::map<std::string, std::string> statements;
    std::map<std::string, Portal> portals;
    // After an error everything up to the next Sync is skipped.
    bool skipping = false;
    bool admitted = false;
    bool closing = false;
    std::atomic<bool> ended { false };
    std::chrono::milliseconds owedDelay { 0 };
};

}
