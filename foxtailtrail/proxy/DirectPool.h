#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/DirectLink.h"
#include "foxtailtrail/proxy/ServerPool.h"
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
class DirectPool final : public ServerPool, public std::enable_shared_from_this<DirectPool> {
public:
    // Told of each opening's end, for the detection of failures.
    using OpeningObserver = std::function<void(const BackendServerId&, LinkOpening)>;

    DirectPool(boost::asio::io_context&, const BackendCodec&, const ServerEntry&, OpeningObserver);

    uint64_t acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, Callback) override;
    void cancel(uint64_t ticket) override;
    void release(const std::shared_ptr<BackendLink>&) override;
    void drop(const std::shared_ptr<BackendLink>&) override;
    void noteBusy() override;
    void noteAnswer() override;
    bool hasFree(const std::string& organisation) const override;
    uint32_t outstanding() const override { return static_cast<uint32_t>(this->inUse.size() + this->waiters.size()); }

    // Connections, open or being opened.
    size_t size() const { return this->inUse.size() + this->idle.size() + this->opening.size(); }
    // Sets how many connections this VM may hold, and how many it keeps when they are idle.
    void setBudget(size_t most, size_t kept);
    // Ends overdue requests and openings, and closes connections that have been idle for long.
    void sweep(TimePoint now);
    // Closes the idle connections and refuses new requests: the server leaves.
    void retire();

private:
    struct Waiter {
        uint64_t ticket = 0;
        std::string organisation;
        uint32_t priority = 0;
        TimePoint since {};
        TimePoint giveUpAt {};
        Callback callback;
    };
    struct Opening {
        std::shared_ptr<DirectLink> link;
        TimePoint deadline {};
    };
    std::shared_ptr<DirectLink> takeFree(const std::string& organisation);
    // Connections that take a slot of the server. A transaction that rests between its statements takes none.
    size_t running() const;
    // Whether another statement may be sent to the server now.
    bool mayStart(TimePoint now) const { return now >= this->busyUntil && this->running() < this->window.size(); }
    // Has the waiters looked at again at the given time.
    void serveWaitersAt(TimePoint);
    void openFor(const std::string& organisation);
    void opened(LinkOpening, const std::shared_ptr<DirectLink>&);
    void serveWaiters();
    void serveWhilePossible();
    // The waiter that is served next, or the end.
    std::list<Waiter>::iterator nextWaiter();
    // Takes a connection out of use.
    std::shared_ptr<DirectLink> endUse(const std::shared_ptr<BackendLink>&);
    void failWaiters(Acquisition);
    // Closes the connection that has been idle for the longest time.
    void closeOldest();
    // Whether a request for the organisation waits.
    bool isWanted(const std::string& organisation) const;

    boost::asio::io_context& context;
    const BackendCodec& codec;
    OpeningObserver observer;
    std::list<Waiter> waiters;
    // The most recently used connection is at the back.
    std::list<std::shared_ptr<DirectLink>> idle;
    std::list<Opening> opening;
    std::map<BackendLink*, std::shared_ptr<DirectLink>> inUse;
    std::map<std::string, size_t> inUseBy;
    size_t budget = 2;
    size_t keptIdle = 1;
    // After a refusal for too many connections, none is opened until this time.
    TimePoint fullUntil {};
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
