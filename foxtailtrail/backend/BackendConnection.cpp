#include "foxtailtrail/backend/BackendConnection.h"

#include "foxtailtrail/backend/SqlState.h"
#include "foxtailtrail/net/FiberThread.h"

#include <algorithm>
#include <cstdlib>
#include <libpq-fe.h>
#include <utility>

namespace foxtail {

namespace {

    constexpr size_t sqlStateLength = 5;

    struct ClearResult {
        void operator()(PGresult* result) const { PQclear(result); }
    };
    using PostgresResult = std::unique_ptr<PGresult, ClearResult>;

    // A value of a libpq connection string.
    std::string connectionValue(std::string_view value)
    {
        std::string text = "'";
        for (const char character : value) {
            if (character == '\'' || character == '\\')
                text.push_back('\\');
            text.push_back(character);
        }
        return text + "'";
    }

    std::string trimmed(std::string text)
    {
        while (!text.empty() && (text.back() == '\n' || text.back() == ' '))
            text.pop_back();
        return text;
    }

    // libpq keeps the SQLSTATE of a refused connection only in the verbose form of its message: "FATAL:  53300: ...".
    std::string sqlStateOfRefusal(const std::string& message)
    {
        constexpr std::string_view severity = "FATAL:  ";
        const size_t start = message.find(severity);
        if (start == std::string::npos || message.size() <= start + severity.size() + sqlStateLength
            || message[start + severity.size() + sqlStateLength] != ':')
            return {};
        return message.substr(start + severity.size(), sqlStateLength);
    }

