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
    // How often a wait for the socket checks whether the replication source has changed.
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

LogPuller::LogPuller(ReplicatedDatabase& replicatedDatabase, std::string ownServerId, std::chrono::milliseconds initialApplyDelay)
    : database(replicatedDatabase)
    , serverId(std::move(ownServerId))
    , applyDelay(initialApplyDelay)
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
            if (const auto primarySource = this->database.replicationSource())
                this->pullFrom(*primarySource);
        } catch (const std::exception& error) {
            std::cerr << "replication failed and will be retried: " << error.what() << std::endl;
        }
        this->sleepUnlessStopping(retryDelay);
    }
}

void LogPuller::pullFrom(const ReplicationSource& primarySource)
{
    {
        const std::lock_guard lock(this->mutex);
        this->pending.clear();
    }
    this->nextIndex = this->database.logSize();
    this->previousTerm = this->database.termAt(this->nextIndex);
    this->hasFoundPrefix = false;
    const Connection connection(PQconnectStart(connectionString(primarySource.address, this->serverId).c_str()));
    if (!this->completeConnection(connection.get(), primarySource))
        return;
    while (!this->isStopping && this->database.follows(primarySource) && this->pullPage(connection.get(), primarySource)) { }
}

bool LogPuller::pullPage(PGconn* connection, const ReplicationSource& primarySource)
{
    const ResultPointer reply(this->queryPage(connection, primarySource));
    if (!reply)
        return false;
    if (PQresultStatus(reply.get()) == PGRES_TUPLES_OK) {
        this->acceptPage(reply.get(), primarySource);
        return true;
    }
    // FT005: the logs differ at this index. Tries one entry further back until the common prefix is found.
    const char* state = PQresultErrorField(reply.get(), PG_DIAG_SQLSTATE);
    if (!state || std::strcmp(state, "FT005") != 0 || !this->nextIndex)
        return false;
    --this->nextIndex;
    this->previousTerm = this->database.termAt(this->nextIndex);
    return true;
}

void LogPuller::acceptPage(const PGresult* reply, const ReplicationSource& primarySource)
{
    // The first row holds the position at which the primary was promoted. The other rows are log entries.
    const uint64_t primaryPromotionPosition = std::stoull(PQgetvalue(reply, 0, 0));
    if (!this->database.acceptPrefix(primarySource, this->nextIndex, primaryPromotionPosition, !this->hasFoundPrefix))
        return;
    this->hasFoundPrefix = true;
    const std::lock_guard lock(this->mutex);
    for (int row = 1; row < PQntuples(reply); ++row) {
        CommittedTransaction entry { Term { std::stoull(PQgetvalue(reply, row, 1)) }, PQgetvalue(reply, row, 2),
            parseStatements(PQgetvalue(reply, row, 3)) };
        this->previousTerm = entry.term;
        this->pending.push_back({ primarySource, this->nextIndex++, std::move(entry), Clock::now() + this->applyDelay.load() });
    }
    this->stateCondition.notify_all();
}

bool LogPuller::completeConnection(PGconn* connection, const ReplicationSource& primarySource)
{
    PostgresPollingStatusType state = PGRES_POLLING_WRITING;
    while (connection && PQstatus(connection) != CONNECTION_BAD) {
        if (!this->waitForSocket(connection, state == PGRES_POLLING_WRITING, primarySource))
            return false;
        state = PQconnectPoll(connection);
        if (state == PGRES_POLLING_OK)
            return true;
    }
    return false;
}

PGresult* LogPuller::queryPage(PGconn* connection, const ReplicationSource& primarySource)
{
    const std::array<std::string, 3> parameters { std::to_string(primarySource.term.value), std::to_string(this->nextIndex),
        std::to_string(this->previousTerm.value) };
    const std::array<const char*, 3> parameterPointers { parameters[0].c_str(), parameters[1].c_str(), parameters[2].c_str() };
    if (!PQsendQueryParams(connection, "SELECT * FROM platform_log($1,$2,$3)", parameterPointers.size(), nullptr, parameterPointers.data(),
            nullptr, nullptr, 0))
        return nullptr;
    while (PQisBusy(connection)) {
        if (!this->waitForSocket(connection, false, primarySource) || !PQconsumeInput(connection))
            return nullptr;
    }
    ResultPointer first(PQgetResult(connection));
    // libpq marks the end of the results with a null result.
    while (PGresult* extraResult = PQgetResult(connection))
        PQclear(extraResult);
    return first.release();
}

bool LogPuller::waitForSocket(PGconn* connection, bool forWrite, const ReplicationSource& primarySource)
{
    while (!this->isStopping && this->database.follows(primarySource)) {
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
            } catch (const std::exception& error) {
                std::cerr << "replication: cannot apply the entry at position " << next.index + 1 << ": " << error.what() << std::endl;
            }
            lock.lock();
        }
    }
}

void LogPuller::sleepUnlessStopping(std::chrono::milliseconds duration)
{
    std::unique_lock lock(this->mutex);
    this->stateCondition.wait_for(lock, duration, [this] { return this->isStopping.load(); });
}

}
