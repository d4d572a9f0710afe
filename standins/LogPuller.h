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

// Replicates the log of the primary into a database over the PostgreSQL protocol, and applies it after a configurable delay.
class LogPuller {
public:
    // The database must outlive the puller. The server's id is part of the application name of its connections to the primary.
    LogPuller(ReplicatedDatabase&, std::string serverId, std::chrono::milliseconds initialApplyDelay);
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
        CommittedTransaction entry;
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
    void sleepUnlessStopping(std::chrono::milliseconds);

    ReplicatedDatabase& database;
    std::string serverId;
    std::atomic<std::chrono::milliseconds> applyDelay;
    std::atomic<bool> isStopping { false };
    std::mutex mutex;
    std::condition_variable stateCondition;
    std::deque<PendingEntry> pending;
    // The next log index to request. This and the members up to the threads are used by the pull thread only.
    uint64_t nextIndex = 0;
    Term previousTerm;
    bool hasFoundPrefix = false;
    std::thread pullThread;
    std::thread applyThread;
};

}
