#include "foxtailtrail/proxy/CallerConnection.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/RetryAfter.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/LinkRollback.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace foxtail {

namespace {

    // The maximum number of parsed requests that wait while another request of the same caller is handled.
    constexpr size_t maxQueuedRequests = 64;
    // A session keeps the memory of its last request up to this size.
    constexpr size_t maxKeptRequestBytes = 1024;
    // A parsed message holds its text and parts of it; a request that is being handled is also held for the backend server.
    constexpr size_t messageCopies = 2;
    constexpr size_t requestCopies = 5;
    // No further requests are parsed while those that wait have this many bytes.
    constexpr size_t maxQueuedBytes = size_t { 16 } * 1024;
    // The maximum number of variables of one session.
    constexpr size_t maxSessionVariables = 1000;
    // The organisation name that backend servers receive for callers of open-access routes.
    constexpr const char* openAccessOrganisation = "public";
    // While the VM stops, a connection without a START message is kept open for this long.
    constexpr Duration startTimeout = std::chrono::milliseconds(200);
    // The minimum time for which an operation may wait for a token. A grant takes one round trip to the quota allocator, about 20 ms across
    // regions, and requests for grants are up to 120 ms apart. An operation with a longer objective waits for half of it, so that the other
    // half is left to run it.
    constexpr Duration minQuotaWait = std::chrono::milliseconds(200);
    // The statement timeout of routes that do not define one.
    constexpr Duration defaultStatementTimeout = std::chrono::seconds(2);

