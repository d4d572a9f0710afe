#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/DirectLink.h"
#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/scheduling/ConcurrencyWindow.h"
#include "foxtailtrail/scheduling/ConnectionLimit.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace foxtail {

// A pool of this VM's own connections to one backend server. Each connection belongs to one organisation. When the pool has reached
// its maximum size, it closes an idle connection of another organisation to make room.
class DirectPool final : public LinkPool, public std::enable_shared_from_this<DirectPool> {
public:
    // Called with the outcome of each opening, for failure detection.
    using OpenListener = std::function<void(const BackendServerId&, LinkOpenOutcome)>;

    DirectPool(boost::asio::io_context&, const BackendCodec&, const ServerEntry&, OpenListener);

    uint64_t acquire(const LinkRequest&, AcquireCallback) override;
    void cancel(uint64_t ticket) override;
    void release(const std::shared_ptr<BackendLink>&) override;
    void drop(const std::shared_ptr<BackendLink>&) override;
    void recordBusy() override;
    void recordReply() override;
    void recordServiceTime(Duration, bool hasFailed) override;
    bool hasFreeLink(const std::string& organisation) const override;
    std::optional<ServerLoad> load() const override;
    uint32_t outstandingRequests() const override { return static_cast<uint32_t>(this->inUse.size() + this->waiters.size()); }

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
        uint64_t ticket = 0;
        LinkRequest request;
        TimePoint queuedAt {};
        AcquireCallback callback;
    };
    struct PendingOpening {
        std::shared_ptr<DirectLink> link;
        TimePoint deadline {};
    };
    std::shared_ptr<DirectLink> takeFreeLink(const std::string& organisation);
    // Returns the number of connections that occupy a slot of the server. A connection whose transaction is idle between statements
    // occupies none.
    size_t slotsInUse() const;
    // Returns whether another statement may be sent to the server now.
    bool maySendStatement(TimePoint now) const { return now >= this->busyUntil && this->slotsInUse() < this->window.size(); }
    // Schedules serveWaiters() for the given time.
    void serveWaitersAt(TimePoint);
    void openFor(const std::string& organisation);
    void handleOpenOutcome(LinkOpenOutcome, const std::shared_ptr<DirectLink>&);
    void serveWaiters();
    void serveEligibleWaiters();
    // Returns the waiter to serve next, or the end iterator.
    std::list<Waiter>::iterator nextWaiter();
    std::shared_ptr<DirectLink> removeFromInUse(const std::shared_ptr<BackendLink>&);
    void failWaiters(AcquireOutcome);
    void closeLongestIdle();
    // Returns whether a request for the organisation is waiting.
    bool hasWaiter(const std::string& organisation) const;

    boost::asio::io_context& context;
    const BackendCodec& codec;
    OpenListener openListener;
    std::list<Waiter> waiters;
    // Ordered by last use; the most recently used connection is at the back.
    std::list<std::shared_ptr<DirectLink>> idle;
    std::list<PendingOpening> pendingOpenings;
    std::map<BackendLink*, std::shared_ptr<DirectLink>> inUse;
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
