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

// The settings of one pool.
struct ConnectionPoolSettings {
    std::string address;
    uint16_t port = 0;
    // The name under which the home claims the server. The connections are named foxtail/<holder>/<epoch>.
    std::string holder;
    // The number of pooled connections, without those for monitoring, claims and promotion.
    size_t size = 1;
    Duration connectTimeout = std::chrono::seconds(1);
    RefillPacerSettings refill;
};

// A pooled connection in use. It goes back to the pool when the lease ends, or is closed when an answer is outstanding or a
// transaction is open, so that no request ever meets what another has left.
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

    // Closes the connection instead of giving it back.
    void discard();

private:
    std::shared_ptr<ConnectionPool> pool;
    std::unique_ptr<BackendConnection> connection;
    uint64_t epoch = 0;
};

// The pooled connections of a home to one backend server under one claim. It belongs to one fiber thread: all calls come from
// fibers of that thread. Once a claim is set the pool keeps itself full, at the pace of its settings.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
    static std::shared_ptr<ConnectionPool> create(ConnectionPoolSettings);

    // Uses the claim of the epoch from now on and closes all idle connections of other epochs.
    void setClaim(uint64_t epoch);

    // Closes the idle connections and opens no more until the next setClaim. Leases in use end on their own.
    void clearClaim();

    // The epoch that the connections are opened under. Empty without a claim, also after the server has refused it.
    std::optional<uint64_t> claim() const { return this->claimEpoch; }

    // A connection, as soon as one is free. The order among waiting requests is not kept; the queue in front of the pool lets
    // in no more requests than there are connections. Fails with NotHome when there is no claim or it is lost, with
    // DeadlineExceeded when none became free in time, and with PeerUnavailable when the server cannot be reached; in all cases
    // nothing was sent.
    Result<ConnectionLease> acquire(TimePoint deadline);

    // Connections that are open or being opened, in use or not.
    size_t openCount() const { return this->total; }
    size_t idleCount() const { return this->idle.size(); }

private:
    friend class ConnectionLease;

    explicit ConnectionPool(ConnectionPoolSettings);
    std::optional<ConnectionLease> takeIdle();
    void fill();
    static void openConnection(const std::weak_ptr<ConnectionPool>&, uint64_t epoch, TimePoint start);
    void finishOpening(Result<std::unique_ptr<BackendConnection>>, uint64_t epoch);
    void release(std::unique_ptr<BackendConnection>, uint64_t epoch);
    void recordClosedConnection(uint64_t epoch);
    void closeIdle();

    ConnectionPoolSettings settings;
    RefillPacer pacer;
    std::optional<uint64_t> claimEpoch;
    // Counts the connections of the present claim only.
    size_t total = 0;
    std::deque<std::unique_ptr<BackendConnection>> idle;
    // Why the last opening failed. Empty after one that succeeded.
    std::optional<Error> lastFailure;
    // Only for waiting: the pool belongs to one thread.
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable availabilityCondition;
};

}
