#include "foxtailtrail/proxy/CallerConnection.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/LinkRollback.h"
#include "foxtailtrail/proxy/SessionProxy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace foxtail {

namespace {

    // Requests that a caller may send ahead of their answers.
    constexpr size_t maxQueuedRequests = 64;
    // Prepared statements and values of one session.
    constexpr size_t maxSessionNames = 1000;
    // The name under which backend servers see callers of routes that are open to all.
    constexpr const char* openOrganisation = "public";
    // The statement limit where a route names none.
    constexpr Duration defaultStatementTimeout = std::chrono::seconds(2);

    // What a caller is told of a backend server's refusal.
    ErrorKind errorOf(BackendErrorCode refusal)
    {
        constexpr std::array<ErrorKind, 10> kinds { ErrorKind::Internal, ErrorKind::Overloaded, ErrorKind::UnknownPrepared,
            ErrorKind::ReadNotCurrent, ErrorKind::NotPrimary, ErrorKind::NoPrimary, ErrorKind::Overloaded, ErrorKind::StatementFailed,
            ErrorKind::StatementTimedOut, ErrorKind::StatementFailed };
        return kinds[static_cast<size_t>(refusal)];
    }

}

std::shared_ptr<CallerConnection> CallerConnection::accept(boost::asio::ip::tcp::socket socket, SessionProxy& proxy)
{
    std::shared_ptr<CallerConnection> connection(new CallerConnection(std::move(socket), proxy));
    connection->startReading();
    return connection;
}

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket, SessionProxy& proxy)
    : TcpStream(std::move(socket))
    , proxy(proxy)
    , lastActivityAt(bootNow())
{
}

size_t CallerConnection::received(std::string_view bytes)
{
    std::string_view rest = bytes;
    while (this->isOpen() && this->queuedMessages.size() < maxQueuedRequests) {
        std::optional<CallerMessage> message = this->proxy.callerCodec().parseMessage(rest);
        if (!message)
            break;
        this->queuedMessages.push_back(std::move(*message));
    }
    this->handleNextMessage();
    return bytes.size() - rest.size();
}

void CallerConnection::handleNextMessage()
{
    while (!this->requestInProgress && !this->sessionEnded && !this->queuedMessages.empty()) {
        CallerMessage message = std::move(this->queuedMessages.front());
        this->queuedMessages.pop_front();
        this->handleMessage(std::move(message));
    }
}

void CallerConnection::handleMessage(CallerMessage&& message)
{
    this->lastActivityAt = bootNow();
    switch (message.kind) {
    case CallerMessageKind::Start:
        this->handleStart(message);
        return;
    case CallerMessageKind::Query:
        this->handleQuery(std::move(message));
        return;
    case CallerMessageKind::Terminate:
        this->disconnect();
        return;
    case CallerMessageKind::TooLarge:
        this->sendErrorAndClose(ErrorKind::BodyTooLarge, "the message exceeds the size limit");
        return;
    default:
        this->sendErrorAndClose(ErrorKind::MalformedRequest, "the message cannot be read");
        return;
    }
}

void CallerConnection::sendErrorAndClose(ErrorKind kind, std::string_view detail)
{
    this->recordOutcome(kind, detail);
    std::string out;
    this->proxy.callerCodec().writeError(out, kind, detail);
    this->send(out);
    this->rollBackPinnedLink();
    this->sessionEnded = true;
    this->closeAfterSending();
    this->proxy.removeConnection(*this);
}

void CallerConnection::handleStart(const CallerMessage& message)
{
    if (this->started) {
        this->sendErrorAndClose(ErrorKind::MalformedRequest, "the session has started already");
        return;
    }
    this->requestInProgress = true;
    this->requestStartedAt = bootNow();
    this->database = message.database;
    this->keyDigest = sha256Hex(message.key);
    // A VM that has just started waits for its configuration.
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    this->proxy.whenConfigured([self](bool configured) {
        if (self->sessionEnded)
            return;
        self->requestInProgress = false;
        if (!configured) {
            self->sendErrorAndClose(ErrorKind::ConfigurationStale, "no configuration yet");
            return;
        }
        const RouteTable& table = self->proxy.routeTable();
        const DatabaseRoute* found = table.findRoute(self->database);
        if (!found) {
            self->sendErrorAndClose(ErrorKind::UnknownRoute, "no such database");
            return;
        }
        if (!found->isOpenAccess && !table.findOrganisation(self->keyDigest)) {
            self->sendErrorAndClose(ErrorKind::KeyUnknown, "the key is not known");
            return;
        }
        self->started = true;
        std::string out;
        self->sendReady(out, std::nullopt);
        self->handleNextMessage();
    });
}

