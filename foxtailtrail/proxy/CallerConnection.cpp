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
    ErrorKind errorOf(BackendRefusal refusal)
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
    : Stream(std::move(socket))
    , proxy(proxy)
    , lastActivity(bootNow())
{
}

size_t CallerConnection::received(std::string_view bytes)
{
    std::string_view rest = bytes;
    while (this->isOpen() && this->queued.size() < maxQueuedRequests) {
        std::optional<CallerMessage> message = this->proxy.callerCodec().take(rest);
        if (!message)
            break;
        this->queued.push_back(std::move(*message));
    }
    this->handleNext();
    return bytes.size() - rest.size();
}

void CallerConnection::handleNext()
{
    while (!this->busy && !this->gone && !this->queued.empty()) {
        CallerMessage message = std::move(this->queued.front());
        this->queued.pop_front();
        this->handle(std::move(message));
    }
}

void CallerConnection::handle(CallerMessage&& message)
{
    this->lastActivity = bootNow();
    switch (message.kind) {
    case CallerMessageKind::Start:
        this->handleStart(message);
        return;
    case CallerMessageKind::Query:
        this->handleQuery(std::move(message));
        return;
    case CallerMessageKind::Terminate:
        this->shut();
        return;
    case CallerMessageKind::TooLarge:
        this->refuseStart(ErrorKind::BodyTooLarge, "the message exceeds the size limit");
        return;
    default:
        this->refuseStart(ErrorKind::MalformedRequest, "the message cannot be read");
        return;
    }
}

void CallerConnection::refuseStart(ErrorKind kind, std::string_view detail)
{
    this->noteOutcome(kind, detail);
    std::string out;
    this->proxy.callerCodec().writeError(out, kind, detail);
    this->send(out);
    this->giveBackTransaction();
    this->gone = true;
    this->closeAfterSending();
    this->proxy.forget(*this);
}

void CallerConnection::handleStart(const CallerMessage& message)
{
    if (this->started) {
        this->refuseStart(ErrorKind::MalformedRequest, "the session has started already");
        return;
    }
    this->busy = true;
    this->requestStart = bootNow();
    this->database = message.database;
    this->keyDigest = sha256Hex(message.key);
    // A VM that has just started waits for its configuration.
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    this->proxy.whenConfigured([self](bool configured) {
        if (self->gone)
            return;
        self->busy = false;
        if (!configured) {
            self->refuseStart(ErrorKind::ConfigurationStale, "no configuration yet");
            return;
        }
        const RouteTable& table = self->proxy.routeTable();
        const DatabaseRoute* found = table.findRoute(self->database);
        if (!found) {
            self->refuseStart(ErrorKind::UnknownRoute, "no such database");
            return;
        }
        if (!found->open && !table.findOrganisation(self->keyDigest)) {
            self->refuseStart(ErrorKind::KeyUnknown, "the key is not known");
            return;
        }
        self->started = true;
        std::string out;
        self->sendReady(out, std::nullopt);
        self->handleNext();
    });
}

void CallerConnection::handleQuery(CallerMessage&& message)
{
    this->busy = true;
    this->request = std::move(message);
    this->requestStart = bootNow();
    const StatementKind kind = this->statement().kind;
    if (!this->started || kind == StatementKind::Malformed) {
        this->answerError(ErrorKind::MalformedRequest, this->started ? "the statement cannot be read" : "the session has not started");
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
    if (this->session.transaction() == TransactionState::Failed) {
        const bool untold = std::exchange(this->abortUntold, false);
        this->answerError(untold ? ErrorKind::TransactionAborted : ErrorKind::MalformedRequest, "the transaction can only be ended");
        return;
    }
    switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginRead:
        this->begin(kind == StatementKind::BeginRead);
        return;
    case StatementKind::Set:
        if (this->session.sessionValues().size() >= maxSessionNames) {
            this->answerError(ErrorKind::MalformedRequest, "too many values");
            return;
        }
        this->session.setValue(this->statement().name, this->statement().argument);
        this->answerLocally();
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
            this->answerError(ErrorKind::UnknownPrepared, "no prepared statement of that name");
            return;
        }
        this->runStatement(prepared->writes, *prepared);
        return;
    }
    default:
        this->runStatement(kind == StatementKind::Write, std::nullopt);
        return;
    }
}

