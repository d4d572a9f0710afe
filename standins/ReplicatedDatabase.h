#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/failover/GroupView.h"
#include "standins/SqliteDatabase.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace foxtail::standins {

// A statement of a committed transaction, which replicas replay.
struct LoggedStatement {
    std::string sql;
    std::vector<SqlValue> parameters;
};

// A committed transaction. Its position is its index in the log, counted from 1.
struct CommittedTransaction {
    Term term;
    std::string organisation;
    std::vector<LoggedStatement> statements;
};

// A range of entries of a primary's log.
struct LogPage {
    // The length of the primary's log when it was promoted. A replica whose log is at least that long holds everything that was
    // committed before the term.
    uint64_t promotionPosition = 0;
    std::vector<CommittedTransaction> entries;
};

// The transaction of a session. ReplicatedDatabase alone reads and writes it, under its lock.
struct SqlTransaction {
    bool isOpen = false;
    bool hasFailed = false;
    bool isReadOnly = false;
    // The promised term at BEGIN. The transaction can commit only in this term.
    Term term;
    std::string organisation;
    std::vector<LoggedStatement> statements;
    // The log point after the session's last commit.
    LogPoint lastCommit;
    // Set when fencing rolled back the transaction.
    bool isFenced = false;
    // Set when the session has ended or its claim was replaced. No statement of the session runs afterwards.
    bool hasSessionEnded = false;
};

// The primary that a replica replicates from.
struct ReplicationSource {
    Term term;
    std::string address;
    // Incremented by every command that changes the source.
    uint64_t generation = 0;
};

// The database, log and term state of one backend server. All methods may be called from any thread.
class ReplicatedDatabase {
public:
    struct Settings {
        std::string schema;
        ServerRole role = ServerRole::Primary;
        std::string primaryAddress;
    };

    explicit ReplicatedDatabase(Settings);

    // Statements. They throw SqlError. A failed statement rolls back the open transaction and marks it as failed.
    void begin(SqlTransaction&, bool readOnly);
    StatementOutcome execute(SqlTransaction&, const std::string& sql, const std::vector<SqlValue>& parameters);
    // Returns false when the transaction had failed and was rolled back.
    bool commit(SqlTransaction&);
    void rollback(SqlTransaction&);
    void abort(SqlTransaction&);
    // Rolls back the transaction and refuses all later statements of the session.
    void endSession(SqlTransaction&);
    // Returns the transaction status of the PostgreSQL protocol: I outside a transaction, T inside one, E inside a failed one.
    char statusLetter(const SqlTransaction&);
    // Throws when the transaction has failed or the session has ended.
    void checkCanRun(const SqlTransaction&);
    bool holdsWriteLock(const SqlTransaction&);

    // Commands of the platform. They throw SqlError with FT001, FT002 or FT003.
    ServerStatus status();
    void fence(Term, const std::string& promoter);
    void promote(Term, const std::string& promoter);
    void follow(Term, const std::string& address);
    void bindTransaction(SqlTransaction&, Term, const std::string& organisation);
    void requireLogPoint(LogPoint);
    void setLeaving(bool);

    // Replication on the primary: returns up to a page of entries after the first `from`, and waits a short time for new ones.
    // Throws SqlError with FT005 when the log up to `from` differs from the caller's.
    LogPage readLogAfter(Term, uint64_t from, Term previousTerm);

    // Replication on the replica. The calls that take a source have no effect and return false once the server no longer follows it.
    std::optional<ReplicationSource> replicationSource();
    bool follows(const ReplicationSource&);
    uint64_t logSize();
    // Returns the term of the entry at the position; 0 for position 0.
    Term termAt(uint64_t position);
    // Records that the log matches the primary's up to the position. With dropSuffix, drops the entries after it.
    bool acceptPrefix(const ReplicationSource&, uint64_t position, uint64_t primaryPromotionPosition, bool dropSuffix);
    bool applyEntry(const ReplicationSource&, uint64_t index, const CommittedTransaction&);

private:
    using Clock = std::chrono::steady_clock;
    using Lock = std::unique_lock<std::mutex>;

    void checkUsable(const SqlTransaction&) const;
    void startTransaction(SqlTransaction&, bool readOnly);
    StatementOutcome runStatement(Lock&, SqlTransaction&, const std::string& sql, const std::vector<SqlValue>& parameters);
    bool finishTransaction(SqlTransaction&);
    void abortTransaction(SqlTransaction&);
    void resetTransaction(SqlTransaction&);
    void releaseWriteLock();
    void waitForWriteLock(Lock&, const SqlTransaction&);
    void advanceTerm(Term);
    void replay(const CommittedTransaction&);
    void truncateLogAfter(uint64_t position);
    void adoptTermWhenComplete();

    std::mutex mutex;
    std::condition_variable stateCondition;
    Settings settings;
    std::unique_ptr<SqliteDatabase> database;
    std::vector<CommittedTransaction> log;
    // The transaction that holds the write lock, or null. Other writers wait until it has ended.
    SqlTransaction* writer = nullptr;
    Term promisedTerm { 1 };
    std::string promoter;
    Term logTerm { 1 };
    ServerRole role;
    uint64_t promotionPosition = 0;
    bool hasAcceptedPrefix = false;
    std::string primaryAddress;
    uint64_t generation = 0;
    Clock::time_point lastPrimaryContactAt = Clock::now();
    bool isLeaving = false;
};

}
