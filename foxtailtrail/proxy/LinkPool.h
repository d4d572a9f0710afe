#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendLink.h"
#include "foxtailtrail/replication/ServerDirectory.h"
#include "foxtailtrail/replication/ServerLoad.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// A request for a connection to a backend server.
struct LinkRequest {
    std::string organisation;
    // 0 is the highest priority.
    uint32_t priority = 0;
    // The request fails with Exhausted when there is no connection by this time.
    TimePoint giveUpAt {};
    // When the operation should end by the latency objective of its route.
    TimePoint objectiveAt = TimePoint::max();
    // Whether the request serves the proxy's own work, such as the renewal of a lease. It goes before all others.
    bool isControl = false;
};

// A pool of connections to one backend server, either this VM's own or those of a relay. Each connection belongs to one
// organisation.
class LinkPool {
public:
    using AcquireCallback = std::function<void(AcquireOutcome, std::shared_ptr<BackendLink>)>;

    explicit LinkPool(ServerEntry entry)
        : entry(std::move(entry))
    {
    }
    virtual ~LinkPool() = default;
    LinkPool(const LinkPool&) = delete;
    LinkPool& operator=(const LinkPool&) = delete;

    // Requests a connection. The callback may run before the call returns. Returns a ticket for cancel(), or 0 when there is no request
    // to cancel.
    virtual uint64_t acquire(const LinkRequest&, AcquireCallback) = 0;
    // Cancels a request whose callback has not run.
    virtual void cancel(uint64_t ticket) = 0;
    // Returns a connection to the pool. A connection that is not reusable is closed.
    virtual void release(const std::shared_ptr<BackendLink>&) = 0;
    // Removes a connection that was lost or must be closed.
    virtual void drop(const std::shared_ptr<BackendLink>&) = 0;

    // Records a Busy error; this VM sends fewer statements to the server for a while.
    virtual void recordBusy() = 0;
    // Records a reply to a statement that was sent at the given time.
    virtual void recordReply(TimePoint sentAt) = 0;
    // Returns when a request that has just failed with Exhausted may return, if the pool knows. Each call gives out a later time.
    virtual std::optional<TimePoint> nextReturnAt() { return std::nullopt; }
    // Records how long a statement ran that the server has ended, and whether it failed.
    virtual void recordServiceTime(Duration, bool /*hasFailed*/) { }

    // Returns whether a connection for the organisation is available without opening one.
    virtual bool hasFreeLink(const std::string& organisation) const = 0;
    // Returns the number of statements that run on the server or wait for a connection.
    virtual uint32_t outstandingRequests() const = 0;
    // Returns the load of the server as far as this pool knows it. A pool of this VM's own connections knows only the statements that run
    // on them.
    virtual std::optional<ServerLoad> load() const { return std::nullopt; }
    // Returns the number of statements that this VM has sent since the load was reported.
    virtual uint32_t sentSinceReport() const { return 0; }
    // Returns when the oldest statement was sent that has no reply, where the load does not show it until then.
    virtual std::optional<TimePoint> oldestUnansweredAt() const { return std::nullopt; }

    const ServerEntry& server() const { return this->entry; }
    void updateEntry(const ServerEntry& changed) { this->entry = changed; }

private:
    ServerEntry entry;
};

}
