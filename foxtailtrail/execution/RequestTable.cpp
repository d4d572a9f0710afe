#include "foxtailtrail/execution/RequestTable.h"

#include <charconv>

namespace foxtail {

bool RequestRow::isAbandoned() const { return this->digest == abandonedDigest; }

Statement beginWriteStatement() { return { "BEGIN", {}, {} }; }

Statement beginReadStatement() { return { "BEGIN READ ONLY", {}, {} }; }

Statement commitStatement() { return { "COMMIT", {}, {} }; }

Statement rollbackStatement() { return { "ROLLBACK", {}, {} }; }

Statement platformBeginStatement(Term term, const OrganisationId& organisation)
{
    return { "SELECT platform_begin($1, $2)", { std::to_string(term.value), organisation.value }, {} };
}

Statement platformRequireStatement(const LogPoint& point)
{
    return { "SELECT platform_require($1, $2)", { std::to_string(point.term.value), std::to_string(point.position.value) }, {} };
}

Statement platformPositionStatement() { return { "SELECT platform_position()", {}, {} }; }

Statement insertRequestStatement(const OrganisationId& organisation, const RequestId& id, std::string_view digest)
{
    return { "INSERT INTO foxtail_requests (organisation, request_id, digest) VALUES ($1, $2, $3) ON CONFLICT DO NOTHING",
        { organisation.value, id.value, std::string(digest) }, {} };
}

Statement touchRequestStatement(const OrganisationId& organisation, const RequestId& id)
{
    return { "UPDATE foxtail_requests SET answer = answer WHERE organisation = $1 AND request_id = $2 RETURNING digest, answer",
        { organisation.value, id.value }, {} };
}

Statement storeAnswerStatement(const OrganisationId& organisation, const RequestId& id, const SqlValue& answer)
{
    return { "UPDATE foxtail_requests SET answer = $3 WHERE organisation = $1 AND request_id = $2",
        { organisation.value, id.value, answer }, 1 };
}

std::optional<RequestRow> requestRowOf(const StatementResult& result)
{
    if (result.rows.size() != 1 || result.rows.front().size() != 2 || !result.rows.front().front())
        return std::nullopt;
    return RequestRow { *result.rows.front().front(), result.rows.front().back() };
}

std::optional<Position> positionOf(const StatementResult& result)
{
    if (result.rows.size() != 1 || result.rows.front().empty() || !result.rows.front().front())
        return std::nullopt;
    const std::string& text = *result.rows.front().front();
    uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return Position { value };
}

}
