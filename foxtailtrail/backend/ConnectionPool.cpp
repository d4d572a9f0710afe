#include "foxtailtrail/backend/ConnectionPool.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"

#include <cassert>
#include <mutex>
#include <utility>

namespace foxtail {

namespace {

    // The delay after a failed attempt, so that the pool does not retry in a tight loop while the server is down.
    constexpr Duration openRetryDelay = std::chrono::milliseconds(50);

}

ConnectionLease::ConnectionLease(
    std::shared_ptr<ConnectionPool> owner, std::unique_ptr<BackendConnection> leasedConnection, uint64_t claimEpoch)
    : pool(std::move(owner))
    , connection(std::move(leasedConnection))
    , epoch(claimEpoch)
{
}

ConnectionLease::~ConnectionLease()
{
    if (this->pool)
        this->pool->release(std::move(this->connection), this->epoch);
}

void ConnectionLease::discard()
{
    this->connection.reset();
    std::exchange(this->pool, nullptr)->release(nullptr, this->epoch);
}

ConnectionPool::ConnectionPool(ConnectionPoolSettings poolSettings)
    : settings(std::move(poolSettings))
    , pacer(this->settings.refill)
{
}

std::shared_ptr<ConnectionPool> ConnectionPool::create(ConnectionPoolSettings settings)
{
    return std::shared_ptr<ConnectionPool>(new ConnectionPool(std::move(settings)));
}

void ConnectionPool::setClaim(uint64_t epoch)
{
    if (this->claimEpoch == epoch)
        return;
    this->closeIdle();
    this->claimEpoch = epoch;
    this->connectionCount = 0;
    this->lastOpenError.reset();
    this->openMissingConnections();
    this->availabilityCondition.notify_all();
}

void ConnectionPool::clearClaim()
{
    this->closeIdle();
    this->claimEpoch.reset();
    this->connectionCount = 0;
    this->availabilityCondition.notify_all();
}

Result<ConnectionLease> ConnectionPool::acquire(TimePoint deadline)
{
    std::unique_lock<boost::fibers::mutex> lock(this->mutex);
    while (true) {
        if (!this->claimEpoch)
            return fail(ErrorKind::NotHome, "this VM holds no claim on the backend server");
        if (std::optional<ConnectionLease> lease = this->takeIdle())
            return std::move(*lease);
        const bool timedOut = this->availabilityCondition.wait_until(lock, toSteady(deadline)) == boost::fibers::cv_status::timeout;
        if (timedOut && this->idleConnections.empty() && this->claimEpoch)
            return this->lastOpenError ? fail(ErrorKind::PeerUnavailable, this->lastOpenError->detail)
                                       : fail(ErrorKind::DeadlineExceeded, "timed out waiting for a free connection to the backend server");
    }
}

std::optional<ConnectionLease> ConnectionPool::takeIdle()
{
    while (!this->idleConnections.empty()) {
        std::unique_ptr<BackendConnection> connection = std::move(this->idleConnections.front());
        this->idleConnections.pop_front();
        // The server may have closed the connection while it was idle.
        if (connection->isReusable())
            return ConnectionLease(this->shared_from_this(), std::move(connection), *this->claimEpoch);
        this->recordClosedConnection(*this->claimEpoch);
    }
    return std::nullopt;
}

void ConnectionPool::openMissingConnections()
{
    while (this->claimEpoch && this->connectionCount < this->settings.size) {
        ++this->connectionCount;
        const TimePoint earliestStartAt = this->lastOpenError ? now() + openRetryDelay : now();
        const TimePoint startAt = this->pacer.reserve(earliestStartAt);
        startFiber([pool = this->weak_from_this(), epoch = *this->claimEpoch, startAt] { openConnection(pool, epoch, startAt); });
    }
}

void ConnectionPool::openConnection(const std::weak_ptr<ConnectionPool>& weakPool, uint64_t epoch, TimePoint startAt)
{
    sleepUntil(startAt);
    ConnectionPoolSettings settings;
    if (const std::shared_ptr<ConnectionPool> pool = weakPool.lock(); pool && pool->claimEpoch == epoch)
        settings = pool->settings;
    else
        return;
    // The pool may be destroyed while the connection is being opened.
    const std::string name = "foxtail/" + settings.holder + "/" + std::to_string(epoch);
    auto opened = BackendConnection::connect({ settings.address, settings.port, name }, now() + settings.connectTimeout);
    if (const std::shared_ptr<ConnectionPool> pool = weakPool.lock(); pool && pool->claimEpoch == epoch)
        pool->finishOpening(std::move(opened), epoch);
}

void ConnectionPool::finishOpening(Result<std::unique_ptr<BackendConnection>> opened, uint64_t epoch)
{
    if (opened) {
        this->lastOpenError.reset();
        this->release(std::move(opened.value()), epoch);
        return;
    }
    this->lastOpenError = opened.error();
    // The server has a newer claim or none, so no connection can be opened under this claim any more.
    if (opened.error().kind == ErrorKind::NotHome)
        return this->clearClaim();
    this->recordClosedConnection(epoch);
}

void ConnectionPool::release(std::unique_ptr<BackendConnection> connection, uint64_t epoch)
{
    if (this->claimEpoch != epoch)
        return;
    if (!connection || !connection->isReusable()) {
        connection.reset();
        this->recordClosedConnection(epoch);
        return;
    }
    this->idleConnections.push_back(std::move(connection));
    this->availabilityCondition.notify_one();
}

void ConnectionPool::recordClosedConnection(uint64_t epoch)
{
    if (this->claimEpoch != epoch)
        return;
    assert(this->connectionCount);
    --this->connectionCount;
    this->openMissingConnections();
}

void ConnectionPool::closeIdle() { this->idleConnections.clear(); }

}
