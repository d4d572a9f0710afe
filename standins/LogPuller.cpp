#include "standins/LogPuller.h"

#include "standins/LogFormat.h"

#include <array>
#include <cstring>
#include <exception>
#include <iostream>
#include <libpq-fe.h>
#include <memory>
#include <poll.h>
#include <utility>

namespace foxtail::standins {

namespace {

    constexpr std::chrono::milliseconds retryDelay { 20 };
    // How often a blocked wait looks whether the target has changed.
    constexpr int pollIntervalMs = 10;

    struct ConnectionDeleter {
        void operator()(PGconn* connection) const { PQfinish(connection); }
    };
    using Connection = std::unique_ptr<PGconn, ConnectionDeleter>;

    struct ResultDeleter {
        void operator()(PGresult* result) const { PQclear(result); }
    };
    using ResultPointer = std::unique_ptr<PGresult, ResultDeleter>;

    std::string connectionString(const std::string& address, const std::string& serverId)
    {
        const size_t colon = address.rfind(':');
        return "host=" + address.substr(0, colon) + " port=" + (colon == std::string::npos ? "5432" : address.substr(colon + 1))
            + " dbname=foxtail user=replica sslmode=disable gssencmode=disable application_name=replica/" + serverId;
    }

}

LogPuller::LogPuller(ReplicatedDatabase& groupMember, std::string id, std::chrono::milliseconds applyLag)
    : database(groupMember)
    , serverId(std::move(id))
    , applyDelay(applyLag)
{
    this->pullThread = std::thread([this] { this->pullUntilStopped(); });
    this->applyThread = std::thread([this] { this->applyUntilStopped(); });
}

LogPuller::~LogPuller() { this->stop(); }

void LogPuller::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
        this->stateCondition.notify_all();
    }
    if (this->pullThread.joinable())
        this->pullThread.join();
    if (this->applyThread.joinable())
        this->applyThread.join();
}

void LogPuller::pullUntilStopped()
{
    while (!this->isStopping) {
        try {
            if (const auto target = this->database.replicationSource())
                this->pullFrom(*target);
        } catch (const std::exception& fault) {
            std::cerr << "replication: " << fault.what() << std::endl;
        }
        this->pause(retryDelay);
    }
}

void LogPuller::pullFrom(const ReplicationSource& target)
{
    {
        const std::lock_guard lock(this->mutex);
        this->pending.clear();
    }
    this->nextIndex = this->database.logSize();
    this->previousTerm = this->database.termAt(this->nextIndex);
    this->hasFoundPrefix = false;
    const Connection connection(PQconnectStart(connectionString(target.address, this->serverId).c_str()));
    if (!this->completeConnection(connection.get(), target))
        return;
    while (!this->isStopping && this->database.follows(target) && this->pullPage(connection.get(), target)) { }
}

bool LogPuller::pullPage(PGconn* connection, const ReplicationSource& target)
{
    const ResultPointer answer(this->queryPage(connection, target));
    if (!answer)
        return false;
    if (PQresultStatus(answer.get()) == PGRES_TUPLES_OK) {
        this->acceptPage(answer.get(), target);
        return true;
    }
    // The logs differ here: look for the shared prefix one entry further back.
    const char* state = PQresultErrorField(answer.get(), PG_DIAG_SQLSTATE);
    if (!state || std::strcmp(state, "FT005") != 0 || !this->nextIndex)
        return false;
    --this->nextIndex;
    this->previousTerm = this->database.termAt(this->nextIndex);
    return true;
}

void LogPuller::acceptPage(const PGresult* answer, const ReplicationSource& target)
{
    // The first row describes the primary; the others are entries.
    const uint64_t promotedAt = std::stoull(PQgetvalue(answer, 0, 0));
    if (!this->database.acceptPrefix(target, this->nextIndex, promotedAt, !this->hasFoundPrefix))
        return;
    this->hasFoundPrefix = true;
    const std::lock_guard lock(this->mutex);
    for (int row = 1; row < PQntuples(answer); ++row) {
        CommittedWrite entry { Term { std::stoull(PQgetvalue(answer, row, 1)) }, PQgetvalue(answer, row, 2),
            parseStatements(PQgetvalue(answer, row, 3)) };
        this->previousTerm = entry.term;
        this->pending.push_back({ target, this->nextIndex++, std::move(entry), Clock::now() + this->applyDelay.load() });
    }
    this->stateCondition.notify_all();
}

bool LogPuller::completeConnection(PGconn* connection, const ReplicationSource& target)
{
    PostgresPollingStatusType state = PGRES_POLLING_WRITING;
    while (connection && PQstatus(connection) != CONNECTION_BAD) {
        if (!this->waitForSocket(connection, state == PGRES_POLLING_WRITING, target))
            return false;
        state = PQconnectPoll(connection);
        if (state == PGRES_POLLING_OK)
            return true;
    }
    return false;
}

PGresult* LogPuller::queryPage(PGconn* connection, const ReplicationSource& target)
{
    const std::array<std::string, 3> texts { std::to_string(target.term.value), std::to_string(this->nextIndex),
        std::to_string(this->previousTerm.value) };
    const std::array<const char*, 3> values { texts[0].c_str(), texts[1].c_str(), texts[2].c_str() };
    if (!PQsendQueryParams(connection, "SELECT * FROM platform_log($1,$2,$3)", values.size(), nullptr, values.data(), nullptr, nullptr, 0))
        return nullptr;
    while (PQisBusy(connection)) {
        if (!this->waitForSocket(connection, false, target) || !PQconsumeInput(connection))
            return nullptr;
    }
    ResultPointer first(PQgetResult(connection));
    // The end of the answer is a null result.
    while (PGresult* more = PQgetResult(connection))
        PQclear(more);
    return first.release();
}

bool LogPuller::waitForSocket(PGconn* connection, bool forWrite, const ReplicationSource& target)
{
    while (!this->isStopping && this->database.follows(target)) {
        pollfd descriptor { PQsocket(connection), static_cast<short>(forWrite ? POLLOUT : POLLIN), 0 };
        if (poll(&descriptor, 1, pollIntervalMs) > 0)
            return true;
    }
    return false;
}

void LogPuller::applyUntilStopped()
{
    std::unique_lock lock(this->mutex);
    while (!this->isStopping) {
        if (this->pending.empty()) {
            this->stateCondition.wait(lock);
        } else if (const auto due = this->pending.front().applyAt; Clock::now() < due) {
            this->stateCondition.wait_until(lock, due);
        } else {
            const PendingEntry next = std::move(this->pending.front());
            this->pending.pop_front();
            lock.unlock();
            try {
                this->database.applyEntry(next.source, next.index, next.entry);
            } catch (const std::exception& fault) {
                std::cerr << "replication: position " << next.index + 1 << ": " << fault.what() << std::endl;
            }
            lock.lock();
        }
    }
}

void LogPuller::pause(std::chrono::milliseconds length)
{
    std::unique_lock lock(this->mutex);
    this->stateCondition.wait_for(lock, length, [this] { return this->isStopping.load(); });
}

}
