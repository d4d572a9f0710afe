#pragma once

#include "foxtailtrail/execution/Transaction.h"

namespace foxtail {

// The table in every database that stores the ids and first answers of writes.
constexpr std::string_view requestTableSql = "CREATE TABLE IF NOT EXISTS foxtail_requests (organisation TEXT NOT NULL, "
                                             "id TEXT NOT NULL, digest TEXT NOT NULL, answer TEXT, "
                                             "PRIMARY KEY (organisation, id))";

// One row of the table.
struct RequestRow {
    std::string digest;
    // Empty if the id was abandoned or the answer was too large to store.
    std::optional<std::string> answer;

    // Returns whether the id was abandoned before its request ran.
    bool isAbandoned() const;
};

// The digest of an abandoned row, which differs from every SHA-256 digest.
constexpr std::string_view abandonedDigest = "abandoned";

Statement beginWriteStatement();
Statement beginReadStatement();
Statement commitStatement();
Statement rollbackStatement();

// Fails at the server if it is not the primary of the term.
Statement platformBeginStatement(Term, const OrganisationId&);

// Fails at the server if its log does not hold the log point.
Statement platformRequireStatement(const LogPoint&);

// Returns the log point of the connection's last commit, as one row with the columns position and term.
Statement platformPositionStatement();

// Inserts the id. Changes no row if the id already exists; waits while another transaction is inserting it.
Statement insertRequestStatement(const OrganisationId&, const RequestId&, std::string_view digest);

// Returns the row of the id and writes it unchanged, so that the position of the commit covers the row that was read.
Statement touchRequestStatement(const OrganisationId&, const RequestId&);

// Stores the answer with the id.
Statement storeAnswerStatement(const OrganisationId&, const RequestId&, const SqlValue& answer);

// Returns the row in the result of touchRequestStatement, or std::nullopt if the result has none.
std::optional<RequestRow> requestRowOf(const StatementResult&);

// Returns the log point in the result of platformPositionStatement, or std::nullopt if the result has none.
std::optional<LogPoint> commitPointOf(const StatementResult&);

}
