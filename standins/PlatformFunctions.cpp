#include "standins/PlatformFunctions.h"

#include "standins/BackendStandin.h"
#include "standins/LogFormat.h"

#include <array>
#include <charconv>
#include <regex>
#include <string_view>

namespace foxtail::standins {

namespace {

    // Longer statements are not treated as calls, which bounds the recursion depth of the regular expression.
    constexpr size_t maxCallLength = 400;

    struct FunctionCall {
        BackendSession& session;
        std::vector<SqlValue> arguments;

        ReplicatedDatabase& database() const { return this->session.standin().replicatedDatabase(); }

        const std::string& text(size_t index) const
        {
            if (!this->arguments[index])
                throw SqlError("22004", "an argument is null");
            return *this->arguments[index];
        }

        uint64_t number(size_t index) const
        {
            uint64_t value = 0;
            const std::string& digits = this->text(index);
            const char* last = digits.data() + digits.size();
            const auto parsed = std::from_chars(digits.data(), last, value);
            if (parsed.ec != std::errc() || parsed.ptr != last)
                throw SqlError("22P02", "an argument is not a whole number");
            return value;
        }
    };

    std::string roleName(ServerRole role)
    {
        constexpr std::array<const char*, 3> names { "primary", "replica", "fenced" };
        return names[static_cast<size_t>(role)];
    }

    StatementOutcome successOutcome(const std::string& column) { return { { column }, { { "t" } }, 0, {} }; }

    StatementOutcome statusFunction(const FunctionCall& call)
    {
        const ServerStatus status = call.database().status();
        return { { "promised_term", "log_term", "position", "role", "primary_heard_ms", "leaving", "home_vm", "home_epoch" },
            { { std::to_string(status.promisedTerm.value), std::to_string(status.logTerm.value), std::to_string(status.position.value),
                roleName(status.role), std::to_string(toMilliseconds(status.primaryContactAge)), status.isLeaving ? "t" : "f",
                call.session.standin().homeVm(), std::to_string(call.session.standin().homeEpoch()) } },
            0, {} };
    }

    StatementOutcome fenceFunction(const FunctionCall& call)
    {
        call.database().fence(Term { call.number(0) }, call.text(1));
        return statusFunction(call);
    }

    StatementOutcome promoteFunction(const FunctionCall& call)
    {
        call.database().promote(Term { call.number(0) }, call.text(1));
        return statusFunction(call);
    }

    StatementOutcome followFunction(const FunctionCall& call)
    {
        call.database().follow(Term { call.number(0) }, call.text(1));
        return statusFunction(call);
    }

    StatementOutcome claimFunction(const FunctionCall& call)
    {
        call.session.standin().claim(call.text(0), call.number(1));
        return statusFunction(call);
    }

    StatementOutcome beginFunction(const FunctionCall& call)
    {
        call.database().bindTransaction(call.session.transaction(), Term { call.number(0) }, call.text(1));
        return successOutcome("platform_begin");
    }

    StatementOutcome requireFunction(const FunctionCall& call)
    {
        call.database().requireLogPoint({ Term { call.number(0) }, Position { call.number(1) } });
        return successOutcome("platform_require");
    }

    StatementOutcome positionFunction(const FunctionCall& call)
    {
        const LogPoint point = call.session.transaction().lastCommit;
        return { { "position", "term" }, { { std::to_string(point.position.value), std::to_string(point.term.value) } }, 0, {} };
    }

    StatementOutcome logFunction(const FunctionCall& call)
    {
        const uint64_t from = call.number(1);
        const LogPage page = call.database().readLogAfter(Term { call.number(0) }, from, Term { call.number(2) });
        StatementOutcome outcome { { "position", "term", "organisation", "statements" }, {}, 0, {} };
        // The first row holds the position at which the primary was promoted. The entries follow.
        outcome.rows.push_back({ std::to_string(page.promotionPosition), SqlValue(), SqlValue(), SqlValue() });
        for (size_t index = 0; index < page.entries.size(); ++index) {
            const CommittedTransaction& entry = page.entries[index];
            outcome.rows.push_back({ std::to_string(from + index + 1), std::to_string(entry.term.value), entry.organisation,
                formatStatements(entry.statements) });
        }
        return outcome;
    }

    StatementOutcome sleepFunction(const FunctionCall& call)
    {
        call.session.sleep(std::chrono::milliseconds(call.number(0)));
        return successOutcome("platform_sleep");
    }

    StatementOutcome faultFunction(const FunctionCall& call)
    {
        call.session.standin().setFault(call.text(0), call.text(1));
        return successOutcome("platform_fault");
    }

    struct FunctionRow {
        std::string_view name;
        size_t argumentCount;
        StatementOutcome (*function)(const FunctionCall&);
    };

    constexpr std::array<FunctionRow, 11> functionTable { {
        { "platform_status", 0, statusFunction },
        { "platform_fence", 2, fenceFunction },
        { "platform_promote", 2, promoteFunction },
        { "platform_follow", 2, followFunction },
        { "platform_claim", 2, claimFunction },
        { "platform_begin", 2, beginFunction },
        { "platform_require", 2, requireFunction },
        { "platform_position", 0, positionFunction },
        { "platform_log", 3, logFunction },
        { "platform_sleep", 1, sleepFunction },
        { "platform_fault", 2, faultFunction },
    } };

    // Parses the argument list. An argument is $n, a quoted string or a number, each with an optional cast.
    std::vector<SqlValue> parseArguments(const std::string& list, const std::vector<SqlValue>& parameters)
    {
        static const std::regex argument(R"(\s*(?:\$(\d{1,4})|'([^']*)'|(\d+))(?:::\w+)?\s*(?:,|$))");
        std::vector<SqlValue> values;
        const std::sregex_iterator end;
        for (std::sregex_iterator match(list.begin(), list.end(), argument); match != end; ++match) {
            const std::smatch& found = *match;
            if (!found[1].matched) {
                values.emplace_back(found[2].matched ? found[2].str() : found[3].str());
                continue;
            }
            const size_t number = std::stoul(found[1].str());
            if (!number || number > parameters.size())
                throw SqlError("08P01", "parameter $" + found[1].str() + " has no value");
            values.push_back(parameters[number - 1]);
        }
        return values;
    }

}

std::optional<StatementOutcome> callPlatformFunction(
    BackendSession& session, const std::string& sql, const std::vector<SqlValue>& parameters)
{
    static const std::regex callText(
        R"(\s*select\s+(?:[\w\s,*]+\s+from\s+)?(platform_\w+)\s*\(([^)]*)\)\s*;?\s*)", std::regex::icase | std::regex::optimize);
    std::smatch match;
    if (sql.size() > maxCallLength || !std::regex_match(sql, match, callText))
        return std::nullopt;
    for (const FunctionRow& row : functionTable) {
        if (match[1].str() != row.name)
            continue;
        const FunctionCall call { session, parseArguments(match[2].str(), parameters) };
        if (call.arguments.size() != row.argumentCount)
            throw SqlError("42883", match[1].str() + " takes " + std::to_string(row.argumentCount) + " arguments");
        return row.function(call);
    }
    return std::nullopt;
}

}
