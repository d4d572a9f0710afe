#pragma once

#include "foxtailtrail/limits/MemoryBudget.h"
#include "foxtailtrail/proxy/CallerCodec.h"
#include "foxtailtrail/proxy/StatementRun.h"
#include "foxtailtrail/proxy/TcpStream.h"
#include "foxtailtrail/session/StopSchedule.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

class SessionProxy;

// A caller's connection and its session.
class CallerConnection final : public TcpStream {
public:
    static std::shared_ptr<CallerConnection> accept(boost::asio::ip::tcp::socket, SessionProxy&);

    // Ends attempts that have exceeded their time limit and transactions that have exceeded the idle timeout.
    void sweep(TimePoint now);
    // Aborts the open transaction and ends the session as the schedule of the stopping VM requires.
    void applyStop(const StopSchedule&, TimePoint now);
    // Refuses the request that waits for a backend server, if there is one.
    void refuseWaitingRequest();
    // Logs the request that is being handled, if there is one, because the process ends before its reply. Returns the number of requests
    // without a reply.
    size_t logUnansweredRequests(TimePoint now) const;
    // Returns what the connection holds, for the memory budget.
    MemoryHolder memoryHolder() const;
    // Closes the connection because it has exceeded a limit of the memory budget.
    void closeForMemory(MemoryRefusal);
    // Reads on if the memory that the connection waits for has become free.
    void retryReading();
    // Returns whether the socket is open, also while the last replies are being sent.
    bool isSocketOpen() const { return this->socket.is_open(); }
    ~CallerConnection() override;
    // Returns whether the connection has a statement or an open transaction whose time limits sweep() must check.
    bool needsSweep() const { return this->run != nullptr || this->session.currentTransactionState() == TransactionState::Open; }

private:
    CallerConnection(boost::asio::ip::tcp::socket, SessionProxy&);
    size_t received(std::string_view bytes) override;
    void disconnected() override;
    size_t receiveLimit() override;
    void bufferedBytesChanged() override;
    void unsentBytesSent() override;
    // Returns whether later requests wait because the caller does not read its replies.
    bool waitsForReader() const;
    // Updates what the memory budget counts for this connection.
    void accountMemory();
    // Refuses a statement that would make the session hold too much state. Returns whether it was refused.
    bool refuseSessionGrowth();

    // Returns whether the connection can be closed without interrupting work: no transaction is open and no request is outstanding.
    bool isIdle() const;
    // Closes the connection and releases the resources that it holds.
    void disconnect();
    // Closes the connection once its replies have been sent. No request may be outstanding.
    void closeSession();
    // Sends the final reply to each outstanding request, then closes the session.
    void endSession();
    // Aborts the open transaction because it has exceeded the idle timeout or the VM is stopping. The caller receives the error in
    // reply to its next statement.
    void abortTransaction();
    void handleNextMessage();
    void handleMessage(CallerMessage&&);
    void handleStart(const CallerMessage&);
    void handleQuery(CallerMessage&&);
    void begin(bool readOnly);
    void rollback();
    // Returns whether the key under which the open transaction began has been withdrawn.
    bool isTransactionKeyWithdrawn() const;
    // Rolls back the open transaction, whose key has been withdrawn, and refuses the statement.
    void refuseWithdrawnKey();
    void commit();
    void prepare();
    void closePrepared();
    void runStatement(bool writes, std::optional<PreparedStatement>);
    // Checks the key, route and quota of a new operation, then calls the function; sends an error to the caller otherwise.
    void admit(std::function<void()> onAdmitted);
    // Returns whether this VM is stopping and cannot finish an operation of the route any more.
    bool isTooLateFor(const DatabaseRoute&) const;
    // Refuses an operation because this VM is stopping, and closes the session, so that the caller goes to another VM.
    void refuseForStop();
    void startRun(bool writes, std::optional<PreparedStatement>);
    void handleRunResult(RunResult&&);
    void sendReply(const LinkReply&);
    // Sends a successful reply that this VM produces without a backend server.
    void sendLocalReply();
    void sendErrorReply(ErrorKind, std::string_view detail);
    void sendReady(std::string& out, const std::optional<LogPoint>&);
    void finishRequest();
    void sendErrorAndClose(ErrorKind, std::string_view detail);
    void rollBackPinnedLink();
    // Returns whether the open transaction is on a server whose data centre is evacuated.
    bool isPinnedServerEvacuated() const;
    // Logs the outcome of the current request and counts it in the metrics.
    void recordOutcome(const std::optional<ErrorKind>&, std::string_view detail);
    SessionStatement& statement() { return this->request.statement; }

    SessionProxy& proxy;
    SessionState session;
    PooledLink pinnedLink;
    std::string database;
    std::string keyDigest;
    bool hasStarted = false;
    // Whether a request is being handled. Later requests wait in queuedMessages.
    bool isRequestInProgress = false;
    CallerMessage request;
    // Counts the requests of the session, so that a late callback of an earlier request is recognised.
    uint64_t requestNumber = 0;
    bool isWriteRequest = false;
    std::deque<CallerMessage> queuedMessages;
    // The size of each queued message as received, and their sum.
    std::deque<size_t> queuedSizes;
    size_t queuedBytes = 0;
    // The size of the request that is being handled.
    size_t requestBytes = 0;
    // The number of unconsumed bytes that are known to hold no complete message.
    size_t incompleteBytes = 0;
    std::shared_ptr<MemoryBudget> budget;
    // What the budget counts for this connection.
    size_t countedReceived = 0;
    size_t countedUnsent = 0;
    size_t countedSession = 0;
    bool holdsLargePlace = false;
    // Whether received() is running, so that the unconsumed bytes are not in the receive buffer.
    bool isParsing = false;
    bool isWaitingForMemory = false;
    // When the message began that is incomplete, or a time of zero without one.
    TimePoint messageBegunAt {};
    TimePoint lastProgressAt {};
    std::shared_ptr<StatementRun> run;
    // The route and organisation of the admitted operation: a transaction or a single statement.
    std::optional<DatabaseRoute> route;
    std::string organisation;
    // The server that handled the current request last, and the number of attempts.
    BackendServerId lastServer;
    uint32_t attempts = 0;
    TimePoint acceptedAt {};
    TimePoint requestStartedAt {};
    TimePoint lastActivityAt {};
    // Whether this VM has aborted the transaction and the caller has not been notified yet.
    bool hasUnreportedAbort = false;
    // Whether the session is closed once no request is outstanding, because this VM is stopping.
    bool isEnding = false;
    bool hasSessionEnded = false;
};

}
