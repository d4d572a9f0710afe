#include "standins/ReplicatedDatabase.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace foxtail::standins {

namespace {

    constexpr std::chrono::seconds writeLockTimeout { 5 };
    // Replicas repeat the request at once, so this bounds how long an unresponsive primary still appears alive.
    constexpr std::chrono::milliseconds logWaitTimeout { 50 };
    constexpr uint64_t maxLogPageEntries = 256;

    SqlError wrongTermError(Term requested, Term promised)
    {
        return { "FT001", "term " + std::to_string(requested.value) + " is not the promised term " + std::to_string(promised.value) };
    }

}

ReplicatedDatabase::ReplicatedDatabase(Settings initialSettings)
    : settings(std::move(initialSettings))
    , database(std::make_unique<SqliteDatabase>(this->settings.schema))
    , role(this->settings.role)
    , primaryAddress(this->settings.primaryAddress)
{
}

void ReplicatedDatabase::begin(SqlTransaction& transaction, bool readOnly)
{
    const Lock lock(this->mutex);
    this->checkUsable(transaction);
    if (!transaction.isOpen)
        this->startTransaction(transaction, readOnly);
}

StatementOutcome ReplicatedDatabase::execute(SqlTransaction& transaction, const std::string& sql, const std::vector<SqlValue>& parameters)
{
    Lock lock(this->mutex);
    this->checkUsable(transaction);
    if (transaction.isOpen)
        return this->runStatement(lock, transaction, sql, parameters);

    // Outside a transaction, the statement runs in its own transaction.
    this->startTransaction(transaction, this->database->isReadOnly(sql));
    try {
        StatementOutcome outcome = this->runStatement(lock, transaction, sql, parameters);
        this->finishTransaction(transaction);
        return outcome;
    } catch (...) {
        this->resetTransaction(transaction);
        throw;
    }
}

bool ReplicatedDatabase::commit(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    if (transaction.hasSessionEnded)
        this->checkUsable(transaction);
    if (!transaction.isOpen)
        return true;
    return this->finishTransaction(transaction);
}

void ReplicatedDatabase::rollback(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->resetTransaction(transaction);
}

void ReplicatedDatabase::abort(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->abortTransaction(transaction);
}

void ReplicatedDatabase::endSession(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->abortTransaction(transaction);
    transaction.hasSessionEnded = true;
    this->stateCondition.notify_all();
}

char ReplicatedDatabase::statusLetter(const SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    if (!transaction.isOpen)
        return 'I';
    return transaction.hasFailed ? 'E' : 'T';
}

void ReplicatedDatabase::checkCanRun(const SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->checkUsable(transaction);
}

bool ReplicatedDatabase::holdsWriteLock(const SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    return this->writer == &transaction;
}

ServerStatus ReplicatedDatabase::status()
{
    const Lock lock(this->mutex);
    ServerStatus status { this->promisedTerm, this->logTerm, Position { this->log.size() }, this->role, Duration { 0 }, this->isLeaving };
    if (this->role != ServerRole::Primary)
        status.primaryContactAge = std::chrono::duration_cast<Duration>(Clock::now() - this->lastPrimaryContactAt);
    return status;
}

void ReplicatedDatabase::fence(Term term, const std::string& newPromoter)
{
    const Lock lock(this->mutex);
    if (term == this->promisedTerm && !this->promoter.empty() && newPromoter == this->promoter)
        return;
    if (term <= this->promisedTerm)
        throw wrongTermError(term, this->promisedTerm);
    this->advanceTerm(term);
    this->promoter = newPromoter;
    this->role = ServerRole::Fenced;
}

void ReplicatedDatabase::promote(Term term, const std::string& newPromoter)
{
    const Lock lock(this->mutex);
    if (term != this->promisedTerm || newPromoter != this->promoter)
        throw wrongTermError(term, this->promisedTerm);
    if (this->role == ServerRole::Primary)
        return;
    if (this->role != ServerRole::Fenced)
        throw SqlError("FT003", "the server already follows the primary of this term");
    this->role = ServerRole::Primary;
    this->logTerm = term;
    this->promotionPosition = this->log.size();
    this->stateCondition.notify_all();
}

void ReplicatedDatabase::follow(Term term, const std::string& address)
{
    const Lock lock(this->mutex);
    if (term < this->promisedTerm || (term == this->promisedTerm && this->role == ServerRole::Primary))
        throw wrongTermError(term, this->promisedTerm);
    if (term > this->promisedTerm) {
        this->advanceTerm(term);
        this->promoter.clear();
    } else if (this->role == ServerRole::Replica && this->primaryAddress == address) {
        return;
    }
    this->role = ServerRole::Replica;
    this->primaryAddress = address;
    this->hasAcceptedPrefix = false;
    ++this->generation;
    this->stateCondition.notify_all();
}

