#pragma once

#include "foxtailtrail/proxy/CallerCodec.h"
#include "foxtailtrail/proxy/StatementRun.h"
#include "foxtailtrail/proxy/Stream.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

class SessionProxy;

// A caller's connection and the session that lives on it.
class CallerConnection final : public Stream {
public:
    static std::shared_ptr<CallerConnection> accept(boost::asio::ip::tcp::socket, SessionProxy&);

    // Ends attempts whose time is over, and transactions that rest for too long.
    void sweep(TimePoint now);
    // Ends the open transaction: the VM stops. The caller is told with its next statement.
    void endTransactionForStop();
    // Whether a close now cuts off nothing: no transaction is open and no request is outstanding.
    bool isIdle() const;
    // Closes the connection and gives back what it holds.
    void shut();
    // When the connection last had work, for the sweep.
    bool hasWork() const { return this->run != nullptr || this->session.transaction() == TransactionState::Open; }

private:
    CallerConnection(boost::asio::ip::tcp::socket, SessionProxy&);
    size_t received(std::string_view bytes) override;
    void disconnected() override;

    void handleNext();
    void handle(CallerMessage&&);
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
    void finished(RunResult&&);
    void answerReply(const LinkReply&);
    // The answers to the current request.
    void answerLocally();
    void answerError(ErrorKind, std::string_view detail);
    void sendReady(std::string& out, const std::optional<LogPoint>&);
    void requestDone();
    void refuseStart(ErrorKind, std::string_view detail);
    void giveBackTransaction();
    // Logs and counts the end of the current request.
    void noteOutcome(const std::optional<ErrorKind>&, std::string_view detail);
    SessionStatement& statement() { return this->request.statement; }

    SessionProxy& proxy;
    SessionState session;
    PinnedLink pinned;
    std::string database;
    std::string keyDigest;
    bool started = false;
    // The request that is being answered, and those that came behind it.
    bool busy = false;
    CallerMessage request;
    bool requestWrites = false;
    std::deque<CallerMessage> queued;
    std::shared_ptr<StatementRun> run;
    // The route and organisation of the current operation.
    std::optional<DatabaseRoute> route;
    std::string organisation;
    // Where the current request ran last, and how often it was sent.
    BackendServerId ranOn;
    uint32_t attempts = 0;
    TimePoint requestStart {};
    TimePoint lastActivity {};
    // The transaction was ended by this VM and the caller has not been told yet.
    bool abortUntold = false;
    bool gone = false;
};

}
