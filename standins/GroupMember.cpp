#include "standins/GroupMember.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace foxtail::standins {

namespace {

    constexpr std::chrono::seconds writeLockTimeout { 5 };
    // Replicas ask again at once, so this bounds how long a silent primary looks alive.
    constexpr std::chrono::milliseconds logWait { 50 };
    constexpr uint64_t logPageEntries = 256;

    SqlError wrongTerm(Term asked, Term promised)
    {
        return { "FT001", "term " + std::to_string(asked.value) + " is not the promised term " + std::to_string(promised.value) };
    }

}

GroupMember::GroupMember(Settings memberSettings)
    : settings(std::move(memberSettings))
    , database(std::make_unique<SqliteDatabase>(this->settings.schema))
    , role(this->settings.role)
    , primaryAddress(this->settings.primaryAddress)
{
}

void GroupMember::begin(SqlTransaction& transaction, bool readOnly)
{
    const Lock lock(this->mutex);
    this->checkUsable(transaction);
    if (!transaction.open)
        this->startTransaction(transaction, readOnly);
}

StatementOutcome GroupMember::execute(SqlTransaction& transaction, const std::string& sql, const std::vector<SqlValue>& parameters)
{
    Lock lock(this->mutex);
    this->checkUsable(transaction);
    if (transaction.open)
        return this->run(lock, transaction, sql, parameters);

    // Outside of a transaction the statement is one of its own.
    this->startTransaction(transaction, this->database->isReadOnly(sql));
    try {
        StatementOutcome outcome = this->run(lock, transaction, sql, parameters);
        this->finish(transaction);
        return outcome;
    } catch (...) {
        this->reset(transaction);
        throw;
    }
}

bool GroupMember::commit(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    if (transaction.ended)
        this->checkUsable(transaction);
    if (!transaction.open)
        return true;
    return this->finish(transaction);
}

void GroupMember::rollback(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->reset(transaction);
}

void GroupMember::fail(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->abandon(transaction);
}

void GroupMember::end(SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->abandon(transaction);
    transaction.ended = true;
    this->changed.notify_all();
}

char GroupMember::statusLetter(const SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    if (!transaction.open)
        return 'I';
    return transaction.failed ? 'E' : 'T';
}

void GroupMember::checkCanRun(const SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    this->checkUsable(transaction);
}

bool GroupMember::holdsWriteLock(const SqlTransaction& transaction)
{
    const Lock lock(this->mutex);
    return this->writer == &transaction;
}

ServerStatus GroupMember::status()
{
    const Lock lock(this->mutex);
    ServerStatus status { this->promisedTerm, this->logTerm, Position { this->log.size() }, this->role, Duration { 0 }, this->leaving };
    if (this->role != ServerRole::Primary)
        status.primaryHeardAge = std::chrono::duration_cast<Duration>(Clock::now() - this->primaryHeardAt);
    return status;
}

void GroupMember::fence(Term term, const std::string& newPromoter)
{
    const Lock lock(this->mutex);
    if (term == this->promisedTerm && !this->promoter.empty() && newPromoter == this->promoter)
        return;
    if (term <= this->promisedTerm)
        throw wrongTerm(term, this->promisedTerm);
    this->changeTerm(term);
    this->promoter = newPromoter;
    this->role = ServerRole::Fenced;
}

void GroupMember::promote(Term term, const std::string& newPromoter)
{
    const Lock lock(this->mutex);
    if (term != this->promisedTerm || newPromoter != this->promoter)
        throw wrongTerm(term, this->promisedTerm);
    if (this->role == ServerRole::Primary)
        return;
    if (this->role != ServerRole::Fenced)
        throw SqlError("FT003", "the server already follows the primary of this term");
    this->role = ServerRole::Primary;
    this->logTerm = term;
    this->promotedAt = this->log.size();
    this->changed.notify_all();
}