void CallerConnection::prepare()
{
    this->session.prepare(this->statement().name, PreparedStatement { this->statement().writes, this->statement().argument });
    this->answerLocally();
}

void CallerConnection::closePrepared()
{
    this->session.closePrepared(this->statement().name);
    this->answerLocally();
}

void CallerConnection::begin(bool readOnly)
{
    if (this->session.transaction() != TransactionState::None) {
        this->answerError(ErrorKind::MalformedRequest, "a transaction is open already");
        return;
    }
    this->admit([this, readOnly] {
        this->session.begin(readOnly, this->requestStart);
        this->abortUntold = false;
        this->proxy.noteWork(*this);
        this->answerLocally();
    });
}

void CallerConnection::rollback()
{
    this->giveBackTransaction();
    this->session.endTransaction();
    this->abortUntold = false;
    this->answerLocally();
}

void CallerConnection::commit()
{
    if (this->session.transaction() == TransactionState::None) {
        this->answerError(ErrorKind::MalformedRequest, "no transaction is open");
        return;
    }
    if (this->session.transaction() == TransactionState::Failed) {
        this->giveBackTransaction();
        this->session.endTransaction();
        this->abortUntold = false;
        this->answerError(ErrorKind::TransactionAborted, "the transaction was rolled back");
        return;
    }
    this->startRun(false, std::nullopt);
}

void CallerConnection::runStatement(bool writes, std::optional<PreparedStatement> prepared)
{
    if (this->session.transaction() == TransactionState::Open) {
        if (writes && this->session.isReadOnly()) {
            this->answerError(ErrorKind::MalformedRequest, "the transaction only reads");
            return;
        }
        if (writes)
            this->session.noteWrite();
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
        this->answerError(ErrorKind::UnknownRoute, "the database has been removed");
        return;
    }
    this->route = *found;
    const OrganisationLimit* limit = table.findOrganisation(this->keyDigest);
    if (!limit && !found->open) {
        this->answerError(ErrorKind::KeyWithdrawn, "the key has been withdrawn");
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
        if (self->gone)
            return;
        if (isAdmitted)
            next();
        else
            self->answerError(ErrorKind::RateLimited, "retry-after-ms=500");
    });
}

void CallerConnection::startRun(bool writes, std::optional<PreparedStatement> prepared)
{
    this->requestWrites = writes;
    StatementTask task;
    task.id = this->request.id;
    task.statement = this->statement();
    task.writes = writes;
    task.prepared = std::move(prepared);
    task.route = *this->route;
    task.organisation = this->organisation;
    task.deadline
        = this->requestStart + (this->route->statementTimeout > Duration(0) ? this->route->statementTimeout : defaultStatementTimeout);
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    const auto group = this->proxy.group(this->route->service);
    this->run = StatementRun::start(this->proxy.ioContext(), this->proxy, group, this->session, this->pinned, std::move(task),
        [self](RunResult&& result) { self->finished(std::move(result)); });
    this->proxy.noteWork(*this);
}

void CallerConnection::finished(RunResult&& result)
{
    this->run.reset();
    this->ranOn = result.server;
    this->attempts = result.attempts;
    if (this->gone) {
        this->giveBackTransaction();
        this->proxy.forget(*this);
        return;
    }
    const bool isCommit = this->statement().kind == StatementKind::Commit;
    if (result.reply) {
        const bool committed = result.reply->succeeded() && result.reply->position
            && (isCommit ? this->session.hasWritten() : this->session.transaction() == TransactionState::None && this->requestWrites);
        if (committed)
            this->session.noteCommit(*result.reply->position, bootNow());
        if (isCommit) {
            this->giveBackTransaction();
            this->session.endTransaction();
        } else if (this->session.transaction() == TransactionState::Open
            && (!this->pinned || result.reply->state == TransactionState::Failed)) {
            this->giveBackTransaction();
            this->session.failTransaction();
        }
        this->answerReply(*result.reply);
        return;
    }
    if (this->session.transaction() == TransactionState::Open) {
        this->giveBackTransaction();
        if (isCommit)
            this->session.endTransaction();
        else
            this->session.failTransaction();
    }
    this->answerError(result.error, result.detail);
}