void CallerConnection::handleQuery(CallerMessage&& message)
{
    this->requestInProgress = true;
    this->request = std::move(message);
    this->requestStartedAt = bootNow();
    const StatementKind kind = this->statement().kind;
    if (!this->started || kind == StatementKind::Malformed) {
        this->sendErrorReply(ErrorKind::MalformedRequest, this->started ? "the statement cannot be read" : "the session has not started");
        return;
    }
    if (kind == StatementKind::Rollback) {
        this->rollback();
        return;
    }
    if (kind == StatementKind::Commit) {
        this->commit();
        return;
    }
    if (this->session.currentTransactionState() == TransactionState::Failed) {
        const bool untold = std::exchange(this->hasUnreportedAbort, false);
        this->sendErrorReply(untold ? ErrorKind::TransactionAborted : ErrorKind::MalformedRequest, "the transaction can only be ended");
        return;
    }
    switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        this->begin(kind == StatementKind::BeginReadOnly);
        return;
    case StatementKind::Set:
        if (this->session.sessionVariables().size() >= maxSessionNames) {
            this->sendErrorReply(ErrorKind::MalformedRequest, "too many values");
            return;
        }
        this->session.setVariable(this->statement().name, this->statement().argument);
        this->sendLocalReply();
        return;
    case StatementKind::Prepare:
        this->prepare();
        return;
    case StatementKind::Close:
        this->closePrepared();
        return;
    case StatementKind::Execute: {
        const PreparedStatement* prepared = this->session.findPrepared(this->statement().name);
        if (!prepared) {
            this->sendErrorReply(ErrorKind::UnknownPrepared, "no prepared statement of that name");
            return;
        }
        this->runStatement(prepared->isWrite, *prepared);
        return;
    }
    default:
        this->runStatement(kind == StatementKind::Write, std::nullopt);
        return;
    }
}

void CallerConnection::prepare()
{
    this->session.prepare(this->statement().name, PreparedStatement { this->statement().isWrite, this->statement().argument });
    this->sendLocalReply();
}

void CallerConnection::closePrepared()
{
    this->session.closePrepared(this->statement().name);
    this->sendLocalReply();
}

void CallerConnection::begin(bool readOnly)
{
    if (this->session.currentTransactionState() != TransactionState::None) {
        this->sendErrorReply(ErrorKind::MalformedRequest, "a transaction is open already");
        return;
    }
    this->admit([this, readOnly] {
        this->session.begin(readOnly, this->requestStartedAt);
        this->hasUnreportedAbort = false;
        this->proxy.addToSweep(*this);
        this->sendLocalReply();
    });
}

void CallerConnection::rollback()
{
    this->rollBackPinnedLink();
    this->session.endTransaction();
    this->hasUnreportedAbort = false;
    this->sendLocalReply();
}

void CallerConnection::commit()
{
    if (this->session.currentTransactionState() == TransactionState::None) {
        this->sendErrorReply(ErrorKind::MalformedRequest, "no transaction is open");
        return;
    }
    if (this->session.currentTransactionState() == TransactionState::Failed) {
        this->rollBackPinnedLink();
        this->session.endTransaction();
        this->hasUnreportedAbort = false;
        this->sendErrorReply(ErrorKind::TransactionAborted, "the transaction was rolled back");
        return;
    }
    this->startRun(false, std::nullopt);
}

void CallerConnection::runStatement(bool writes, std::optional<PreparedStatement> prepared)
{
    if (this->session.currentTransactionState() == TransactionState::Open) {
        if (writes && this->session.isReadOnly()) {
            this->sendErrorReply(ErrorKind::MalformedRequest, "the transaction only reads");
            return;
        }
        if (writes)
            this->session.recordWrite();
        this->startRun(writes, std::move(prepared));
        return;
    }
    this->admit([this, writes, prepared = std::move(prepared)]() mutable { this->startRun(writes, std::move(prepared)); });
}

void CallerConnection::admit(std::function<void()> admitted)
{
    const RouteTable& table = this->proxy.routeTable();
    const DatabaseRoute* found = table.findRoute(this->database);
    if (!found) {
        this->sendErrorReply(ErrorKind::UnknownRoute, "the database has been removed");
        return;
    }
    this->route = *found;
    const OrganisationLimit* limit = table.findOrganisation(this->keyDigest);
    if (!limit && !found->isOpenAccess) {
        this->sendErrorReply(ErrorKind::KeyWithdrawn, "the key has been withdrawn");
        return;
    }
    if (!limit) {
        this->organisation = openOrganisation;
        admitted();
        return;
    }
    this->organisation = limit->organisation.value;
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    this->proxy.admit(*limit, [self, next = std::move(admitted)](bool isAdmitted) {
        if (self->sessionEnded)
            return;
        if (isAdmitted)
            next();
        else
            self->sendErrorReply(ErrorKind::RateLimited, "retry-after-ms=500");
    });
}

void CallerConnection::startRun(bool writes, std::optional<PreparedStatement> prepared)
{
    this->requestWrites = writes;
    StatementTask task;
    task.requestId = this->request.requestId;
    task.statement = this->statement();
    task.writes = writes;
    task.prepared = std::move(prepared);
    task.route = *this->route;
    task.organisation = this->organisation;
    task.deadline
        = this->requestStartedAt + (this->route->statementTimeout > Duration(0) ? this->route->statementTimeout : defaultStatementTimeout);
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    const auto group = this->proxy.group(this->route->service);
    this->run = StatementRun::start(this->proxy.ioContext(), this->proxy, group, this->session, this->pinnedLink, std::move(task),
        [self](RunResult&& result) { self->handleRunResult(std::move(result)); });
    this->proxy.addToSweep(*this);
}

