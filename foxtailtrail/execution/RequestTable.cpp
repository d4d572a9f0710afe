#include "foxtailtrail/execution/RequestTable.h"

#include <algorithm>
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

Statement platformPositionStatement() { return { "SELECT * FROM platform_position()", {}, {} }; }

Statement insertRequestStatement(const OrganisationId& organisation, const RequestId& id, std::string_view digest)
{
    return { "INSERT INTO foxtail_requests (organisation, id, digest) VALUES ($1, $2, $3) ON CONFLICT DO NOTHING",
        { organisation.value, id.value, std::string(digest) }, {} };
}

Statement touchRequestStatement(const OrganisationId& organisation, const RequestId& id)
{
    return { "UPDATE foxtail_requests SET answer = answer WHERE organisation = $1 AND id = $2 RETURNING digest, answer",
        { organisation.value, id.value }, {} };
}

Statement storeAnswerStatement(const OrganisationId& organisation, const RequestId& id, const SqlValue& answer)
{
    return { "UPDATE foxtail_requests SET answer = $3 WHERE organisation = $1 AND id = $2", { organisation.value, id.value, answer }, 1 };
}

std::optional<RequestRow> requestRowOf(const StatementResult& result)
{
    if (result.rows.size() != 1 || result.rows.front().size() != 2 || !result.rows.front().front())
        return std::nullopt;
    return RequestRow { *result.rows.front().front(), result.rows.front().back() };
}

std::optional<LogPoint> commitPointOf(const StatementResult& result)
{
    const auto number = [&](std::string_view column) -> std::optional<uint64_t> {
        const auto found = std::find(result.columns.begin(), result.columns.end(), column);
        const auto index = static_cast<size_t>(found - result.columns.begin());
        if (result.rows.size() != 1 || index >= result.rows.front().size() || !result.rows.front()[index])
            return std::nullopt;
        const std::string& text = *result.rows.front()[index];
        uint64_t value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    };
    const auto term = number("term");
    const auto position = number("position");
    if (!term || !position)
        return std::nullopt;
    return LogPoint { Term { *term }, Position { *position } };
}

}
