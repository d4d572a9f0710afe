#include "foxtailtrail/execution/RequestParser.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    constexpr TimePoint now { 100s };

    std::string bodyWithStatement(const std::string& sql)
    {
        return json::serialize(json::object { { "statements", { { { "sql", sql } } } } });
    }

    bool isRefused(const std::string& body)
    {
        const auto result = parseTransactionBody(body, { 2, 40, 2, 4 });
        return !result && result.error().kind == ErrorKind::MalformedRequest;
    }

    std::string errorKindOf(const std::vector<HeaderField>& fields)
    {
        const auto headers = parseRequestHeaders(fields, {}, now);
        return headers ? "" : std::string(errorKindProperties(headers.error().kind).name);
    }

}

// Guards against statements that end the transaction, change the session or call the platform, in any spelling.
TEST(TransactionTest, RefusesStatementsThatReachBeyondTheTransaction)
{
    for (const char* sql :
        { "BEGIN", " commit", "(ROLLBACK", "SET ROLE x", "set x=1", "--\nSELECT 1", "/**/COMMIT", ";SELECT 1", "", "EXPLAIN SELECT 1",
            "SELECT platform_fence(9, 'x')", "SELECT \"Platform_Begin\"(1)", "SELECT U&\"plat\\0066orm\"()", "SELECT pg_advisory_lock(1)",
            "WITH a AS (SELECT set_config('a','b',false)) SELECT 1", "DELETE FROM foxtail_requests", "DO $$x$$", "SELECTED" })
        EXPECT_TRUE(isRefused(bodyWithStatement(sql))) << sql;
    EXPECT_TRUE(isRefused(bodyWithStatement(std::string("SELECT 1\0; x", 11))));
    for (const char* sql :
        { "SELECT 1", "(select 1) union (select 2)", "INSERT INTO my_platform_x VALUES ($1)", "with a as (select 1) table a" })
        EXPECT_FALSE(isRefused(bodyWithStatement(sql))) << sql;
}

// Guards against members and sizes that are silently ignored, truncated or accepted.
TEST(TransactionTest, RefusesMalformedAndOversizedBodies)
{
    for (const char* body : { "", "[]", "{}", R"({"statements":[]})", R"({"statements":[{"sql":"SELECT 1"}],"x":1})",
             R"({"statements":[1]})", R"({"statements":[{"sql":1}]})", R"({"statements":[{"sql":"SELECT 1","params":[1]}]})",
             R"({"statements":[{"sql":"SELECT 1","params":["12345"]}]})", R"({"statements":[{"sql":"SELECT 1","params":["\u0000"]}]})",
             R"({"statements":[{"sql":"SELECT 1","params":["","",""]}]})", R"({"statements":[{"sql":"SELECT 1","expectRows":-1}]})",
             R"({"statements":[{"sql":"SELECT 1"},{"sql":"SELECT 1"},{"sql":"SELECT 1"}]})",
             R"({"statements":[{"sql":"SELECT 1 FROM a_name_that_is_rather_long_x"}]})" })
        EXPECT_TRUE(isRefused(body)) << body;
    EXPECT_FALSE(isRefused(R"({"statements":[{"sql":"SELECT $1","params":["1234"],"expectRows":1},{"sql":"SELECT 1","params":[null]}]})"));
}

// Guards against a request or an answer that changes on its way to another VM, against an error that is decoded as another one, and
// against malformed text that is decoded as "not run".
TEST(TransactionTest, PeerMessagesRoundTrip)
{
    TransactionRequest request;
    request.requestId = RequestId("r");
    request.kind = TransactionKind::Write;
    request.statements = { { "SELECT $1", { "a\"\xc3\xa9", std::nullopt }, 3 }, { "SELECT 2", {}, {} } };
    request.token = LogPoint { Term { 2 }, Position { UINT64_MAX } };
    request.maxStaleness = 7ms;
    request.deadline = now + 250ms;
    const auto decoded = decodeRequest(parseJsonObject(json::serialize(encodeRequest(request, now))).value(), now + 1s).value();
    EXPECT_EQ(requestDigest(decoded), requestDigest(request));
    EXPECT_EQ(decoded.statements, request.statements);
    EXPECT_EQ(decoded.token, request.token);
    EXPECT_EQ(decoded.maxStaleness, request.maxStaleness);
    EXPECT_EQ(decoded.deadline, now + 1s + 250ms);

    TransactionAnswer answer;
    answer.results = { { { "a", "b" }, { { "1", std::nullopt } }, 1 }, {} };
    answer.point = LogPoint { Term { 1 }, Position { 5 } };
    answer.source = AnswerSource::Replica;
    EXPECT_EQ(decodeOutcome(encodeOutcome(answer)).value(), answer);
    EXPECT_EQ(decodeResults(encodeResults(answer.results)).value(), answer.results);
    const Error error { ErrorKind::ExpectationFailed, "two rows" };
    EXPECT_EQ(decodeOutcome(encodeOutcome(error)).error(), error);
    for (const char* text :
        { "{}", R"({"error":{}})", R"({"error":{"kind":"No"}})", R"({"results":[{}],"server":"s","source":"primary"})" })
        EXPECT_EQ(decodeOutcome(parseJsonObject(text).value()).error().kind, ErrorKind::Internal) << text;
    EXPECT_EQ(encodeErrorBody(error), R"({"error":{"kind":"ExpectationFailed","ran":"no","retry":false,"detail":"two rows"}})");
}

// Guards against a header that is missed because of its case, accepted twice, or accepted out of range.
TEST(TransactionTest, ParsesHeadersAndRefusesInvalidOnes)
{
    const std::vector<HeaderField> fields { { "authorization", "BEARER ftk_a_b" }, { "FOXTAIL-DEADLINE", "60000" },
        { "foxtail-request-id", "a:1" }, { "Foxtail-Max-Staleness", "0" }, { "Foxtail-Token", "t" }, { "Accept", "x" } };
    const RequestHeaders headers = parseRequestHeaders(fields, {}, now).value();
    EXPECT_EQ(headers.key, "ftk_a_b");
    EXPECT_EQ(headers.deadline, now + 60s);
    EXPECT_EQ(headers.requestId, RequestId("a:1"));
    EXPECT_EQ(headers.maxStaleness, Duration { 0 });
    EXPECT_EQ(parseRequestHeaders({}, {}, now).value().deadline, now + 5s);
    for (const HeaderField& field :
        std::vector<HeaderField> { { "Foxtail-Deadline", "60001" }, { "Foxtail-Deadline", "0" }, { "Foxtail-Deadline", "5s" },
            { "Foxtail-Max-Staleness", "-1" }, { "Foxtail-Request-Id", "a b" }, { "Foxtail-Request-Id", "" }, { "Foxtail-Other", "" } })
        EXPECT_EQ(errorKindOf({ field }), "MalformedRequest") << field.name << field.value;
    EXPECT_EQ(errorKindOf({ { "Foxtail-Token", "a" }, { "foxtail-token", "a" } }), "MalformedRequest");
    for (const char* value : { "", "Bearer", "Bearer ", "Basic abc", "Bearer a b" })
        EXPECT_EQ(errorKindOf({ { "Authorization", value } }), "KeyMissing") << value;
}

}
