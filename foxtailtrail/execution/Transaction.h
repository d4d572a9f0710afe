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

// A parameter or column value: text or null.
using SqlValue = std::optional<std::string>;

// One SQL statement with its parameters $1, $2 and so on.
struct Statement {
    std::string sql;
    std::vector<SqlValue> params;
    // If set, a different row count rolls the transaction back.
    std::optional<uint64_t> expectRows;

    bool operator==(const Statement&) const = default;
};

// Whether a request may change data.
enum class TransactionKind : uint8_t {
    Read,
    Write,
};

// One complete transaction of a caller.
struct TransactionRequest {
    ServiceName service;
    DatabaseId database;
    OrganisationId organisation;
    // Identifies a write permanently. The id of a read is only logged.
    RequestId requestId;
    TransactionKind kind = TransactionKind::Read;
    std::vector<Statement> statements;
    // The log point of the caller's verified consistency token.
    std::optional<LogPoint> token;
    // The maximum staleness that a read accepts.
    std::optional<Duration> maxStaleness;
    TimePoint deadline;
};

// The result of one statement. For a statement that changes data, rowCount is the number of changed rows.
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

// The complete answer to a request.
struct TransactionAnswer {
    std::vector<StatementResult> results;
    // The log point that the caller's next token must cover. Empty for a read without a token.
    std::optional<LogPoint> point;
    BackendServerId server;
    AnswerSource source = AnswerSource::Primary;

    bool operator==(const TransactionAnswer&) const = default;
};

// The answer to a request, or the error that it ended with.
using TransactionOutcome = Result<TransactionAnswer>;

// Upper bounds on the body of one request.
struct TransactionLimits {
    size_t maxStatements = 100;
    size_t maxSqlBytes = 65536;
    // The largest number of parameters that the PostgreSQL protocol carries is 65535.
    size_t maxParams = 1000;
    size_t maxParamBytes = 1048576;
};

// Parses the complete body {"statements":[{"sql","params","expectRows"}]}. Fails with MalformedRequest.
Result<std::vector<Statement>> parseTransactionBody(std::string_view body, const TransactionLimits&);

// Rejects a statement that would end the transaction, change the session or call the platform. The first word must be on a short
// list, and no identifier may start with a refused prefix, not even inside a literal: such text must be passed as a parameter.
// Fails with MalformedRequest.
Result<void> checkStatementText(std::string_view sql);

// Returns the digest that distinguishes a repeated request from another request with the same id.
std::string requestDigest(const TransactionRequest&);

// Returns the number of bytes in the column names and values of a result.
size_t resultBytes(const StatementResult&);

// Encodes the body of an answer, {"results","token","server","source"}. The token is omitted if it is empty.
std::string encodeAnswerBody(const TransactionAnswer&, std::string_view tokenText);

// Encodes the body of an error, {"error":{"kind","ran","retry","detail"}}.
std::string encodeErrorBody(const Error&);

// Encodes the results as JSON text, as stored in the request table.
std::string encodeResults(const std::vector<StatementResult>&);

// Decodes the text of encodeResults. Fails with MalformedRequest.
Result<std::vector<StatementResult>> decodeResults(std::string_view text);

// Encodes the parameters of the peer call "execute". The deadline is sent as the milliseconds that remain.
json::object encodeRequest(const TransactionRequest&, TimePoint now);

// Decodes the object of encodeRequest; the deadline counts from now. Fails with MalformedRequest.
Result<TransactionRequest> decodeRequest(const json::object&, TimePoint now);

// Encodes the result of the peer call "execute".
json::object encodeOutcome(const TransactionOutcome&);

// Decodes the object of encodeOutcome. An object that cannot be decoded is an Internal error, because the request may have run.
TransactionOutcome decodeOutcome(const json::object&);

}
