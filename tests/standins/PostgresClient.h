#pragma once

#include "standins/BackendStandin.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <libpq-fe.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace foxtail::standins {

// A blocking libpq connection to a backend stand-in, for tests.
class PostgresClient {
public:
    explicit PostgresClient(const BackendStandin& standin, const std::string& applicationName = "test")
        : connection(PQconnectdb(("host=127.0.0.1 dbname=foxtail user=test sslmode=prefer application_name=" + applicationName
                         + " port=" + std::to_string(standin.port()))
                                     .c_str()),
            PQfinish)
    {
    }

    bool isConnected() const { return PQstatus(this->connection.get()) == CONNECTION_OK; }
    std::string connectError() const { return PQerrorMessage(this->connection.get()); }
    PGTransactionStatusType transactionStatus() const { return PQtransactionStatus(this->connection.get()); }
    PGconn* handle() const { return this->connection.get(); }

    // Runs a statement and returns "ok", the SQLSTATE, or "lost" when the connection was closed. The result is kept for
    // rowCount(), affectedRows() and firstRowValue().
    std::string run(const std::string& sql, const std::vector<std::string>& parameters = {})
    {
        std::vector<const char*> values(parameters.size());
        std::transform(parameters.begin(), parameters.end(), values.begin(), [](const std::string& text) { return text.c_str(); });
        this->result.reset(PQexecParams(
            this->connection.get(), sql.c_str(), static_cast<int>(values.size()), nullptr, values.data(), nullptr, nullptr, 0));
        const ExecStatusType status = PQresultStatus(this->result.get());
        if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK)
            return "ok";
        const char* state = PQresultErrorField(this->result.get(), PG_DIAG_SQLSTATE);
        return state ? state : "lost";
    }

    int rowCount() const { return PQntuples(this->result.get()); }
    std::string affectedRows() const { return PQcmdTuples(this->result.get()); }

    // Returns the value of the column in the first row of the last result; "none" without rows or such a column.
    std::string firstRowValue(const char* column = nullptr) const
    {
        const int index = column ? PQfnumber(this->result.get(), column) : 0;
        return this->rowCount() && index >= 0 ? PQgetvalue(this->result.get(), 0, index) : "none";
    }

    // Runs a statement and returns the value of the column in the first row, or the SQLSTATE.
    std::string queryValue(const std::string& sql, const char* column = nullptr)
    {
        const std::string state = this->run(sql);
        return state == "ok" ? this->firstRowValue(column) : state;
    }

private:
    std::unique_ptr<PGconn, void (*)(PGconn*)> connection;
    std::unique_ptr<PGresult, void (*)(PGresult*)> result { nullptr, PQclear };
};

// Repeats the check until it returns true. Returns false after 4000 attempts, so that a fault fails the test instead of hanging it.
inline bool eventually(const std::function<bool()>& check)
{
    constexpr int maxAttempts = 4000;
    constexpr std::chrono::milliseconds retryDelay { 5 };
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (check())
            return true;
        std::this_thread::sleep_for(retryDelay);
    }
    return false;
}

}