    QueryResult readRows(const PGresult* result)
    {
        QueryResult answer;
        const int columns = PQnfields(result);
        const int rows = PQntuples(result);
        for (int column = 0; column < columns; ++column)
            answer.columns.emplace_back(PQfname(result, column));
        answer.rows.resize(static_cast<size_t>(rows));
        for (int row = 0; row < rows; ++row) {
            std::vector<SqlValue>& values = answer.rows[static_cast<size_t>(row)];
            values.resize(static_cast<size_t>(columns));
            for (int column = 0; column < columns; ++column) {
                if (!PQgetisnull(result, row, column))
                    values[static_cast<size_t>(column)].emplace(
                        PQgetvalue(result, row, column), static_cast<size_t>(PQgetlength(result, row, column)));
            }
        }
        const char* affected = PQcmdTuples(const_cast<PGresult*>(result));
        answer.commandTag = PQcmdStatus(const_cast<PGresult*>(result));
        answer.rowCount = *affected ? std::strtoull(affected, nullptr, 10) : answer.rows.size();
        return answer;
    }

}

std::optional<std::string_view> QueryResult::firstRowValue(std::string_view column) const
{
    const auto found = std::find(this->columns.begin(), this->columns.end(), column);
    if (found == this->columns.end() || this->rows.empty())
        return std::nullopt;
    const SqlValue& value = this->rows.front()[static_cast<size_t>(found - this->columns.begin())];
    return value ? std::optional<std::string_view>(*value) : std::nullopt;
}

std::string BackendEndpoint::connectionString() const
{
    return "hostaddr=" + connectionValue(this->address) + " port=" + std::to_string(this->port)
        + " dbname=foxtail user=foxtail sslmode=disable gssencmode=disable client_encoding=UTF8 application_name="
        + connectionValue(this->applicationName);
}

void BackendConnection::ConnectionDeleter::operator()(pg_conn* connection) const { PQfinish(connection); }

BackendConnection::BackendConnection(pg_conn* started)
    : connection(started)
{
}

BackendConnection::~BackendConnection() { this->close(); }

Result<std::unique_ptr<BackendConnection>> BackendConnection::connect(const BackendEndpoint& endpoint, TimePoint deadline)
{
    std::unique_ptr<BackendConnection> started(new BackendConnection(PQconnectStart(endpoint.connectionString().c_str())));
    BOOST_OUTCOME_TRY(started->finishConnecting(deadline));
    return started;
}

Result<QueryResult> BackendConnection::query(const std::string& sql, const std::vector<SqlValue>& parameters, TimePoint deadline)
{
    this->sqlState.clear();
    if (!this->isOpen() || PQstatus(this->connection.get()) != CONNECTION_OK) {
        this->close();
        return fail(ErrorKind::PeerUnavailable, "the connection to the backend server is closed");
    }
    std::vector<const char*> values;
    values.reserve(parameters.size());
    for (const SqlValue& parameter : parameters)
        values.push_back(parameter ? parameter->c_str() : nullptr);
    // A send that fails may have sent a part, so from here on the outcome is unknown without an answer.
    const bool sent = PQsendQueryParams(
        this->connection.get(), sql.c_str(), static_cast<int>(values.size()), nullptr, values.data(), nullptr, nullptr, 0);
    if (!sent || !this->flush(deadline) || !this->awaitResult(deadline))
        return this->closeWithUnknownOutcome(PQerrorMessage(this->connection.get()));
    return this->readResult(deadline);
}

void BackendConnection::interrupt()
{
    this->interrupted = true;
    if (this->waiter)
        this->waiter->cancel();
}

bool BackendConnection::isReusable()
{
    if (!this->isOpen() || this->interrupted)
        return false;
    // Notices the end of the connection without blocking.
    PQconsumeInput(this->connection.get());
    return PQstatus(this->connection.get()) == CONNECTION_OK && PQtransactionStatus(this->connection.get()) == PQTRANS_IDLE;
}

Result<void> BackendConnection::finishConnecting(TimePoint deadline)
{
    pg_conn* started = this->connection.get();
    if (!started)
        return fail(ErrorKind::Internal, "out of memory for a connection");
    PQsetErrorVerbosity(started, PQERRORS_VERBOSE);
    PostgresPollingStatusType state = PQstatus(started) == CONNECTION_BAD ? PGRES_POLLING_FAILED : PGRES_POLLING_WRITING;
    while (state == PGRES_POLLING_READING || state == PGRES_POLLING_WRITING) {
        // libpq may replace its socket between two steps, so each step registers the present one.
        DescriptorWaiter step(PQsocket(started));
        if (!(state == PGRES_POLLING_READING ? step.waitReadable(deadline) : step.waitWritable(deadline)))
            return fail(ErrorKind::DeadlineExceeded, "the backend server did not accept the connection in time");
        state = PQconnectPoll(started);
    }
    if (state == PGRES_POLLING_FAILED) {
        const std::string message = trimmed(PQerrorMessage(started));
        this->sqlState = sqlStateOfRefusal(message);
        return fail(this->sqlState.empty() ? ErrorKind::PeerUnavailable : errorKindOfSqlState(this->sqlState), message);
    }
    PQsetnonblocking(started, 1);
    this->waiter = std::make_unique<DescriptorWaiter>(PQsocket(started));
    return succeed();
}

bool BackendConnection::flush(TimePoint deadline)
{
    while (true) {
        const int left = PQflush(this->connection.get());
        if (left <= 0)
            return !left;
        if (this->interrupted || !this->waiter->waitWritable(deadline))
            return false;
    }
}

bool BackendConnection::awaitResult(TimePoint deadline)
{
    while (PQisBusy(this->connection.get())) {
        if (this->interrupted || !this->waiter->waitReadable(deadline) || !PQconsumeInput(this->connection.get()))
            return false;
    }
    return true;
}

Result<QueryResult> BackendConnection::readResult(TimePoint deadline)
{
    const PostgresResult result(PQgetResult(this->connection.get()));
    const ExecStatusType status = PQresultStatus(result.get());
    const char* state = PQresultErrorField(result.get(), PG_DIAG_SQLSTATE);
    // Without a SQLSTATE the error is libpq's own: the connection broke. A copy would need a second exchange.
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK && !state)
        return this->closeWithUnknownOutcome(PQresultErrorMessage(result.get()));
    // The answer is complete when the server is ready for the next statement.
    if (!this->awaitResult(deadline) || PostgresResult(PQgetResult(this->connection.get())))
        return this->closeWithUnknownOutcome(PQerrorMessage(this->connection.get()));
    if (!state)
        return readRows(result.get());
    this->sqlState = state;
    const char* text = PQresultErrorField(result.get(), PG_DIAG_MESSAGE_PRIMARY);
    return fail(errorKindOfSqlState(this->sqlState), this->sqlState + ": " + (text ? text : ""));
}

Result<QueryResult> BackendConnection::closeWithUnknownOutcome(std::string_view reason)
{
    Error error { ErrorKind::OutcomeUnknown, "no whole answer from the backend server: " + trimmed(std::string(reason)) };
    // The answer may still arrive, so nobody may read from this connection any more.
    this->close();
    return error;
}

void BackendConnection::close()
{
    this->waiter.reset();
    this->connection.reset();
}

}