    // Returns the error kind that the caller receives for an error of a backend server.
    ErrorKind errorKindFor(BackendErrorCode code)
    {
        constexpr std::array<ErrorKind, 10> kinds { ErrorKind::Internal, ErrorKind::Overloaded, ErrorKind::UnknownPrepared,
            ErrorKind::ReadNotCurrent, ErrorKind::NotPrimary, ErrorKind::NoPrimary, ErrorKind::Overloaded, ErrorKind::StatementFailed,
            ErrorKind::StatementTimedOut, ErrorKind::StatementFailed };
        return kinds[static_cast<size_t>(code)];
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
    , budget(proxy.memoryBudget())
    , acceptedAt(bootNow())
    , lastActivityAt(acceptedAt)
{
}

size_t CallerConnection::received(std::string_view bytes)
{
    std::string_view rest = bytes;
    this->isParsing = true;
    while (this->isOpen() && this->queuedMessages.size() < maxQueuedRequests && this->queuedBytes < maxQueuedBytes) {
        const size_t before = rest.size();
        std::optional<CallerMessage> message
            = this->proxy.callerCodec().parseMessage(rest, std::exchange(this->incompleteBytes, size_t { 0 }));
        if (!message) {
            this->incompleteBytes = rest.size();
            break;
        }
        this->queuedMessages.push_back(std::move(*message));
        this->queuedSizes.push_back(before - rest.size());
        this->queuedBytes += before - rest.size();
    }
    if (!rest.empty())
        this->lastProgressAt = bootNow();
    this->handleNextMessage();
    this->isParsing = false;
    return bytes.size() - rest.size();
}

void CallerConnection::handleNextMessage()
{
    while (!this->isRequestInProgress && !this->hasSessionEnded && !this->queuedMessages.empty() && !this->waitsForReader()) {
        CallerMessage message = std::move(this->queuedMessages.front());
        this->queuedMessages.pop_front();
        this->requestBytes = this->queuedSizes.front();
        this->queuedBytes -= this->requestBytes;
        this->queuedSizes.pop_front();
        this->handleMessage(std::move(message));
    }
    if (!this->isRequestInProgress && !this->hasSessionEnded && !this->waitsForReader())
        this->processBufferedBytes();
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
        this->sendErrorAndClose(ErrorKind::MalformedRequest, "the message is malformed");
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
    this->hasSessionEnded = true;
    this->closeAfterSending();
    this->proxy.removeConnection(*this);
}

void CallerConnection::handleStart(const CallerMessage& message)
{
    if (this->hasStarted) {
        this->sendErrorAndClose(ErrorKind::MalformedRequest, "the session has already started");
        return;
    }
    this->requestStartedAt = bootNow();
    const std::optional<StopSchedule>& stop = this->proxy.stopSchedule();
    if (stop && !stop->canBeginSession(this->requestStartedAt)) {
        this->sendErrorAndClose(ErrorKind::Stopping, "this VM is stopping");
        return;
    }
    this->isRequestInProgress = true;
    this->database = message.database;
    this->keyDigest = sha256Hex(message.key);
    // On a VM that has just started, waits for the configuration.
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    this->proxy.whenConfigured([self](bool configured) {
        if (self->hasSessionEnded)
            return;
        self->isRequestInProgress = false;
        if (!configured) {
            self->sendErrorAndClose(ErrorKind::ConfigurationStale, "this VM has no configuration yet");
            return;
        }
        const RouteTable& table = self->proxy.routeTable();
        const DatabaseRoute* databaseRoute = table.findRoute(self->database);
        if (!databaseRoute) {
            self->sendErrorAndClose(ErrorKind::UnknownRoute, "no such database");
            return;
        }
        if (!databaseRoute->isOpenAccess && !table.findOrganisation(self->keyDigest)) {
            self->sendErrorAndClose(ErrorKind::KeyUnknown, "the key is not known");
            return;
        }
        self->hasStarted = true;
        std::string out;
        self->sendReady(out, std::nullopt);
        self->handleNextMessage();
    });
}

void CallerConnection::handleQuery(CallerMessage&& message)
{
    this->isRequestInProgress = true;
    this->request = std::move(message);
    ++this->requestNumber;
    this->requestStartedAt = bootNow();
    const StatementKind kind = this->statement().kind;
    if (!this->hasStarted || kind == StatementKind::Malformed) {
        this->sendErrorReply(ErrorKind::MalformedRequest, this->hasStarted ? "the statement is malformed" : "the session has not started");
        return;
    }
    if (kind == StatementKind::Rollback) {
        this->rollback();
        return;
    }
    if (this->session.currentTransactionState() == TransactionState::Open && this->isTransactionKeyWithdrawn()) {
        this->refuseWithdrawnKey();
        return;
    }
    if (kind == StatementKind::Commit) {
        this->commit();
        return;
    }
    if (this->session.currentTransactionState() == TransactionState::Failed) {
        const bool hadUnreportedAbort = std::exchange(this->hasUnreportedAbort, false);
        this->sendErrorReply(hadUnreportedAbort ? ErrorKind::TransactionAborted : ErrorKind::MalformedRequest,
            "the transaction has failed; commit or roll back to end it");
        return;
    }
    switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        this->begin(kind == StatementKind::BeginReadOnly);
        return;
    case StatementKind::Set:
        if (this->session.sessionVariables().size() >= maxSessionVariables) {
            this->sendErrorReply(ErrorKind::MalformedRequest, "the session has too many variables");
            return;
        }
        if (this->refuseSessionGrowth())
            return;
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
            this->sendErrorReply(ErrorKind::UnknownPrepared, "the session has no prepared statement with this name");
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
    if (this->refuseSessionGrowth())
        return;
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
        this->sendErrorReply(ErrorKind::MalformedRequest, "a transaction is already open");
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

bool CallerConnection::isTransactionKeyWithdrawn() const
{
    if (this->organisation == openAccessOrganisation)
        return false;
    const OrganisationLimit* limit = this->proxy.routeTable().findOrganisation(this->keyDigest);
    return !limit || limit->organisation.value != this->organisation;
}

void CallerConnection::refuseWithdrawnKey()
{
    this->rollBackPinnedLink();
    if (this->statement().kind == StatementKind::Commit)
        this->session.endTransaction();
    else
        this->session.failTransaction();
    this->sendErrorReply(ErrorKind::KeyWithdrawn, "the key has been withdrawn; the transaction was rolled back");
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
            this->sendErrorReply(ErrorKind::MalformedRequest, "the transaction is read-only");
            return;
        }
        if (writes)
            this->session.recordWrite();
        this->startRun(writes, std::move(prepared));
        return;
    }
    this->admit([this, writes, prepared = std::move(prepared)]() mutable { this->startRun(writes, std::move(prepared)); });
}

void CallerConnection::admit(std::function<void()> onAdmitted)
{
    const RouteTable& table = this->proxy.routeTable();
    const DatabaseRoute* databaseRoute = table.findRoute(this->database);
    if (!databaseRoute) {
        this->sendErrorReply(ErrorKind::UnknownRoute, "the database has been removed");
        return;
    }
    if (this->isTooLateFor(*databaseRoute)) {
        this->refuseForStop();
        return;
    }
    this->route = *databaseRoute;
    const OrganisationLimit* organisationLimit = table.findOrganisation(this->keyDigest);
    if (!organisationLimit && !databaseRoute->isOpenAccess) {
        this->sendErrorReply(ErrorKind::KeyWithdrawn, "the key has been withdrawn");
        return;
    }
    if (!organisationLimit) {
        this->organisation = openAccessOrganisation;
        onAdmitted();
        return;
    }
    this->organisation = organisationLimit->organisation.value;
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    const Duration timeout = this->route->statementTimeout > Duration(0) ? this->route->statementTimeout : defaultStatementTimeout;
    const Duration maxWait = std::min(timeout, std::max(minQuotaWait, this->route->latencyObjective / 2));
    const QuotaOperation operation { this->route->priority, this->requestStartedAt + maxWait, this->requestStartedAt };
    this->proxy.admit(*organisationLimit, operation,
        [self, number = this->requestNumber, proceed = std::move(onAdmitted)](const std::optional<Duration>& retryAfter) {
            // The request may have received its reply while it waited, because this VM is stopping.
            if (self->hasSessionEnded || !self->isRequestInProgress || self->requestNumber != number)
                return;
            if (!retryAfter)
                proceed();
            else
                self->sendErrorReply(ErrorKind::RateLimited, retryAfterDetail(*retryAfter));
        });
}

bool CallerConnection::isTooLateFor(const DatabaseRoute& databaseRoute) const
{
    const std::optional<StopSchedule>& stop = this->proxy.stopSchedule();
    return stop && !stop->canBeginOperation(this->requestStartedAt, databaseRoute.latencyObjective);
}

void CallerConnection::refuseForStop()
{
    this->isEnding = true;
    this->sendErrorReply(ErrorKind::Stopping, "this VM is stopping");
}

void CallerConnection::startRun(bool writes, std::optional<PreparedStatement> prepared)
{
    this->isWriteRequest = writes;
    const std::optional<StopSchedule>& stop = this->proxy.stopSchedule();
    if (stop && stop->hasToEndSessions(this->requestStartedAt)) {
        const bool isInTransaction = this->session.currentTransactionState() == TransactionState::Open;
        RunResult refused;
        refused.error = isInTransaction ? ErrorKind::TransactionAborted : ErrorKind::Stopping;
        refused.detail = "this VM is stopping";
        this->handleRunResult(std::move(refused));
        return;
    }
    StatementTask task;
    task.requestId = this->request.requestId;
    task.statement = this->statement();
    task.writes = writes;
    task.prepared = std::move(prepared);
    task.route = *this->route;
    task.organisation = this->organisation;
    const OrganisationLimit* limit = this->proxy.routeTable().findOrganisation(this->keyDigest);
    task.homes = Homes(this->route->allowedRegions, limit ? limit->allowedRegions : std::vector<Region>());
    task.deadline
        = this->requestStartedAt + (this->route->statementTimeout > Duration(0) ? this->route->statementTimeout : defaultStatementTimeout);
    if (this->route->latencyObjective > Duration(0))
        task.objectiveAt = this->requestStartedAt + this->route->latencyObjective;
    if (stop)
        task.stopBy = stop->replyBy();
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
    if (this->hasSessionEnded) {
        this->rollBackPinnedLink();
        this->proxy.removeConnection(*this);
        return;
    }
    const bool isCommit = this->statement().kind == StatementKind::Commit;
    if (result.reply) {
        const bool isAcknowledgedWrite = result.reply->succeeded() && result.reply->position
            && (isCommit ? this->session.hasWritten()
                         : this->session.currentTransactionState() == TransactionState::None && this->isWriteRequest);
        if (isAcknowledgedWrite)
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
    if (result.retryAt)
        result.detail = retryAfterDetail(std::max(Duration(0), *result.retryAt - bootNow()));
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
        const ErrorKind kind = errorKindFor(reply.errorCode);
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
    this->isRequestInProgress = false;
    this->lastActivityAt = bootNow();
    // A larger request is not kept until the next one arrives. An assignment alone would keep the memory.
    if (this->requestBytes > maxKeptRequestBytes)
        std::exchange(this->request, CallerMessage {});
    this->requestBytes = 0;
    this->accountMemory();
    if (this->queuedMessages.empty() && !this->hasBufferedBytes() && !this->isEnding)
        return;
    // Handles the next request from the event loop, so that a long queue of requests does not recurse.
    auto self = std::static_pointer_cast<CallerConnection>(this->shared_from_this());
    this->proxy.post([self] {
        self->handleNextMessage();
        if (self->isEnding && !self->hasSessionEnded && !self->isRequestInProgress && self->queuedMessages.empty())
            self->closeSession();
    });
}

bool CallerConnection::isPinnedServerEvacuated() const
{
    return this->pinnedLink
        && this->proxy.placementIn(this->pinnedLink.pool->server().dataCentre, Homes(), bootNow()) == Placement::Evacuated;
}

void CallerConnection::rollBackPinnedLink()
{
    if (!this->pinnedLink)
        return;
    // Nothing is sent to a server of an evacuated data centre, which rolls back when the connection is closed.
    if (this->isPinnedServerEvacuated()) {
        const PooledLink dropped = std::exchange(this->pinnedLink, PooledLink {});
        dropped.pool->drop(dropped.link);
        return;
    }
    LinkRollback::start(std::exchange(this->pinnedLink, PooledLink {}), this->proxy.backendCodec());
}

void CallerConnection::sweep(TimePoint now)
{
    const auto self = this->shared_from_this();
    if (this->run) {
        this->run->sweep(now);
        return;
    }
    if (this->isPinnedServerEvacuated()) {
        this->abortTransaction();
        return;
    }
    const Duration idleTimeout = this->proxy.isConfigured() ? this->proxy.routeTable().transactionIdleTimeout : Duration(0);
    if (!this->isRequestInProgress && this->session.currentTransactionState() == TransactionState::Open && idleTimeout > Duration(0)
        && now >= this->lastActivityAt + idleTimeout)
        this->abortTransaction();
}

void CallerConnection::abortTransaction()
{
    if (this->isRequestInProgress || this->session.currentTransactionState() != TransactionState::Open)
        return;
    this->rollBackPinnedLink();
    this->session.failTransaction();
    this->hasUnreportedAbort = true;
}

bool CallerConnection::isIdle() const
{
    return !this->isRequestInProgress && this->queuedMessages.empty() && this->session.currentTransactionState() == TransactionState::None;
}

void CallerConnection::applyStop(const StopSchedule& stop, TimePoint now)
{
    const auto self = this->shared_from_this();
    if (stop.hasToEndSessions(now)) {
        this->endSession();
        return;
    }
    if (this->hasSessionEnded)
        return;
    if (stop.hasToAbortTransaction(this->lastActivityAt, now))
        this->abortTransaction();
    const bool mayStartSession = !this->hasStarted && now < this->acceptedAt + startTimeout;
    if (this->isIdle() && !mayStartSession && stop.hasToCloseIdleSessions(now))
        this->closeSession();
}

void CallerConnection::refuseWaitingRequest()
{
    if (this->run && this->run->isWaiting())
        this->run->endForStop();
}

void CallerConnection::endSession()
{
    this->isEnding = true;
    if (this->run) {
        this->run->endForStop();
        return;
    }
    if (this->hasSessionEnded)
        return;
    if (!this->isRequestInProgress) {
        if (this->queuedMessages.empty())
            this->closeSession();
        return;
    }
    // The request waits for the configuration or for quota.
    if (this->hasStarted)
        this->sendErrorReply(ErrorKind::Stopping, "this VM is stopping");
    else
        this->sendErrorAndClose(ErrorKind::Stopping, "this VM is stopping");
}

void CallerConnection::closeSession()
{
    const auto self = this->shared_from_this();
    this->rollBackPinnedLink();
    this->hasSessionEnded = true;
    this->closeAfterSending();
    this->proxy.removeConnection(*this);
}

void CallerConnection::disconnect()
{
    if (this->hasSessionEnded)
        return;
    this->close();
    this->disconnected();
}

void CallerConnection::disconnected()
{
    const auto self = this->shared_from_this();
    this->hasSessionEnded = true;
    // A running statement is still checked against its time limit.
    if (this->run) {
        this->run->abandon();
        return;
    }
    this->rollBackPinnedLink();
    this->proxy.removeConnection(*this);
}

CallerConnection::~CallerConnection()
{
    this->budget->change(this->holdsLargePlace ? CallerMemory::LargeMessages : CallerMemory::Received, this->countedReceived, 0);
    this->budget->change(CallerMemory::Unsent, this->countedUnsent, 0);
    this->budget->change(CallerMemory::Sessions, this->countedSession, 0);
    if (this->holdsLargePlace)
        this->budget->returnLargePlace();
}

size_t CallerConnection::receiveLimit()
{
    this->isWaitingForMemory = false;
    if (this->hasSessionEnded)
        return MemoryBudget::smallestBytes;
    const bool isHeldUp = this->isRequestInProgress || !this->queuedMessages.empty() || this->waitsForReader();
    if (this->holdsLargePlace && !isHeldUp)
        return TcpStream::receiveLimit();
    const size_t limit = this->budget->hasBufferRoom() ? MemoryBudget::smallMessageBytes : MemoryBudget::smallestBytes;
    if (isHeldUp || this->unconsumedBytes() < limit)
        return limit;
    if (this->unconsumedBytes() >= MemoryBudget::smallMessageBytes && this->budget->takeLargePlace()) {
        this->budget->change(CallerMemory::Received, this->countedReceived, 0);
        this->budget->change(CallerMemory::LargeMessages, 0, this->countedReceived);
        this->holdsLargePlace = true;
        this->messageBegunAt = this->lastProgressAt = bootNow();
        return TcpStream::receiveLimit();
    }
    this->isWaitingForMemory = true;
    this->proxy.addMemoryWaiter(std::static_pointer_cast<CallerConnection>(this->shared_from_this()));
    return limit;
}

void CallerConnection::retryReading()
{
    if (!this->isWaitingForMemory)
        return;
    this->resumeReading();
    // The wait was this VM's.
    if (!this->isWaitingForMemory && this->messageBegunAt != TimePoint {})
        this->messageBegunAt = this->lastProgressAt = bootNow();
}

bool CallerConnection::waitsForReader() const
{
    return this->unsentBytes() > MemoryBudget::maxUnsentBytes || (this->unsentBytes() > 0 && !this->budget->hasBufferRoom());
}

void CallerConnection::bufferedBytesChanged() { this->accountMemory(); }

void CallerConnection::unsentBytesSent()
{
    this->lastProgressAt = bootNow();
    if (!this->queuedMessages.empty() || this->hasBufferedBytes())
        this->handleNextMessage();
}

void CallerConnection::accountMemory()
{
    if (this->isParsing)
        return;
    const size_t handled = this->isRequestInProgress ? requestCopies * this->requestBytes : 0;
    const size_t received = this->receiveBufferMemory() + messageCopies * this->queuedBytes + handled;
    if (this->holdsLargePlace && !this->isRequestInProgress
        && this->unconsumedBytes() + this->queuedBytes < MemoryBudget::smallMessageBytes) {
        this->budget->change(CallerMemory::LargeMessages, this->countedReceived, 0);
        this->budget->change(CallerMemory::Received, 0, this->countedReceived);
        this->budget->returnLargePlace();
        this->holdsLargePlace = false;
    }
    const CallerMemory kind = this->holdsLargePlace ? CallerMemory::LargeMessages : CallerMemory::Received;
    this->budget->change(kind, std::exchange(this->countedReceived, received), received);
    const size_t unsent = this->sendBufferMemory();
    if (this->countedUnsent == 0 && unsent > 0)
        this->lastProgressAt = bootNow();
    this->budget->change(CallerMemory::Unsent, std::exchange(this->countedUnsent, unsent), unsent);
    const size_t sessionBytes = this->session.memoryBytes();
    this->budget->change(CallerMemory::Sessions, std::exchange(this->countedSession, sessionBytes), sessionBytes);
    const bool isReceiving = this->hasBufferedBytes() && !this->isRequestInProgress && this->queuedMessages.empty();
    if (!isReceiving)
        this->messageBegunAt = TimePoint {};
    else if (this->messageBegunAt == TimePoint {})
        this->messageBegunAt = bootNow();
}

bool CallerConnection::refuseSessionGrowth()
{
    const size_t before = this->session.memoryBytes();
    if (this->budget->maySessionGrow(before, before + SessionState::entryBytes(this->statement().name, this->statement().argument)))
        return false;
    this->proxy.countMemoryRefusal(MemoryRefusal::SessionTooLarge);
    this->sendErrorReply(ErrorKind::Overloaded, "there is no memory for more variables and prepared statements");
    return true;
}

MemoryHolder CallerConnection::memoryHolder() const
{
    return { this->countedReceived + this->countedUnsent, this->hasStarted, this->holdsLargePlace, this->isWaitingForMemory,
        this->isRequestInProgress, this->acceptedAt, this->messageBegunAt, this->lastProgressAt, this->countedUnsent > 0 };
}

void CallerConnection::closeForMemory(MemoryRefusal reason)
{
    const auto self = this->shared_from_this();
    this->proxy.countMemoryRefusal(reason);
    // Drops what the kernel holds for the caller, too.
    this->closeWithReset();
    this->queuedMessages.clear();
    this->queuedSizes.clear();
    this->queuedBytes = 0;
    this->freeBuffers();
    this->accountMemory();
    if (this->hasSessionEnded)
        this->proxy.removeConnection(*this);
    else
        this->disconnected();
}

size_t CallerConnection::logUnansweredRequests(TimePoint now) const
{
    if (!this->isRequestInProgress || this->hasSessionEnded)
        return 0;
    const std::string_view state = !this->hasStarted ? "waiting for the configuration"
        : this->run                                  ? this->run->phaseName()
                                                     : "waiting for quota";
    logEvent(LogLevel::Warning, "unanswered request at exit",
        { { "request", this->request.requestId }, { "database", this->database }, { "state", state },
            { "waitedMs", toMilliseconds(now - this->requestStartedAt) }, { "sessionAgeMs", toMilliseconds(now - this->acceptedAt) },
            { "queuedRequests", this->queuedMessages.size() } });
    return 1 + this->queuedMessages.size();
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
