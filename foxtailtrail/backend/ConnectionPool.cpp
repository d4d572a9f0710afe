#include "foxtailtrail/backend/ConnectionPool.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"

#include <cassert>
#include <mutex>
#include <utility>

namespace foxtail {

namespace {

    // After a failed opening the next attempt waits this long, so that a server that is down is not asked all the time.
    constexpr Duration retryPause = std::chrono::milliseconds(50);

}

ConnectionLease::ConnectionLease(std::shared_ptr<ConnectionPool> owner, std::unique_ptr<BackendConnection> leased, uint64_t claimEpoch)
    : pool(std::move(owner))
    , connection(std::move(leased))
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
    this->total = 0;
    this->lastFailure.reset();
    this->fill();
    this->availabilityCondition.notify_all();
}

void ConnectionPool::clearClaim()
{
    this->closeIdle();
    this->claimEpoch.reset();
    this->total = 0;
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
        if (timedOut && this->idle.empty() && this->claimEpoch)
            return this->lastFailure ? fail(ErrorKind::PeerUnavailable, this->lastFailure->detail)
                                     : fail(ErrorKind::DeadlineExceeded, "no connection to the backend server became free");
    }
}

std::optional<ConnectionLease> ConnectionPool::takeIdle()
{
    while (!this->idle.empty()) {
        std::unique_ptr<BackendConnection> connection = std::move(this->idle.front());
        this->idle.pop_front();
        // The server may have closed it meanwhile.
        if (connection->isReusable())
            return ConnectionLease(this->shared_from_this(), std::move(connection), *this->claimEpoch);
        this->recordClosedConnection(*this->claimEpoch);
    }
    return std::nullopt;
}

void ConnectionPool::fill()
{
    while (this->claimEpoch && this->total < this->settings.size) {
        ++this->total;
        const TimePoint earliest = this->lastFailure ? now() + retryPause : now();
        const TimePoint start = this->pacer.reserve(earliest);
        startFiber([pool = this->weak_from_this(), epoch = *this->claimEpoch, start] { openConnection(pool, epoch, start); });
    }
}

void ConnectionPool::openConnection(const std::weak_ptr<ConnectionPool>& weakPool, uint64_t epoch, TimePoint start)
{
    sleepUntil(start);
    ConnectionPoolSettings settings;
    if (const std::shared_ptr<ConnectionPool> pool = weakPool.lock(); pool && pool->claimEpoch == epoch)
        settings = pool->settings;
    else
        return;
    // The pool may go away while the connection is opened.
    const std::string name = "foxtail/" + settings.holder + "/" + std::to_string(epoch);
    auto opened = BackendConnection::connect({ settings.address, settings.port, name }, now() + settings.connectTimeout);
    if (const std::shared_ptr<ConnectionPool> pool = weakPool.lock(); pool && pool->claimEpoch == epoch)
        pool->finishOpening(std::move(opened), epoch);
}

void ConnectionPool::finishOpening(Result<std::unique_ptr<BackendConnection>> opened, uint64_t epoch)
{
    if (opened) {
        this->lastFailure.reset();
        this->release(std::move(opened.value()), epoch);
        return;
    }
    this->lastFailure = opened.error();
    // The server knows a newer claim, or none: nothing can be opened under this one again.
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
    this->idle.push_back(std::move(connection));
    this->availabilityCondition.notify_one();
}

void ConnectionPool::recordClosedConnection(uint64_t epoch)
{
    if (this->claimEpoch != epoch)
        return;
    assert(this->total);
    --this->total;
    this->fill();
}

void ConnectionPool::closeIdle() { this->idle.clear(); }

}
