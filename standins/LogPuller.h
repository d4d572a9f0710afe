#pragma once

#include "standins/GroupMember.h"

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
    LogPuller(GroupMember&, std::string serverId, std::chrono::milliseconds lag);
    ~LogPuller();
    LogPuller(const LogPuller&) = delete;
    LogPuller& operator=(const LogPuller&) = delete;

    void setLag(std::chrono::milliseconds value) { this->lag = value; }
    void stop();

private:
    using Clock = std::chrono::steady_clock;

    struct PendingEntry {
        FollowTarget target;
        uint64_t index = 0;
        LogEntry entry;
        Clock::time_point due;
    };

    void pullUntilStopped();
    void pullFrom(const FollowTarget&);
    bool pullPage(pg_conn*, const FollowTarget&);
    void acceptPage(const pg_result*, const FollowTarget&);
    bool connectionReady(pg_conn*, const FollowTarget&);
    pg_result* query(pg_conn*, const FollowTarget&);
    bool waitForSocket(pg_conn*, bool forWrite, const FollowTarget&);
    void applyUntilStopped();
    void pause(std::chrono::milliseconds);

    GroupMember& member;
    std::string serverId;
    std::atomic<std::chrono::milliseconds> lag;
    std::atomic<bool> stopping { false };
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<PendingEntry> pending;
    // The next position to ask for. Only the pulling thread uses these.
    uint64_t nextIndex = 0;
    Term previousTerm;
    bool prefixFound = false;
    std::thread pullThread;
    std::thread applyThread;
};

}