void ReplicatedDatabase::bindTransaction(SqlTransaction& transaction, Term term, const std::string& organisation)
{
    const Lock lock(this->mutex);
    this->checkUsable(transaction);
    if (!transaction.isOpen)
        throw SqlError("25P01", "platform_begin needs a transaction");
    if (term != this->promisedTerm || transaction.term != term)
        throw wrongTermError(term, this->promisedTerm);
    if (!transaction.isReadOnly && this->role != ServerRole::Primary)
        throw SqlError("FT003", "the server is not the primary");
    transaction.organisation = organisation;
}

void ReplicatedDatabase::requireLogPoint(LogPoint required)
{
    const Lock lock(this->mutex);
    if (this->logTerm < required.term || this->log.size() < required.position.value)
        throw SqlError("FT002", "the server is behind the required log point");
}

void ReplicatedDatabase::setLeaving(bool value)
{
    const Lock lock(this->mutex);
    this->isLeaving = value;
}

LogPage ReplicatedDatabase::readLogAfter(Term term, uint64_t from, Term previousTerm)
{
    Lock lock(this->mutex);
    const auto check = [&] {
        if (term != this->promisedTerm)
            throw wrongTermError(term, this->promisedTerm);
        if (this->role != ServerRole::Primary)
            throw SqlError("FT003", "the server is not the primary");
    };
    check();
    if (from > this->log.size() || (from && this->log[from - 1].term != previousTerm))
        throw SqlError("FT005", "the logs differ at position " + std::to_string(from));
    this->stateCondition.wait_for(lock, logWaitTimeout, [&] { return this->log.size() > from || term != this->promisedTerm; });
    check();
    LogPage page { this->promotionPosition, {} };
    const uint64_t to = std::min<uint64_t>(this->log.size(), from + maxLogPageEntries);
    page.entries.assign(this->log.begin() + static_cast<ptrdiff_t>(from), this->log.begin() + static_cast<ptrdiff_t>(to));
    return page;
}

std::optional<ReplicationSource> ReplicatedDatabase::replicationSource()
{
    const Lock lock(this->mutex);
    if (this->role != ServerRole::Replica || this->primaryAddress.empty())
        return std::nullopt;
    return ReplicationSource { this->promisedTerm, this->primaryAddress, this->generation };
}

bool ReplicatedDatabase::follows(const ReplicationSource& primarySource)
{
    const Lock lock(this->mutex);
    return this->role == ServerRole::Replica && this->promisedTerm == primarySource.term && this->generation == primarySource.generation;
}

uint64_t ReplicatedDatabase::logSize()
{
    const Lock lock(this->mutex);
    return this->log.size();
}

Term ReplicatedDatabase::termAt(uint64_t position)
{
    const Lock lock(this->mutex);
    return position && position <= this->log.size() ? this->log[position - 1].term : Term {};
}

bool ReplicatedDatabase::acceptPrefix(
    const ReplicationSource& primarySource, uint64_t position, uint64_t primaryPromotionPosition, bool dropSuffix)
{
    const Lock lock(this->mutex);
    if (this->role != ServerRole::Replica || this->generation != primarySource.generation)
        return false;
    this->lastPrimaryContactAt = Clock::now();
    if (dropSuffix && position < this->log.size())
        this->truncateLogAfter(position);
    this->promotionPosition = primaryPromotionPosition;
    this->hasAcceptedPrefix = true;
    this->adoptTermWhenComplete();
    return true;
}

bool ReplicatedDatabase::applyEntry(const ReplicationSource& primarySource, uint64_t index, const CommittedTransaction& entry)
{
    const Lock lock(this->mutex);
    if (this->role != ServerRole::Replica || this->generation != primarySource.generation || this->log.size() != index)
        return false;
    this->replay(entry);
    this->log.push_back(entry);
    this->adoptTermWhenComplete();
    this->stateCondition.notify_all();
    return true;
}

void ReplicatedDatabase::checkUsable(const SqlTransaction& transaction) const
{
    if (transaction.hasSessionEnded)
        throw SqlError("FT004", "the claim of this connection was lost");
    if (transaction.isFenced)
        throw SqlError("FT001", "the transaction began in an older term");
    if (transaction.hasFailed)
        throw SqlError("25P02", "the transaction has failed; statements are ignored until its end");
}

