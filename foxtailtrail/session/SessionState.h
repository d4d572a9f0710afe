#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace foxtail {

// The state of a session's transaction.
enum class TransactionState : uint8_t {
    None,
    Open,
    // The transaction can only be ended, which rolls it back.
    Failed,
};

// A statement that a session has prepared.
struct PreparedStatement {
    bool isWrite = false;
    std::string statementTemplate;
    bool operator==(const PreparedStatement&) const = default;
};

// The newest commit of a session that was acknowledged to its caller.
struct AcknowledgedCommit {
    LogPoint logPoint;
    TimePoint acknowledgedAt;
};

// The state that a session carries from statement to statement, independent of any connection. The acknowledged variables
// and prepared statements are authoritative; they are restored on a backend connection before it runs a statement of the
// session.
class SessionState {
public:
    void setVariable(const std::string& name, const std::string& value);
    void prepare(const std::string& name, PreparedStatement prepared);
    void closePrepared(const std::string& name);

    // Returns the memory that a variable or prepared statement of this name and text occupies.
    static size_t entryBytes(const std::string& name, const std::string& text) { return entryOverheadBytes + name.size() + text.size(); }
    // Returns the memory that the variables and prepared statements occupy.
    size_t memoryBytes() const { return this->entriesBytes; }

    const std::map<std::string, std::string>& sessionVariables() const { return this->variables; }
    // Returns the prepared statement of that name, or null.
    const PreparedStatement* findPrepared(const std::string& name) const;

    void begin(bool isTransactionReadOnly, TimePoint now);
    void failTransaction();
    void endTransaction();
    // Records a write that was sent inside the open transaction.
    void recordWrite() { this->hasTransactionWritten = true; }
    // Records an acknowledged commit, which later reads of the session must see.
    void recordCommit(LogPoint point, TimePoint now) { this->lastCommit = AcknowledgedCommit { point, now }; }

    TransactionState currentTransactionState() const { return this->state; }
    bool isReadOnly() const { return this->isTransactionReadOnly; }
    bool hasWritten() const { return this->hasTransactionWritten; }
    // Returns when the open transaction began.
    TimePoint transactionStartedAt() const { return this->startedAt; }
    const std::optional<AcknowledgedCommit>& lastAcknowledgedCommit() const { return this->lastCommit; }

private:
    // A node of a map with two strings, as the allocator rounds it.
    static constexpr size_t entryOverheadBytes = 160;

    size_t entriesBytes = 0;
    std::map<std::string, std::string> variables;
    std::map<std::string, PreparedStatement> preparedStatements;
    TransactionState state = TransactionState::None;
    bool isTransactionReadOnly = false;
    bool hasTransactionWritten = false;
    TimePoint startedAt {};
    std::optional<AcknowledgedCommit> lastCommit;
};

}
