#pragma once

#include "foxtailtrail/proxy/CallerCodec.h"
#include "foxtailtrail/proxy/StatementRun.h"
#include "foxtailtrail/proxy/TcpStream.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

class SessionProxy;

// A caller's connection and the session that lives on it.
class CallerConnection final : public TcpStream {
public:
    static std::shared_ptr<CallerConnection> accept(boost::asio::ip::tcp::socket, SessionProxy&);

    // Ends attempts whose time is over, and transactions that rest for too long.
    void sweep(TimePoint now);
    // Ends the open transaction: the VM stops. The caller is told with its next statement.
    void abortTransaction();
    // Whether a close now cuts off nothing: no transaction is open and no request is outstanding.
    bool isIdle() const;
    // Closes the connection and gives back what it holds.
    void disconnect();
    // When the connection last had work, for the sweep.
    bool needsSweep() const { return this->run != nullptr || this->session.currentTransactionState() == TransactionState::Open; }

private:
    CallerConnection(boost::asio::ip::tcp::socket, SessionProxy&);
    size_t received(std::string_view bytes) override;
    void disconnected() override;

    void handleNextMessage();
    void handleMessage(CallerMessage&&);
    void handleStart(const CallerMessage&);
    void handleQuery(CallerMessage&&);
    void begin(bool readOnly);
    void rollback();
    void commit();
    void prepare();
    void closePrepared();
    void runStatement(bool writes, std::optional<PreparedStatement>);
    // Checks key, route and quota of a new operation, then goes on; answers with an error otherwise.
    void admit(std::function<void()> admitted);
    void startRun(bool writes, std::optional<PreparedStatement>);
    void handleRunResult(RunResult&&);
    void sendReply(const LinkReply&);
    // The answers to the current request.
    void sendLocalReply();
    void sendErrorReply(ErrorKind, std::string_view detail);
    void sendReady(std::string& out, const std::optional<LogPoint>&);
    void finishRequest();
    void sendErrorAndClose(ErrorKind, std::string_view detail);
    void rollBackPinnedLink();
    // Logs and counts the end of the current request.
    void recordOutcome(const std::optional<ErrorKind>&, std::string_view detail);
    SessionStatement& statement() { return this->request.statement; }

    SessionProxy& proxy;
    SessionState session;
    PooledLink pinnedLink;
    std::string database;
    std::string keyDigest;
    bool started = false;
    // The request that is being answered, and those that came behind it.
    bool requestInProgress = false;
    CallerMessage request;
    bool requestWrites = false;
    std::deque<CallerMessage> queuedMessages;
    std::shared_ptr<StatementRun> run;
    // The route and organisation of the current operation.
    std::optional<DatabaseRoute> route;
    std::string organisation;
    // Where the current request ran last, and how often it was sent.
    BackendServerId lastServer;
    uint32_t attempts = 0;
    TimePoint requestStartedAt {};
    TimePoint lastActivityAt {};
    // The transaction was ended by this VM and the caller has not been told yet.
    bool hasUnreportedAbort = false;
    bool sessionEnded = false;
};

}