void ReplicatedDatabase::startTransaction(SqlTransaction& transaction, bool readOnly)
{
    transaction.isOpen = true;
    transaction.isReadOnly = readOnly;
    transaction.term = this->promisedTerm;
    transaction.organisation.clear();
    transaction.statements.clear();
}

StatementOutcome ReplicatedDatabase::runStatement(
    Lock& lock, SqlTransaction& transaction, const std::string& sql, const std::vector<SqlValue>& parameters)
{
    this->waitForWriteLock(lock, transaction);
    const bool isWrite = !this->database->isReadOnly(sql);
    if (isWrite && transaction.isReadOnly)
        throw SqlError("25006", "the transaction is read-only");
    if (isWrite && this->role != ServerRole::Primary)
        throw SqlError("FT003", "the server is not the primary");
    if (isWrite && transaction.term != this->promisedTerm)
        throw wrongTermError(transaction.term, this->promisedTerm);
    if (!transaction.isReadOnly && !this->writer && this->role == ServerRole::Primary) {
        this->database->begin();
        this->writer = &transaction;
    }
    StatementOutcome outcome = this->database->execute(sql, parameters, transaction.organisation);
    if (isWrite)
        transaction.statements.push_back({ sql, parameters });
    return outcome;
}

bool ReplicatedDatabase::finishTransaction(SqlTransaction& transaction)
{
    const bool wasFenced = transaction.isFenced || transaction.term != this->promisedTerm;
    if (wasFenced || transaction.hasFailed) {
        this->resetTransaction(transaction);
        if (wasFenced)
            throw SqlError("FT001", "the transaction began in an older term");
        return false;
    }
    if (this->writer == &transaction) {
        const bool hasChanges = !transaction.statements.empty();
        try {
            hasChanges ? this->database->commit() : this->database->rollback();
        } catch (const SqlError&) {
            this->resetTransaction(transaction);
            throw;
        }
        if (hasChanges)
            this->log.push_back({ this->logTerm, transaction.organisation, std::move(transaction.statements) });
        this->releaseWriteLock();
    }
    transaction.isOpen = false;
    transaction.lastCommit = { this->logTerm, Position { this->log.size() } };
    return true;
}

void ReplicatedDatabase::resetTransaction(SqlTransaction& transaction)
{
    this->abortTransaction(transaction);
    transaction.isOpen = transaction.hasFailed = transaction.isFenced = false;
}

void ReplicatedDatabase::abortTransaction(SqlTransaction& transaction)
{
    if (this->writer == &transaction) {
        this->database->rollback();
        this->releaseWriteLock();
    }
    transaction.hasFailed = transaction.isOpen;
    transaction.statements.clear();
}

void ReplicatedDatabase::releaseWriteLock()
{
    this->writer = nullptr;
    this->stateCondition.notify_all();
}

void ReplicatedDatabase::waitForWriteLock(Lock& lock, const SqlTransaction& transaction)
{
    const bool isLockFree = this->stateCondition.wait_for(
        lock, writeLockTimeout, [&] { return !this->writer || this->writer == &transaction || transaction.hasSessionEnded; });
    this->checkUsable(transaction);
    if (!isLockFree)
        throw SqlError("55P03", "timed out waiting for the write lock of another transaction");
}

void ReplicatedDatabase::advanceTerm(Term term)
{
    assert(term > this->promisedTerm);
    this->promisedTerm = term;
    ++this->generation;
    // The open writer can no longer commit. Rolls it back at once, because its lock would block changes to the log.
    if (SqlTransaction* open = this->writer) {
        this->abortTransaction(*open);
        open->isFenced = true;
    }
    this->stateCondition.notify_all();
}

void ReplicatedDatabase::replay(const CommittedTransaction& entry)
{
    this->database->begin();
    try {
        for (const LoggedStatement& statement : entry.statements)
            this->database->execute(statement.sql, statement.parameters, entry.organisation);
        this->database->commit();
    } catch (...) {
        this->database->rollback();
        throw;
    }
}

void ReplicatedDatabase::truncateLogAfter(uint64_t position)
{
    this->database = std::make_unique<SqliteDatabase>(this->settings.schema);
    this->log.resize(position);
    for (const CommittedTransaction& entry : this->log)
        this->replay(entry);
}

void ReplicatedDatabase::adoptTermWhenComplete()
{
    // A replica that reports the new term before it holds the log up to the promotion could be promoted next and lose
    // acknowledged transactions.
    if (this->hasAcceptedPrefix && this->log.size() >= this->promotionPosition)
        this->logTerm = this->promisedTerm;
}

}
