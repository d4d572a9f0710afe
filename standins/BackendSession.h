#pragma once

#include "standins/PostgresWire.h"
#include "standins/ReplicatedDatabase.h"

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

// A client connection of a backend stand-in. Implements the PostgreSQL protocol, version 3, with values in text format only.
class BackendSession {
public:
    BackendSession(BackendStandin&, boost::asio::ip::tcp::socket&);
    ~BackendSession();
    BackendSession(const BackendSession&) = delete;
    BackendSession& operator=(const BackendSession&) = delete;

    // Serves the connection until it is closed.
    void serve();

    // Rolls back the transaction and closes the connection. May be called from any thread.
    void end();

    // Whether the peer is a replica, or the connection through which a test sets faults. Neither counts towards the connection limit.
    bool isReplica() const { return this->applicationName.starts_with("replica/"); }
    bool isFaultControl() const { return this->applicationName == "standin"; }
    // The VM in the application name "foxtail/<vm>[/<epoch>]". Empty for other application names.
    const std::string& vm() const { return this->vmName; }
    // The epoch of the home claim in the application name. Empty for a control connection.
    std::optional<uint64_t> epoch() const { return this->claimEpoch; }

    BackendStandin& standin() { return this->server; }
    SqlTransaction& transaction() { return this->sqlTransaction; }
    // Sleeps without holding a lock. Returns early when the connection ends.
    void sleep(std::chrono::milliseconds);

private:
    struct Portal {
        std::string sql;
        std::vector<SqlValue> parameters;
        // Set once the statement has run. A Describe message already runs it.
        std::optional<StatementOutcome> outcome;
    };

    using MessageHandler = void (BackendSession::*)(WireReader&);
    struct MessageHandlerEntry {
        char type;
        MessageHandler handler;
    };

    bool startUp();
    void readStartupParameters(WireReader&);
    void sendStartupResponse();
    void handleMessage(const WireMessage&);
    void simpleQuery(WireReader&);
    void parse(WireReader&);
    void bind(WireReader&);
    void describe(WireReader&);
    void execute(WireReader&);
    void closeStatementOrPortal(WireReader&);
    void sync(WireReader&);
    void flush(WireReader&);

    const StatementOutcome& runPortal(Portal&);
    StatementOutcome runStatement(const std::string& sql, const std::vector<SqlValue>& parameters);
    std::optional<StatementOutcome> runControlStatement(const std::string& keyword, const std::string& sql);
    StatementOutcome runOnTables(const std::string& sql, const std::vector<SqlValue>& parameters);
    void applyDeferredDelay();

    void writeRowDescription(const StatementOutcome&);
    void writeRows(const StatementOutcome&);
    void writeError(const std::string& severity, const std::string& state, const std::string& message);
    void writeReadyForQuery();
    void sendOutput();
    bool hasPeerDisconnected();

    BackendStandin& server;
    boost::asio::ip::tcp::socket& socket;
    WireWriter output;
    std::string applicationName;
    std::string vmName;
    std::optional<uint64_t> claimEpoch;
    SqlTransaction sqlTransaction;
    std::map<std::string, std::string> statements;
    std::map<std::string, Portal> portals;
    // After an error, messages are skipped up to the next Sync.
    bool isSkippingUntilSync = false;
    bool isRegistered = false;
    bool isClosing = false;
    std::atomic<bool> hasEnded { false };
    std::chrono::milliseconds deferredDelay { 0 };
};

}
