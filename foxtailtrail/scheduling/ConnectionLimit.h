#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace foxtail {

// Decides whether a pool opens a further connection to a backend server, or closes one of another organisation first. It answers the load
// in which several VMs together want more connections than the server accepts, for example when a network partition leaves each side with a
// relay of its own. A server resets a connection above its maximum. The number of connections that this VM holds at that time becomes its
// limit, which the pool tries to exceed after a delay; once the server accepts a connection above it, the next try needs no delay.
class ConnectionLimit {
public:
    // Sets this VM's share of the connections that the server accepts. The limit never exceeds it.
    void setMaximum(size_t newMaximum) { this->maximum = newMaximum; }
    // Returns whether a pool with this many connections, open or being opened, must close one before it opens another.
    bool mustReplace(size_t size, TimePoint now) const { return size >= this->maximum || (size >= this->limit && now < this->nextTryAt); }
    // Handles the start of an opening by a pool with this many connections.
    void recordAttempt(size_t size, TimePoint now);
    // Handles the refusal of a connection by a full server; the pool holds this many open connections. The jitter, from 0 to 1, prevents
    // VMs from trying at the same time.
    void recordRefusal(size_t held, TimePoint now, double jitter);
    // Handles an opening after which the pool holds this many open connections.
    void recordOpening(size_t held, TimePoint now);

    // Returns the time before which no connection may be opened, also not in place of another one.
    TimePoint pausedUntil() const { return this->pauseEndsAt; }

private:
    size_t maximum = 2;
    // The number of connections held when the server was last full.
    size_t limit = SIZE_MAX;
    // When the pool may next exceed the limit.
    TimePoint nextTryAt {};
    TimePoint pauseEndsAt {};
    // Refusals since the last opening above the limit.
    unsigned consecutiveRefusals = 0;
};

}