void CallerConnection::answerReply(const LinkReply& reply)
{
    const CallerCodec& codec = this->proxy.callerCodec();
    std::string out;
    if (reply.succeeded()) {
        for (const std::string& row : reply.rows)
            codec.writeRow(out, row);
        codec.writeDone(out, reply.digest);
        this->noteOutcome(std::nullopt, {});
    } else {
        const ErrorKind kind = errorOf(reply.refusal);
        this->noteOutcome(kind, reply.text);
        codec.writeError(out, kind, reply.text);
    }
    this->sendReady(out, reply.position);
    this->requestDone();
}

void CallerConnection::answerLocally()
{
    std::string out;
    this->proxy.callerCodec().writeDone(out, {});
    this->sendReady(out, std::nullopt);
    this->requestDone();
}

void CallerConnection::answerError(ErrorKind kind, std::string_view detail)
{
    this->noteOutcome(kind, detail);
    std::string out;
    this->proxy.callerCodec().writeError(out, kind, detail.empty() ? errorKindRow(kind).text : detail);
    this->sendReady(out, std::nullopt);
    this->requestDone();
}

void CallerConnection::sendReady(std::string& out, const std::optional<LogPoint>& position)
{
    this->proxy.callerCodec().writeReady(out, this->session.transaction(), position);
    this->send(out);
}

void CallerConnection::requestDone()
{
    this->busy = false;
    this->lastActivity = bootNow();
    if (this->queued.empty())
        return;
    // The next request is handled from the event loop, so that a long row of them does not nest.
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    this->proxy.post([self] { self->handleNext(); });
}

void CallerConnection::giveBackTransaction()
{
    if (this->pinned)
        LinkRollback::start(std::exchange(this->pinned, PinnedLink {}), this->proxy.backendCodec());
}

void CallerConnection::sweep(TimePoint now)
{
    const auto self = this->shared_from_this();
    if (this->run) {
        this->run->sweep(now);
        return;
    }
    const Duration limit = this->proxy.isConfigured() ? this->proxy.routeTable().transactionIdle : Duration(0);
    if (!this->busy && this->session.transaction() == TransactionState::Open && limit > Duration(0) && now >= this->lastActivity + limit)
        this->endTransactionForStop();
}

void CallerConnection::endTransactionForStop()
{
    if (this->busy || this->session.transaction() != TransactionState::Open)
        return;
    this->giveBackTransaction();
    this->session.failTransaction();
    this->abortUntold = true;
}

bool CallerConnection::isIdle() const
{
    return !this->busy && this->queued.empty() && this->session.transaction() == TransactionState::None;
}

void CallerConnection::shut()
{
    if (this->gone)
        return;
    this->close();
    this->disconnected();
}

void CallerConnection::disconnected()
{
    const auto self = this->shared_from_this();
    this->gone = true;
    // A statement under way is still watched for its time limit.
    if (this->run) {
        this->run->abandon();
        return;
    }
    this->giveBackTransaction();
    this->proxy.forget(*this);
}

void CallerConnection::noteOutcome(const std::optional<ErrorKind>& error, std::string_view detail)
{
    RequestOutcome outcome { this->request.id, this->database, this->organisation, this->ranOn.value, this->attempts, error,
        std::string(detail), bootNow() - this->requestStart };
    this->proxy.noteRequest(outcome);
    this->ranOn = BackendServerId();
    this->attempts = 0;
}

}
