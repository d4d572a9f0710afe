#pragma once

#include "foxtailtrail/backend/BackendConnection.h"
#include "foxtailtrail/backend/RefillPacer.h"
#include "foxtailtrail/base/Ids.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

class ConnectionPool;

struct ConnectionPoolSettings {
    std::string address;
    uint16_t port = 0;
    // The name under which the home claims the server. The application name of the connections is foxtail/<holder>/<epoch>.
    std::string holder;
    // The number of pooled connections, excluding those for monitoring, claims and promotion.
    size_t size = 1;
    Duration connectTimeout = std::chrono::seconds(1);
    RefillPacerSettings refill;
};

// Exclusive use of a pooled connection. The destructor returns the connection to the pool, or closes it if a reply is outstanding or
// a transaction is open, so that no request sees the state that another one left behind.
class ConnectionLease {
public:
    ConnectionLease(std::shared_ptr<ConnectionPool>, std::unique_ptr<BackendConnection>, uint64_t epoch);
    ~ConnectionLease();
    ConnectionLease(ConnectionLease&&) = default;
    ConnectionLease& operator=(ConnectionLease&&) = delete;
    ConnectionLease(const ConnectionLease&) = delete;
    ConnectionLease& operator=(const ConnectionLease&) = delete;

    BackendConnection& operator*() const { return *this->connection; }
    BackendConnection* operator->() const { return this->connection.get(); }

    // Closes the connection instead of returning it to the pool.
    void discard();

private:
    std::shared_ptr<ConnectionPool> pool;
    std::unique_ptr<BackendConnection> connection;
    uint64_t epoch = 0;
};

// The pooled connections of a home to one backend server under one claim. It belongs to one fiber thread, and all calls come from
// fibers of that thread. While a claim is set, the pool replaces closed connections at the rate of its settings.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
    static std::shared_ptr<ConnectionPool> create(ConnectionPoolSettings);

    // Uses the claim of the given epoch from now on and closes all idle connections of other epochs.
    void setClaim(uint64_t epoch);

    // Closes the idle connections and opens no others until the next setClaim. A leased connection is closed when its lease ends.
    void clearClaim();

    // Returns the epoch that connections are opened under. Empty without a claim, also after the server has refused the claim.
    std::optional<uint64_t> claim() const { return this->claimEpoch; }

    // Waits for a free connection. Waiting requests are served in no particular order; the queue in front of the pool admits no
    // more requests than there are connections. Fails with NotHome if there is no claim or it is lost, with DeadlineExceeded if no
    // connection becomes free in time, and with PeerUnavailable if the server cannot be reached. No statement has been sent in any
    // of these cases.
    Result<ConnectionLease> acquire(TimePoint deadline);

    // Returns the number of connections that are open or being opened, leased or idle.
    size_t openCount() const { return this->connectionCount; }
    size_t idleCount() const { return this->idleConnections.size(); }

private:
    friend class ConnectionLease;

    explicit ConnectionPool(ConnectionPoolSettings);
    std::optional<ConnectionLease> takeIdle();
    void openMissingConnections();
    static void openConnection(const std::weak_ptr<ConnectionPool>&, uint64_t epoch, TimePoint startAt);
    void finishOpening(Result<std::unique_ptr<BackendConnection>>, uint64_t epoch);
    void release(std::unique_ptr<BackendConnection>, uint64_t epoch);
    void recordClosedConnection(uint64_t epoch);
    void closeIdle();

    ConnectionPoolSettings settings;
    RefillPacer pacer;
    std::optional<uint64_t> claimEpoch;
    // Counts only the connections of the current claim.
    size_t connectionCount = 0;
    std::deque<std::unique_ptr<BackendConnection>> idleConnections;
    // The error of the last attempt to open a connection. Empty after a successful one.
    std::optional<Error> lastOpenError;
    // Needed only by the condition variable, as the pool belongs to one thread.
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable availabilityCondition;
};

}
