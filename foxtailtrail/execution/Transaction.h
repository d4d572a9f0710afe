#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// A parameter or a column value: a text or null.
using SqlValue = std::optional<std::string>;

// One SQL statement with its parameters $1, $2 and so on.
struct Statement {
    std::string sql;
    std::vector<SqlValue> params;
    // When set, a different row count rolls the transaction back.
    std::optional<uint64_t> expectRows;

    bool operator==(const Statement&) const = default;
};

// Whether a request may change data.
enum class TransactionKind : uint8_t {
    Read,
    Write,
};

// One whole transaction of a caller.
struct TransactionRequest {
    ServiceName service;
    DatabaseId database;
    OrganisationId organisation;
    // Identifies a write for good. Reads carry one for the log only.
    RequestId requestId;
    TransactionKind kind = TransactionKind::Read;
    std::vector<Statement> statements;
    // The point of the caller's verified consistency token.
    std::optional<LogPoint> token;
    // The age that a read accepts.
    std::optional<Duration> maxStaleness;
    TimePoint deadline;
};

// What one statement returned. For a statement that changes data, rowCount is the number of changed rows.
struct StatementResult {
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> rows;
    uint64_t rowCount = 0;

    bool operator==(const StatementResult&) const = default;
};

// The kind of backend server that an answer came from.
enum class AnswerSource : uint8_t {
    Primary,
    Replica,
};

// The whole answer to a request.
struct TransactionAnswer {
    std::vector<StatementResult> results;
    // What the caller's next token must cover. Empty for a read without a token.
    std::optional<LogPoint> point;
    BackendServerId server;
    AnswerSource source = AnswerSource::Primary;

    bool operator==(const TransactionAnswer&) const = default;
};

// The answer of a request or the error that it ended with.
using TransactionOutcome = Result<TransactionAnswer>;

// Upper bounds on the body of one request.
struct TransactionLimits {
    size_t maxStatements = 100;
    size_t maxSqlBytes = 65536;
    // The largest number of parameters that the PostgreSQL protocol carries is 65535.
    size_t maxParams = 1000;
    size_t maxParamBytes = 1048576;
};

// Reads the body {"statements":[{"sql","params","expectRows"}]} in full. Fails with MalformedRequest.
Result<std::vector<Statement>> parseTransactionBody(std::string_view body, const TransactionLimits&);

// Refuses a statement that would leave the transaction, change the session or call the platform. The check works on
// the first word, which must be one of a short list, and on the start of every identifier, also inside literals: such
// text belongs into parameters. Fails with MalformedRequest.
Result<void> checkStatementText(std::string_view sql);

// The digest that tells a repeat of a request from another request with the same id.
std::string requestDigest(const TransactionRequest&);

// The number of bytes that the values of a result hold.
size_t resultBytes(const StatementResult&);

// The body of an answer, {"results","token","server","source"}. The token is left out when it is empty.
std::string encodeAnswerBody(const TransactionAnswer&, std::string_view tokenText);

// The body of an error, {"error":{"kind","ran","retry","detail"}}.
std::string encodeErrorBody(const Error&);

// The results as JSON text, as kept in the request table.
std::string encodeResults(const std::vector<StatementResult>&);

// The reverse of encodeResults. Fails with MalformedRequest.
Result<std::vector<StatementResult>> decodeResults(std::string_view text);

// The parameters of the peer call "execute". The deadline travels as the milliseconds that remain.
json::object encodeRequest(const TransactionRequest&, TimePoint now);

// The reverse of encodeRequest; the deadline counts from now. Fails with MalformedRequest.
Result<TransactionRequest> decodeRequest(const json::object&, TimePoint now);

// The result of the peer call "execute".
json::object encodeOutcome(const TransactionOutcome&);

// The reverse of encodeOutcome. Text that cannot be read is an Internal error, as the request may have run.
TransactionOutcome decodeOutcome(const json::object&);

}