void GroupMember::follow(Term term, const std::string& address)
{
    const Lock lock(this->mutex);
    if (term < this->promisedTerm || (term == this->promisedTerm && this->role == ServerRole::Primary))
        throw wrongTerm(term, this->promisedTerm);
    if (term > this->promisedTerm) {
        this->changeTerm(term);
        this->promoter.clear();
    } else if (this->role == ServerRole::Replica && this->primaryAddress == address) {
        return;
    }
    this->role = ServerRole::Replica;
    this->primaryAddress = address;
    this->prefixAccepted = false;
    ++this->generation;
    this->changed.notify_all();
}

void GroupMember::beginWork(SqlTransaction& transaction, Term term, const std::string& organisation)
{
    const Lock lock(this->mutex);
    this->checkUsable(transaction);
    if (!transaction.open)
        throw SqlError("25P01", "platform_begin needs a transaction");
    if (term != this->promisedTerm || transaction.term != term)
        throw wrongTerm(term, this->promisedTerm);
    if (!transaction.readOnly && this->role != ServerRole::Primary)
        throw SqlError("FT003", "the server is not the primary");
    transaction.organisation = organisation;
}

void GroupMember::require(LogPoint needed)
{
    const Lock lock(this->mutex);
    if (this->logTerm < needed.term || this->log.size() < needed.position.value)
        throw SqlError("FT002", "the server is behind the required log point");
}

void GroupMember::setLeaving(bool value)
{
    const Lock lock(this->mutex);
    this->leaving = value;
}

LogPage GroupMember::logAfter(Term term, uint64_t from, Term previousTerm)
{
    Lock lock(this->mutex);
    const auto check = [&] {
        if (term != this->promisedTerm)
            throw wrongTerm(term, this->promisedTerm);
        if (this->role != ServerRole::Primary)
            throw SqlError("FT003", "the server is not the primary");
    };
    check();
    if (from > this->log.size() || (from && this->log[from - 1].term != previousTerm))
        throw SqlError("FT005", "the logs differ at position " + std::to_string(from));
    this->changed.wait_for(lock, logWait, [&] { return this->log.size() > from || term != this->promisedTerm; });
    check();
    LogPage page { this->promotedAt, {} };
    const uint64_t to = std::min<uint64_t>(this->log.size(), from + logPageEntries);
    page.entries.assign(this->log.begin() + static_cast<ptrdiff_t>(from), this->log.begin() + static_cast<ptrdiff_t>(to));
    return page;
}

std::optional<FollowTarget> GroupMember::followTarget()
{
    const Lock lock(this->mutex);
    if (this->role != ServerRole::Replica || this->primaryAddress.empty())
        return std::nullopt;
    return FollowTarget { this->promisedTerm, this->primaryAddress, this->generation };
}

bool GroupMember::follows(const FollowTarget& target)
{
    const Lock lock(this->mutex);
    return this->role == ServerRole::Replica && this->promisedTerm == target.term && this->generation == target.generation;
}

uint64_t GroupMember::logSize()
{
    const Lock lock(this->mutex);
    return this->log.size();
}

Term GroupMember::termAt(uint64_t position)
{
    const Lock lock(this->mutex);
    return position && position <= this->log.size() ? this->log[position - 1].term : Term {};
}

bool GroupMember::acceptPrefix(const FollowTarget& target, uint64_t position, uint64_t promotionPosition, bool dropSuffix)
{
    const Lock lock(this->mutex);
    if (this->role != ServerRole::Replica || this->generation != target.generation)
        return false;
    this->primaryHeardAt = Clock::now();
    if (dropSuffix && position < this->log.size())
        this->dropAfter(position);
    this->promotedAt = promotionPosition;
    this->prefixAccepted = true;
    this->adoptTermWhenComplete();
    return true;
}

bool GroupMember::applyEntry(const FollowTarget& target, uint64_t index, const LogEntry& entry)
{
    const Lock lock(this->mutex);
    if (this->role != ServerRole::Replica || this->generation != target.generation || this->log.size() != index)
        return false;
    this->replay(entry);
    this->log.push_back(entry);
    this->adoptTermWhenComplete();
    this->changed.notify_all();
    return true;
}

