#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <array>
#include <cstdint>

namespace foxtail {

// What a connection to a backend server is for.
enum class ConnectionPurpose : uint8_t {
    // Runs requests.
    Pooled,
    // Probes the server.
    Monitoring,
    // Fences, promotes and claims.
    Reserved,
};

constexpr size_t connectionPurposeCount = 3;

// How the connections of one backend server are divided.
struct ConnectionSplit {
    uint32_t pooled = 0;
    uint32_t monitoring = 0;
    uint32_t reserved = 0;

    uint32_t total() const { return this->pooled + this->monitoring + this->reserved; }
    uint32_t countFor(ConnectionPurpose) const;
    bool operator==(const ConnectionSplit&) const = default;
};

// Divides a database's cap evenly over its servers: one connection for monitoring, two reserved, the rest pooled. Fails with
// CommandInvalid when fewer pooled connections than slots would be left.
Result<ConnectionSplit> splitConnections(uint32_t cap, uint32_t servers, uint32_t slots);

// Limits how fast new connections are opened, as a pool that refills at once after a failover would load the new primary.
class ConnectionPacer {
public:
    // At most this many connections are opened in any period of this length.
    static constexpr size_t connectionsPerPeriod = 2;
    static constexpr Duration period = std::chrono::milliseconds(10);

    // True when a connection may be opened now, which is then recorded.
    bool tryAcquire(TimePoint now);

    // The earliest moment at which tryOpen() succeeds.
    TimePoint nextPermitAt() const { return this->openings[this->oldest] + period; }

private:
    // The last openings in a ring. The start value lies far in the past.
    std::array<TimePoint, connectionsPerPeriod> openings { TimePoint(-period), TimePoint(-period) };
    size_t oldest = 0;
};

// The connections that a home holds to one backend server, opening ones included.
class ConnectionBudget {
public:
    explicit ConnectionBudget(ConnectionSplit);

    // True when a connection of the purpose may be opened now within the split and the pace, which is then counted. Reserved
    // connections are not paced: a failover waits for them.
    bool tryAcquire(ConnectionPurpose, ConnectionPacer&, TimePoint now);

    // Counts a connection as gone, also one whose opening failed.
    void release(ConnectionPurpose);

    // Changes the split. Connections above it are to be closed by the caller: see excess().
    void setSplit(ConnectionSplit);

    uint32_t openCount(ConnectionPurpose purpose) const { return this->counts[static_cast<size_t>(purpose)]; }
    uint32_t excess(ConnectionPurpose) const;

private:
    ConnectionSplit split;
    std::array<uint32_t, connectionPurposeCount> counts {};
};

}
