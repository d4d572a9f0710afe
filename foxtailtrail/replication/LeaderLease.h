#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <optional>

namespace foxtail {

// How long after the last proof of leadership a VM may still read at a primary. A promotion without a confirmed end of the old
// primary waits this long after the replicas stopped receiving from it.
constexpr Duration leaderLeaseTime = std::chrono::milliseconds(700);

// What one VM knows about the leadership of a group's primary. An acknowledged commit proves that a replica still received from
// the primary when the commit was sent; a replica's own word that it is not paused proves the same.
class LeaderLease {
public:
    // Records a proof that the server led at the given time.
    void prove(const BackendServerId& server, TimePoint at)
    {
        if (this->leader == server) {
            if (at > this->provenAt)
                this->provenAt = at;
            return;
        }
        this->leader = server;
        this->provenAt = at;
    }

    // Whether the server may be read from as the primary at the given time.
    bool covers(const BackendServerId& server, TimePoint at) const
    {
        return this->leader == server && at <= this->provenAt + leaderLeaseTime;
    }

    // When the server was last proved to lead, or nothing.
    std::optional<TimePoint> provenFor(const BackendServerId& server) const
    {
        return this->leader == server ? std::optional(this->provenAt) : std::nullopt;
    }

    // Ends the lease, after a change of primary.
    void revoke() { this->leader = BackendServerId(); }

private:
    BackendServerId leader;
    TimePoint provenAt {};
};

}