void GroupMember::checkUsable(const SqlTransaction& transaction) const
{
    if (transaction.ended)
        throw SqlError("FT004", "the claim of this connection was lost");
    if (transaction.fenced)
        throw SqlError("FT001", "the transaction began in an older term");
    if (transaction.failed)
        throw SqlError("25P02", "the transaction has failed; statements are ignored until its end");
}

void GroupMember::startTransaction(SqlTransaction& transaction, bool readOnly)
{
    transaction.open = true;
    transaction.readOnly = readOnly;
    transaction.term = this->promisedTerm;
    transaction.organisation.clear();
    transaction.statements.clear();
}

StatementOutcome GroupMember::run(Lock& lock, SqlTransaction& transaction, const std::string& sql, const std::vector<SqlValue>& parameters)
{
    this->waitForWriter(lock, transaction);
    const bool writes = !this->database->isReadOnly(sql);
    if (writes && transaction.readOnly)
        throw SqlError("25006", "the transaction is read-only");
    if (writes && this->role != ServerRole::Primary)
        throw SqlError("FT003", "the server is not the primary");
    if (writes && transaction.term != this->promisedTerm)
        throw wrongTerm(transaction.term, this->promisedTerm);
    if (!transaction.readOnly && !this->writer && this->role == ServerRole::Primary) {
        this->database->begin();
        this->writer = &transaction;
    }
    StatementOutcome outcome = this->database->execute(sql, parameters, transaction.organisation);
    if (writes)
        transaction.statements.push_back({ sql, parameters });
    return outcome;
}

bool GroupMember::finish(SqlTransaction& transaction)
{
    const bool fenced = transaction.fenced || transaction.term != this->promisedTerm;
    if (fenced || transaction.failed) {
        this->reset(transaction);
        if (fenced)
            throw SqlError("FT001", "the transaction began in an older term");
        return false;
    }
    if (this->writer == &transaction) {
        const bool changes = !transaction.statements.empty();
        try {
            changes ? this->database->commit() : this->database->rollback();
        } catch (const SqlError&) {
            this->reset(transaction);
            throw;
        }
        if (changes)
            this->log.push_back({ this->logTerm, transaction.organisation, std::move(transaction.statements) });
        this->releaseWriter();
    }
    transaction.open = false;
    transaction.lastCommit = { this->logTerm, Position { this->log.size() } };
    return true;
}

void GroupMember::reset(SqlTransaction& transaction)
{
    this->abandon(transaction);
    transaction.open = transaction.failed = transaction.fenced = false;
}

void GroupMember::abandon(SqlTransaction& transaction)
{
    if (this->writer == &transaction) {
        this->database->rollback();
        this->releaseWriter();
    }
    transaction.failed = transaction.open;
    transaction.statements.clear();
}

void GroupMember::releaseWriter()
{
    this->writer = nullptr;
    this->changed.notify_all();
}

void GroupMember::waitForWriter(Lock& lock, const SqlTransaction& transaction)
{
    const bool free = this->changed.wait_for(
        lock, writeLockTimeout, [&] { return !this->writer || this->writer == &transaction || transaction.ended; });
    this->checkUsable(transaction);
    if (!free)
        throw SqlError("55P03", "another transaction kept the database locked");
}

void GroupMember::changeTerm(Term term)
{
    assert(term > this->promisedTerm);
    this->promisedTerm = term;
    ++this->generation;
    // An open writer can no longer commit. Its lock would keep the log from being changed, so it ends now.
    if (SqlTransaction* open = this->writer) {
        this->abandon(*open);
        open->fenced = true;
    }
    this->changed.notify_all();
}

void GroupMember::replay(const LogEntry& entry)
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

void GroupMember::dropAfter(uint64_t position)
{
    this->database = std::make_unique<SqliteDatabase>(this->settings.schema);
    this->log.resize(position);
    for (const LogEntry& entry : this->log)
        this->replay(entry);
}

void GroupMember::adoptTermWhenComplete()
{
    // A replica that reported the new term before it holds the log of the promotion could be promoted next without
    // transactions that were acknowledged.
    if (this->prefixAccepted && this->log.size() >= this->promotedAt)
        this->logTerm = this->promisedTerm;
}

}
