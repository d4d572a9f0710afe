#pragma once

#include "foxtailtrail/execution/Transaction.h"

namespace foxtail {

// The table in every database that keeps the ids and first answers of writes.
constexpr std::string_view requestTableSql = "CREATE TABLE IF NOT EXISTS foxtail_requests (organisation TEXT NOT NULL, "
                                             "id TEXT NOT NULL, digest TEXT NOT NULL, answer TEXT, "
                                             "PRIMARY KEY (organisation, id))";

// One row of the table.
struct RequestRow {
    std::string digest;
    // Empty when the row was abandoned or the answer was too large to keep.
    std::optional<std::string> answer;

    // Whether the id was given up before it ran.
    bool isAbandoned() const;
};

// The digest of an abandoned row. It differs from every SHA-256 digest.
constexpr std::string_view abandonedDigest = "abandoned";

Statement beginWriteStatement();
Statement beginReadStatement();
Statement commitStatement();
Statement rollbackStatement();

// Fails at the server when it is not the primary of the term.
Statement platformBeginStatement(Term, const OrganisationId&);

// Fails at the server when its log does not hold the point.
Statement platformRequireStatement(const LogPoint&);

// The point of the connection's last commit, as one row with the columns position and term.
Statement platformPositionStatement();

// Inserts the id. Changes no row when the id is there already; waits while another transaction is inserting it.
Statement insertRequestStatement(const OrganisationId&, const RequestId&, std::string_view digest);

// Returns the row of the id and writes it unchanged, so that the commit's position covers what was read.
Statement touchRequestStatement(const OrganisationId&, const RequestId&);

// Keeps the answer with the id.
Statement storeAnswerStatement(const OrganisationId&, const RequestId&, const SqlValue& answer);

// The row that touchRequestStatement returned, or nothing when the result holds none.
std::optional<RequestRow> requestRowOf(const StatementResult&);

// The point that platformPositionStatement returned, or nothing when the result holds none.
std::optional<LogPoint> commitPointOf(const StatementResult&);

}
