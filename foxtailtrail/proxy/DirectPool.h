#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/DirectLink.h"
#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/scheduling/ConcurrencyWindow.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace foxtail {

// This VM's connections to one backend server. A connection belongs to one organisation; a free one of another organisation is
// closed to make room when the VM's budget is used up.
class DirectPool final : public LinkPool, public std::enable_shared_from_this<DirectPool> {
public:
    // Told of each opening's end, for the detection of failures.
    using OpenListener = std::function<void(const BackendServerId&, LinkOpenOutcome)>;

    DirectPool(boost::asio::io_context&, const BackendCodec&, const ServerEntry&, OpenListener);

    uint64_t acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, AcquireCallback) override;
    void cancel(uint64_t ticket) override;
    void release(const std::shared_ptr<BackendLink>&) override;
    void drop(const std::shared_ptr<BackendLink>&) override;
    void recordBusy() override;
    void recordReply() override;
    bool hasFreeLink(const std::string& organisation) const override;
    uint32_t outstandingRequests() const override { return static_cast<uint32_t>(this->inUse.size() + this->waiters.size()); }

    // Connections, open or being opened.
    size_t size() const { return this->inUse.size() + this->idle.size() + this->pendingOpenings.size(); }
    // Sets how many connections this VM may hold, and how many it keeps when they are idle.
    void setSizeLimits(size_t most, size_t kept);
    // Ends overdue requests and openings, and closes connections that have been idle for long.
    void sweep(TimePoint now);
    // Closes the idle connections and refuses new requests: the server leaves.
    void retire();

private:
    struct Waiter {
        uint64_t ticket = 0;
        std::string organisation;
        uint32_t priority = 0;
        TimePoint queuedAt {};
        TimePoint giveUpAt {};
        AcquireCallback callback;
    };
    struct PendingOpening {
        std::shared_ptr<DirectLink> link;
        TimePoint deadline {};
    };
    std::shared_ptr<DirectLink> takeFreeLink(const std::string& organisation);
    // Connections that take a slot of the server. A transaction that rests between its statements takes none.
    size_t slotsInUse() const;
    // Whether another statement may be sent to the server now.
    bool maySendStatement(TimePoint now) const { return now >= this->busyUntil && this->slotsInUse() < this->window.size(); }
    // Has the waiters looked at again at the given time.
    void serveWaitersAt(TimePoint);
    void openFor(const std::string& organisation);
    void handleOpenOutcome(LinkOpenOutcome, const std::shared_ptr<DirectLink>&);
    void serveWaiters();
    void serveWhilePossible();
    // The waiter that is served next, or the end.
    std::list<Waiter>::iterator nextWaiter();
    // Takes a connection out of use.
    std::shared_ptr<DirectLink> removeFromInUse(const std::shared_ptr<BackendLink>&);
    void failWaiters(AcquireOutcome);
    // Closes the connection that has been idle for the longest time.
    void closeLongestIdle();
    // Whether a request for the organisation waits.
    bool hasWaiter(const std::string& organisation) const;

    boost::asio::io_context& context;
    const BackendCodec& codec;
    OpenListener openListener;
    std::list<Waiter> waiters;
    // The most recently used connection is at the back.
    std::list<std::shared_ptr<DirectLink>> idle;
    std::list<PendingOpening> pendingOpenings;
    std::map<BackendLink*, std::shared_ptr<DirectLink>> inUse;
    std::map<std::string, size_t> inUseByOrganisation;
    size_t maxSize = 2;
    size_t coreSize = 1;
    // After a refusal for too many connections, none is opened until this time.
    TimePoint openBackoffUntil {};
    ConcurrencyWindow window;
    // After a refusal as busy, nothing is sent until this time.
    TimePoint busyUntil {};
    std::minstd_rand random;
    uint64_t nextTicket = 1;
    bool retired = false;
    // Set while waiters are being served.
    bool serving = false;
};

}
