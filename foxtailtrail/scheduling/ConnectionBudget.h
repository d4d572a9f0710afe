#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <array>
#include <cstdint>

namespace foxtail {

// The purpose of a connection to a backend server.
enum class ConnectionPurpose : uint8_t {
    // Runs requests.
    Pooled,
    // Probes the server.
    Monitoring,
    // Sends fencing, promotion and claim commands.
    Reserved,
};

constexpr size_t connectionPurposeCount = 3;

// The division of the connections of one backend server.
struct ConnectionSplit {
    uint32_t pooled = 0;
    uint32_t monitoring = 0;
    uint32_t reserved = 0;

    uint32_t total() const { return this->pooled + this->monitoring + this->reserved; }
    uint32_t countFor(ConnectionPurpose) const;
    bool operator==(const ConnectionSplit&) const = default;
};

// Divides the connection cap of a database evenly among its servers: one connection for monitoring, two reserved, the rest pooled.
// Fails with CommandInvalid if fewer pooled connections than slots would be left.
Result<ConnectionSplit> splitConnections(uint32_t cap, uint32_t servers, uint32_t slots);

// Limits the rate at which new connections are opened, because a pool that refills at once after a failover would overload the new
// primary.
class ConnectionPacer {
public:
    // At most this many connections are opened in any period of this length.
    static constexpr size_t connectionsPerPeriod = 2;
    static constexpr Duration period = std::chrono::milliseconds(10);

    // Records a new connection and returns true if it may be opened now.
    bool tryAcquire(TimePoint now);

    // Returns the earliest time at which tryAcquire() succeeds.
    TimePoint nextPermitAt() const { return this->openings[this->oldestIndex] + period; }

private:
    // A ring of the most recent opening times. The initial values lie a whole period before time zero.
    std::array<TimePoint, connectionsPerPeriod> openings { TimePoint(-period), TimePoint(-period) };
    size_t oldestIndex = 0;
};

// Counts the connections that a home holds to one backend server, including those being opened.
class ConnectionBudget {
public:
    explicit ConnectionBudget(ConnectionSplit);

    // Counts a connection of the purpose and returns true if it may be opened now within the split and the pace. Reserved
    // connections are not paced, because a failover waits for them.
    bool tryAcquire(ConnectionPurpose, ConnectionPacer&, TimePoint now);

    // Releases a closed connection, or one that could not be opened.
    void release(ConnectionPurpose);

    // Changes the split. The caller must close the connections above it: see excess().
    void setSplit(ConnectionSplit);

    uint32_t openCount(ConnectionPurpose purpose) const { return this->counts[static_cast<size_t>(purpose)]; }
    uint32_t excess(ConnectionPurpose) const;

private:
    ConnectionSplit split;
    std::array<uint32_t, connectionPurposeCount> counts {};
};

}
