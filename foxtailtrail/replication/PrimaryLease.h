#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <optional>

namespace foxtail {

// How long a VM may read at a primary after the last proof that it leads. A promotion that got no confirmation that the old
// primary has stopped waits this long after the replicas stopped receiving from it.
constexpr Duration primaryLeaseLifetime = std::chrono::milliseconds(700);

// One VM's lease for reads at the primary of a group. An acknowledged commit proves that a replica still received from the
// primary when the commit was sent. A replica's report that it is not paused proves the same.
class PrimaryLease {
public:
    // Records a proof that the server led at the given time.
    void renew(const BackendServerId& server, TimePoint provenAt)
    {
        if (this->primary == server) {
            if (provenAt > this->renewedAt)
                this->renewedAt = provenAt;
            return;
        }
        this->primary = server;
        this->renewedAt = provenAt;
    }

    // Returns whether this VM may read from the server as the primary at the given time.
    bool isHeldBy(const BackendServerId& server, TimePoint readAt) const
    {
        return this->primary == server && readAt <= this->renewedAt + primaryLeaseLifetime;
    }

    // Returns when the server was last proven to lead, or std::nullopt.
    std::optional<TimePoint> lastRenewalAt(const BackendServerId& server) const
    {
        return this->primary == server ? std::optional(this->renewedAt) : std::nullopt;
    }

    // Revokes the lease after a change of primary.
    void revoke() { this->primary = BackendServerId(); }

private:
    BackendServerId primary;
    TimePoint renewedAt {};
};

}