void CallerConnection::handleRunResult(RunResult&& result)
{
    this->run.reset();
    this->lastServer = result.server;
    this->attempts = result.attempts;
    if (this->sessionEnded) {
        this->rollBackPinnedLink();
        this->proxy.removeConnection(*this);
        return;
    }
    const bool isCommit = this->statement().kind == StatementKind::Commit;
    if (result.reply) {
        const bool committed = result.reply->succeeded() && result.reply->position
            && (isCommit ? this->session.hasWritten()
                         : this->session.currentTransactionState() == TransactionState::None && this->requestWrites);
        if (committed)
            this->session.recordCommit(*result.reply->position, bootNow());
        if (isCommit) {
            this->rollBackPinnedLink();
            this->session.endTransaction();
        } else if (this->session.currentTransactionState() == TransactionState::Open
            && (!this->pinnedLink || result.reply->transactionState == TransactionState::Failed)) {
            this->rollBackPinnedLink();
            this->session.failTransaction();
        }
        this->sendReply(*result.reply);
        return;
    }
    if (this->session.currentTransactionState() == TransactionState::Open) {
        this->rollBackPinnedLink();
        if (isCommit)
            this->session.endTransaction();
        else
            this->session.failTransaction();
    }
    this->sendErrorReply(result.error, result.detail);
}

void CallerConnection::sendReply(const LinkReply& reply)
{
    const CallerCodec& codec = this->proxy.callerCodec();
    std::string out;
    if (reply.succeeded()) {
        for (const std::string& row : reply.rows)
            codec.writeRow(out, row);
        codec.writeDone(out, reply.digest);
        this->recordOutcome(std::nullopt, {});
    } else {
        const ErrorKind kind = errorOf(reply.errorCode);
        this->recordOutcome(kind, reply.errorText);
        codec.writeError(out, kind, reply.errorText);
    }
    this->sendReady(out, reply.position);
    this->finishRequest();
}

void CallerConnection::sendLocalReply()
{
    std::string out;
    this->proxy.callerCodec().writeDone(out, {});
    this->sendReady(out, std::nullopt);
    this->finishRequest();
}

void CallerConnection::sendErrorReply(ErrorKind kind, std::string_view detail)
{
    this->recordOutcome(kind, detail);
    std::string out;
    this->proxy.callerCodec().writeError(out, kind, detail.empty() ? errorKindProperties(kind).defaultDetail : detail);
    this->sendReady(out, std::nullopt);
    this->finishRequest();
}

void CallerConnection::sendReady(std::string& out, const std::optional<LogPoint>& position)
{
    this->proxy.callerCodec().writeReady(out, this->session.currentTransactionState(), position);
    this->send(out);
}

void CallerConnection::finishRequest()
{
    this->requestInProgress = false;
    this->lastActivityAt = bootNow();
    if (this->queuedMessages.empty())
        return;
    // The next request is handled from the event loop, so that a long row of them does not nest.
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    this->proxy.post([self] { self->handleNextMessage(); });
}

void CallerConnection::rollBackPinnedLink()
{
    if (this->pinnedLink)
        LinkRollback::start(std::exchange(this->pinnedLink, PooledLink {}), this->proxy.backendCodec());
}

void CallerConnection::sweep(TimePoint now)
{
    const auto self = this->shared_from_this();
    if (this->run) {
        this->run->sweep(now);
        return;
    }
    const Duration limit = this->proxy.isConfigured() ? this->proxy.routeTable().transactionIdleTimeout : Duration(0);
    if (!this->requestInProgress && this->session.currentTransactionState() == TransactionState::Open && limit > Duration(0)
        && now >= this->lastActivityAt + limit)
        this->abortTransaction();
}

void CallerConnection::abortTransaction()
{
    if (this->requestInProgress || this->session.currentTransactionState() != TransactionState::Open)
        return;
    this->rollBackPinnedLink();
    this->session.failTransaction();
    this->hasUnreportedAbort = true;
}

bool CallerConnection::isIdle() const
{
    return !this->requestInProgress && this->queuedMessages.empty() && this->session.currentTransactionState() == TransactionState::None;
}

void CallerConnection::disconnect()
{
    if (this->sessionEnded)
        return;
    this->close();
    this->disconnected();
}

void CallerConnection::disconnected()
{
    const auto self = this->shared_from_this();
    this->sessionEnded = true;
    // A statement under way is still watched for its time limit.
    if (this->run) {
        this->run->abandon();
        return;
    }
    this->rollBackPinnedLink();
    this->proxy.removeConnection(*this);
}

void CallerConnection::recordOutcome(const std::optional<ErrorKind>& error, std::string_view detail)
{
    RequestOutcome outcome { this->request.requestId, this->database, this->organisation, this->lastServer.value, this->attempts, error,
        std::string(detail), bootNow() - this->requestStartedAt };
    this->proxy.recordRequest(outcome);
    this->lastServer = BackendServerId();
    this->attempts = 0;
}

}
