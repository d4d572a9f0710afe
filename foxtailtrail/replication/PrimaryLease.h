#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <optional>

namespace foxtail {

// How long after the last proof of leadership a VM may still read at a primary. A promotion without a confirmed end of the old
// primary waits this long after the replicas stopped receiving from it.
constexpr Duration primaryLeaseLifetime = std::chrono::milliseconds(700);

// What one VM knows about the leadership of a group's primary. An acknowledged commit proves that a replica still received from
// the primary when the commit was sent; a replica's own word that it is not paused proves the same.
class PrimaryLease {
public:
    // Records a proof that the server led at the given time.
    void renew(const BackendServerId& server, TimePoint at)
    {
        if (this->primary == server) {
            if (at > this->renewedAt)
                this->renewedAt = at;
            return;
        }
        this->primary = server;
        this->renewedAt = at;
    }

    // Whether the server may be read from as the primary at the given time.
    bool isHeldBy(const BackendServerId& server, TimePoint at) const
    {
        return this->primary == server && at <= this->renewedAt + primaryLeaseLifetime;
    }

    // When the server was last proved to lead, or nothing.
    std::optional<TimePoint> lastRenewalAt(const BackendServerId& server) const
    {
        return this->primary == server ? std::optional(this->renewedAt) : std::nullopt;
    }

    // Ends the lease, after a change of primary.
    void revoke() { this->primary = BackendServerId(); }

private:
    BackendServerId primary;
    TimePoint renewedAt {};
};

}
