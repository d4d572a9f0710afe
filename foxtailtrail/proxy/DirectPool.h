#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/DirectLink.h"
#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/scheduling/ConcurrencyWindow.h"
#include "foxtailtrail/scheduling/ConnectionLimit.h"
#include "foxtailtrail/scheduling/ConnectionValue.h"
#include "foxtailtrail/scheduling/OpeningPolicy.h"
#include "foxtailtrail/scheduling/ServerThroughput.h"
#include "foxtailtrail/scheduling/StatementQueue.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace foxtail {

// Handlers for what happens in a pool.
struct PoolListener {
    // Called with the outcome of each opening, for failure detection.
    std::function<void(const BackendServerId&, LinkOpenOutcome)> onOpening;
    // Called when a request that has waited gets a connection.
    std::function<void(Duration waited)> onWaited;
    // Called when a request is refused, with the reason: "no hope" or "expired".
    std::function<void(std::string_view reason)> onRefusal;
};

// A pool of this VM's own connections to one backend server, and the queue of the statements for this server. Each connection belongs to
// one organisation. When the pool has reached its maximum size, it closes an idle connection of another organisation to make room.
class DirectPool final : public LinkPool, public std::enable_shared_from_this<DirectPool> {
public:
    DirectPool(boost::asio::io_context&, const BackendCodec&, const ServerEntry&, PoolListener);

    uint64_t acquire(const LinkRequest&, AcquireCallback) override;
    void cancel(uint64_t ticket) override;
    void release(const std::shared_ptr<BackendLink>&) override;
    void drop(const std::shared_ptr<BackendLink>&) override;
    void recordBusy() override;
    void recordReply(TimePoint sentAt) override;
    std::optional<TimePoint> nextReturnAt() override;
    void recordServiceTime(Duration, bool hasFailed) override;
    bool hasFreeLink(const std::string& organisation) const override;
    std::optional<ServerLoad> load() const override;
    uint32_t outstandingRequests() const override { return static_cast<uint32_t>(this->inUse.size() + this->waiters.size()); }

    size_t waitingCount() const { return this->waiters.size(); }
    // Returns the number of connections, open or being opened.
    size_t size() const { return this->inUse.size() + this->idle.size() + this->pendingOpenings.size(); }
    // Sets the maximum number of connections, and the number up to which idle connections are kept.
    void setSizeLimits(size_t newMaxSize, size_t newCoreSize);
    // Ends requests and openings that have timed out, and closes connections that have exceeded their idle timeout.
    void sweep(TimePoint now);
    // Closes the idle connections and rejects new requests, because the server has been removed.
    void retire();

private:
    struct Waiter {
        LinkRequest request;
        TimePoint queuedAt {};
        AcquireCallback callback;
    };
    struct PendingOpening {
        std::shared_ptr<DirectLink> link;
        TimePoint startedAt {};
        TimePoint deadline {};
    };
    struct InUseLink {
        std::shared_ptr<DirectLink> link;
        TimePoint takenAt {};
    };
    std::shared_ptr<DirectLink> takeFreeLink(const std::string& organisation);
    // Returns the number of connections that occupy a slot of the server. A connection whose transaction is idle between statements
    // occupies none.
    size_t slotsInUse() const;
    // Returns whether another statement may be sent to the server now.
    bool maySendStatement(TimePoint now) const { return now >= this->busyUntil && this->slotsInUse() < this->window.size(); }
    ServerPace pace(TimePoint now) const;
    // Schedules serveWaiters() for the given time.
    void serveWaitersAt(TimePoint);
    void openFor(const std::string& organisation, TimePoint now);
    void handleOpenOutcome(LinkOpenOutcome, const std::shared_ptr<DirectLink>&);
    void serveWaiters();
    // Serves the first waiter in the queue's order for which there is a connection, and opens connections for those before it. Returns
    // whether a waiter was served.
    bool serveNextWaiter(TimePoint now);
    // Opens a connection for a waiter if that is the shorter way for it. The organisation has this many waiters before it.
    void considerOpening(const Waiter&, size_t waitersBefore, TimePoint now);
    AcquireCallback removeWaiter(uint64_t ticket);
    // Rejects waiters that cannot be served in time.
    void rejectHopelessWaiters(TimePoint now);
    std::shared_ptr<DirectLink> removeFromInUse(const std::shared_ptr<BackendLink>&);
    void failWaiters(AcquireOutcome);
    // Closes the idle connection of the organisation that has the least use for it.
    void closeLeastValuableIdle();
    // Returns whether a request for the organisation is waiting.
    bool hasWaiter(const std::string& organisation) const;

    boost::asio::io_context& context;
    const BackendCodec& codec;
    PoolListener listener;
    // The waiters by ticket. The queue holds the same tickets.
    std::map<uint64_t, Waiter> waiters;
    StatementQueue queue;
    ServerThroughput throughput;
    OpeningPolicy openingPolicy;
    ConnectionValue connectionValue;
    // Ordered by last use; the most recently used connection is at the back.
    std::list<std::shared_ptr<DirectLink>> idle;
    std::list<PendingOpening> pendingOpenings;
    std::map<BackendLink*, InUseLink> inUse;
    std::map<std::string, size_t> inUseByOrganisation;
    ConnectionLimit limit;
    size_t coreSize = 1;
    ConcurrencyWindow window;
    ServiceTimeAverage serviceTime;
    // After a Busy error, no statement is sent until this time.
    TimePoint busyUntil {};
    std::minstd_rand random;
    uint64_t nextTicket = 1;
    bool isRetired = false;
    // Whether serveWaiters() is running, to prevent recursion.
    bool isServingWaiters = false;
};

}
