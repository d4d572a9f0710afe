#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendLink.h"
#include "foxtailtrail/scheduling/ConcurrencyWindow.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace foxtail {

// How a request for a connection ended.
enum class Acquisition : uint8_t {
    Acquired,
    Refused,
    Unreachable,
    // All connections that this VM may hold, or the server accepts, are in use.
    Full,
    // The address belongs to another server, or this one is gone.
    Gone,
};

// This VM's connections to one backend server. A connection belongs to one organisation; a free one of another organisation is
// closed to make room when the VM's budget is used up.
class ServerPool : public std::enable_shared_from_this<ServerPool> {
public:
    using Callback = std::function<void(Acquisition, std::shared_ptr<BackendLink>)>;
    // Told of each opening's end, for the detection of failures.
    using OpeningObserver = std::function<void(const BackendServerId&, LinkOpening)>;

    ServerPool(boost::asio::io_context&, const BackendCodec&, ServerEntry, OpeningObserver);

    // Asks for a connection for the organisation. The callback may run before the call returns. Returns a ticket for cancel(), or 0.
    uint64_t acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, Callback);
    // Withdraws a request whose callback has not run.
    void cancel(uint64_t ticket);
    // Gives a connection back. One that is not clean is closed.
    void release(const std::shared_ptr<BackendLink>&);
    // Forgets a connection that is lost or was closed by its user.
    void drop(const std::shared_ptr<BackendLink>&);

    // The server refused a statement as busy: this VM sends less to it for a while.
    void noteBusy();
    // The server answered a statement.
    void noteAnswer() { this->window.noteAnswer(); }

    bool hasFree(const std::string& organisation) const;
    // Statements that run on the server or wait for a connection.
    uint32_t outstanding() const { return static_cast<uint32_t>(this->inUse + this->waiters.size()); }
    // Connections, open or being opened.
    size_t size() const { return this->inUse + this->idle.size() + this->opening.size(); }

    // Sets how many connections this VM may hold, and how many it keeps when they are idle.
    void setBudget(size_t most, size_t kept);
    // Ends overdue requests and openings, and closes connections that have been idle for long.
    void sweep(TimePoint now);
    // Closes the idle connections and refuses new requests: the server leaves.
    void retire();

    const ServerEntry& server() const { return this->entry; }
    void updateEntry(const ServerEntry& changed) { this->entry = changed; }

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
        std::shared_ptr<BackendLink> link;
        TimePoint deadline {};
    };
    std::shared_ptr<BackendLink> takeFree(const std::string& organisation);
    // Whether another statement may be sent to the server now.
    bool mayStart(TimePoint now) const { return now >= this->busyUntil && this->inUse < this->window.size(); }
    // Has the waiters looked at again at the given time.
    void serveWaitersAt(TimePoint);
    void openFor(const std::string& organisation);
    void opened(LinkOpening, const std::shared_ptr<BackendLink>&);
    void serveWaiters();
    // The waiter that is served next, or the end.
    std::list<Waiter>::iterator nextWaiter();
    // Counts a connection as not used any more.
    void endUse(BackendLink&);
    void failWaiters(Acquisition);
    // Closes the connection that has been idle for the longest time.
    void closeOldest();
    // Whether a request for the organisation waits.
    bool isWanted(const std::string& organisation) const;

    boost::asio::io_context& context;
    const BackendCodec& codec;
    ServerEntry entry;
    OpeningObserver observer;
    std::list<Waiter> waiters;
    // The most recently used connection is at the back.
    std::list<std::shared_ptr<BackendLink>> idle;
    std::list<Opening> opening;
    size_t inUse = 0;
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
};

}
