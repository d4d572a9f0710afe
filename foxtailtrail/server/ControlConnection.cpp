#include "foxtailtrail/server/ControlConnection.h"

#include <array>
#include <charconv>
#include <mutex>

namespace foxtail {

namespace {

    struct RoleName {
        std::string_view name;
        ServerRole role;
    };

    constexpr std::array<RoleName, 3> roleNames { {
        { "primary", ServerRole::Primary },
        { "replica", ServerRole::Replica },
        { "fenced", ServerRole::Fenced },
    } };

    std::optional<uint64_t> numberOf(const QueryResult& result, std::string_view column)
    {
        const std::optional<std::string_view> text = result.firstRowValue(column);
        uint64_t number = 0;
        if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ptr != text->data() + text->size())
            return std::nullopt;
        return number;
    }

    std::optional<StatusReport> reportOf(const QueryResult& result)
    {
        const auto promisedTerm = numberOf(result, "promised_term");
        const auto logTerm = numberOf(result, "log_term");
        const auto position = numberOf(result, "position");
        const auto contactAge = numberOf(result, "primary_heard_ms");
        const auto epoch = numberOf(result, "home_epoch");
        const auto role = result.firstRowValue("role");
        if (!promisedTerm || !logTerm || !position || !contactAge || !epoch || !role)
            return std::nullopt;
        StatusReport report;
        report.status.promisedTerm = Term { *promisedTerm };
        report.status.logTerm = Term { *logTerm };
        report.status.position = Position { *position };
        report.status.primaryContactAge = std::chrono::milliseconds(*contactAge);
        report.status.isLeaving = result.firstRowValue("leaving") == "t";
        report.homeHolder = std::string(result.firstRowValue("home_vm").value_or(""));
        report.homeEpoch = *epoch;
        for (const RoleName& row : roleNames) {
            if (row.name == *role) {
                report.status.role = row.role;
                return report;
            }
        }
        return std::nullopt;
    }

}

ControlConnection::ControlConnection(Endpoint endpoint, std::string applicationName)
    : endpoint(std::move(endpoint))
    , applicationName(std::move(applicationName))
{
}

ControlReply ControlConnection::status(TimePoint deadline) { return this->run("SELECT * FROM platform_status()", {}, deadline); }

ControlReply ControlConnection::fence(Term term, const std::string& promoter, TimePoint deadline)
{
    return this->run("SELECT * FROM platform_fence($1, $2)", { std::to_string(term.value), promoter }, deadline);
}

ControlReply ControlConnection::promote(Term term, const std::string& promoter, TimePoint deadline)
{
    return this->run("SELECT * FROM platform_promote($1, $2)", { std::to_string(term.value), promoter }, deadline);
}

ControlReply ControlConnection::follow(Term term, const Endpoint& primary, TimePoint deadline)
{
    const std::string address = primary.address + ":" + std::to_string(primary.port);
    return this->run("SELECT * FROM platform_follow($1, $2)", { std::to_string(term.value), address }, deadline);
}

ControlReply ControlConnection::claim(const std::string& holder, uint64_t epoch, TimePoint deadline)
{
    return this->run("SELECT * FROM platform_claim($1, $2)", { holder, std::to_string(epoch) }, deadline);
}

void ControlConnection::close()
{
    const std::lock_guard<boost::fibers::mutex> lock(this->mutex);
    this->connection.reset();
}

ControlReply ControlConnection::run(const std::string& sql, const std::vector<SqlValue>& params, TimePoint deadline)
{
    const std::lock_guard<boost::fibers::mutex> lock(this->mutex);
    if (!this->connection || !this->connection->isReusable()) {
        Result<std::unique_ptr<BackendConnection>> opened
            = BackendConnection::connect({ this->endpoint.address, this->endpoint.port, this->applicationName }, deadline);
        if (!opened)
            return {};
        this->connection = std::move(opened.value());
    }
    const Result<QueryResult> result = this->connection->query(sql, params, deadline);
    if (result)
        return { CommandOutcome::Done, reportOf(result.value()) };
    if (!this->connection->isOpen()) {
        this->connection.reset();
        return {};
    }
    return { CommandOutcome::Refused, std::nullopt };
}

}
