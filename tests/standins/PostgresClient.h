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

// A blocking libpq connection for tests.
class PostgresClient {
public:
    explicit PostgresClient(const BackendStandin& standin, const std::string& name = "test")
        : connection(PQconnectdb(("host=127.0.0.1 dbname=foxtail user=test sslmode=prefer application_name=" + name
                         + " port=" + std::to_string(standin.port()))
                                     .c_str()),
            PQfinish)
    {
    }

    bool isConnected() const { return PQstatus(this->connection.get()) == CONNECTION_OK; }
    std::string connectError() const { return PQerrorMessage(this->connection.get()); }
    PGTransactionStatusType transactionStatus() const { return PQtransactionStatus(this->connection.get()); }
    PGconn* handle() const { return this->connection.get(); }

    // Runs a statement and returns "ok" or the SQLSTATE; "lost" when the connection broke. The rows stay readable by value().
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

    // The first value of the column in the last result.
    std::string firstRowValue(const char* column = nullptr) const
    {
        const int index = column ? PQfnumber(this->result.get(), column) : 0;
        return this->rowCount() && index >= 0 ? PQgetvalue(this->result.get(), 0, index) : "none";
    }

    // Runs a statement and returns the first value, or the SQLSTATE.
    std::string queryValue(const std::string& sql, const char* column = nullptr)
    {
        const std::string state = this->run(sql);
        return state == "ok" ? this->firstRowValue(column) : state;
    }

private:
    std::unique_ptr<PGconn, void (*)(PGconn*)> connection;
    std::unique_ptr<PGresult, void (*)(PGresult*)> result { nullptr, PQclear };
};

// Repeats the check until it holds. Gives up after many rounds, so that a fault ends the test instead of hanging it.
inline bool eventually(const std::function<bool()>& check)
{
    constexpr int rounds = 4000;
    constexpr std::chrono::milliseconds pause { 5 };
    for (int round = 0; round < rounds; ++round) {
        if (check())
            return true;
        std::this_thread::sleep_for(pause);
    }
    return false;
}

}
