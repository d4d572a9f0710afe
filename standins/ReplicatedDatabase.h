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

// A statement of a committed transaction, as it is run again on replicas.
struct LoggedStatement {
    std::string sql;
    std::vector<SqlValue> parameters;
};

// A committed transaction. Its position is its place in the log, counted from 1.
struct CommittedWrite {
    Term term;
    std::string organisation;
    std::vector<LoggedStatement> statements;
};

// A part of a primary's log.
struct LogPage {
    // The length of the primary's log when it was promoted. A replica holds the whole log of the term from there on.
    uint64_t promotionPosition = 0;
    std::vector<CommittedWrite> entries;
};

// The transaction of one session. Only GroupMember reads and writes it, under its lock.
struct SqlTransaction {
    bool isOpen = false;
    bool hasFailed = false;
    bool isReadOnly = false;
    // The promised term at BEGIN. The transaction cannot commit in any other term.
    Term term;
    std::string organisation;
    std::vector<LoggedStatement> statements;
    // The log point after the session's last commit.
    LogPoint lastCommit;
    // Set when a fence rolled the transaction back.
    bool isFenced = false;
    // Set when the session lost its claim. Nothing of the session runs afterwards.
    bool hasSessionEnded = false;
};

// Where a replica gets its log from.
struct ReplicationSource {
    Term term;
    std::string address;
    // Changes with every command that changes the target.
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

    // Statements. All throw SqlError; a failed statement leaves an open transaction failed and rolled back.
    void begin(SqlTransaction&, bool readOnly);
    StatementOutcome execute(SqlTransaction&, const std::string& sql, const std::vector<SqlValue>& parameters);
    // Returns false when the transaction had failed and was rolled back.
    bool commit(SqlTransaction&);
    void rollback(SqlTransaction&);
    void abort(SqlTransaction&);
    // Rolls back and refuses everything that the session still sends.
    void endSession(SqlTransaction&);
    // The transaction status of the PostgreSQL protocol: I outside of a transaction, T in one, E in a failed one.
    char statusLetter(const SqlTransaction&);
    // Throws when the transaction has failed or the session has ended.
    void checkCanRun(const SqlTransaction&);
    bool holdsWriteLock(const SqlTransaction&);

    // Commands of the platform's group. They throw SqlError with FT001, FT002 or FT003.
    ServerStatus status();
    void fence(Term, const std::string& promoter);
    void promote(Term, const std::string& promoter);
    void follow(Term, const std::string& address);
    void bindTransaction(SqlTransaction&, Term, const std::string& organisation);
    void requireLogPoint(LogPoint);
    void setLeaving(bool);

    // Replication, primary's side: up to a page of entries after the first `from`, waiting a little for new ones. Throws SqlError
    // with FT005 when the log up to `from` is not that of the caller.
    LogPage readLogAfter(Term, uint64_t from, Term previousTerm);

    // Replication, replica's side. Each call does nothing and returns false when the member no longer follows that target.
    std::optional<ReplicationSource> replicationSource();
    bool follows(const ReplicationSource&);
    uint64_t logSize();
    // The term of the entry at the position, 0 for position 0.
    Term termAt(uint64_t position);
    // The primary's log is the member's up to the position: drops what the member holds beyond a divergent point.
    bool acceptPrefix(const ReplicationSource&, uint64_t position, uint64_t promotedAt, bool dropSuffix);
    bool applyEntry(const ReplicationSource&, uint64_t index, const CommittedWrite&);

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
    void replay(const CommittedWrite&);
    void truncateLogAfter(uint64_t position);
    void adoptTermWhenComplete();

    std::mutex mutex;
    std::condition_variable stateCondition;
    Settings settings;
    std::unique_ptr<SqliteDatabase> database;
    std::vector<CommittedWrite> log;
    // The one transaction that may change the database. Others wait until it is over.
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
