#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendLink.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtail {

// A way to connections to one backend server: this VM's own, or those of another VM. A connection belongs to one organisation.
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

    // Asks for a connection for the organisation. The callback may run before the call returns. Returns a ticket for cancel(), or 0.
    virtual uint64_t acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, AcquireCallback) = 0;
    // Withdraws a request whose callback has not run.
    virtual void cancel(uint64_t ticket) = 0;
    // Gives a connection back. One that is not clean is closed.
    virtual void release(const std::shared_ptr<BackendLink>&) = 0;
    // Forgets a connection that is lost or was closed by its user.
    virtual void drop(const std::shared_ptr<BackendLink>&) = 0;

    // The server refused a statement as busy: this VM sends less to it for a while.
    virtual void recordBusy() = 0;
    // The server answered a statement.
    virtual void recordReply() = 0;

    // Whether a connection for the organisation is there without an opening.
    virtual bool hasFreeLink(const std::string& organisation) const = 0;
    // Statements that run on the server or wait for a connection.
    virtual uint32_t outstandingRequests() const = 0;

    const ServerEntry& server() const { return this->entry; }
    void updateEntry(const ServerEntry& changed) { this->entry = changed; }

private:
    ServerEntry entry;
};

}
