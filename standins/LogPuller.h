#pragma once

#include "standins/ReplicatedDatabase.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

struct pg_conn;
struct pg_result;

namespace foxtail::standins {

// Copies the log of a member's primary over the PostgreSQL protocol and applies it after a configurable lag.
class LogPuller {
public:
    // The member must outlive the puller. The server's id names its connections to the primary.
    LogPuller(ReplicatedDatabase&, std::string serverId, std::chrono::milliseconds lag);
    ~LogPuller();
    LogPuller(const LogPuller&) = delete;
    LogPuller& operator=(const LogPuller&) = delete;

    void setApplyDelay(std::chrono::milliseconds value) { this->applyDelay = value; }
    void stop();

private:
    using Clock = std::chrono::steady_clock;

    struct PendingEntry {
        ReplicationSource source;
        uint64_t index = 0;
        CommittedWrite entry;
        Clock::time_point applyAt;
    };

    void pullUntilStopped();
    void pullFrom(const ReplicationSource&);
    bool pullPage(pg_conn*, const ReplicationSource&);
    void acceptPage(const pg_result*, const ReplicationSource&);
    bool completeConnection(pg_conn*, const ReplicationSource&);
    pg_result* queryPage(pg_conn*, const ReplicationSource&);
    bool waitForSocket(pg_conn*, bool forWrite, const ReplicationSource&);
    void applyUntilStopped();
    void pause(std::chrono::milliseconds);

    ReplicatedDatabase& database;
    std::string serverId;
    std::atomic<std::chrono::milliseconds> applyDelay;
    std::atomic<bool> isStopping { false };
    std::mutex mutex;
    std::condition_variable stateCondition;
    std::deque<PendingEntry> pending;
    // The next position to ask for. Only the pulling thread uses these.
    uint64_t nextIndex = 0;
    Term previousTerm;
    bool hasFoundPrefix = false;
    std::thread pullThread;
    std::thread applyThread;
};

}
