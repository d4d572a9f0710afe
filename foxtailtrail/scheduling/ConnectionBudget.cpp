#include "foxtailtrail/scheduling/ConnectionBudget.h"

#include <algorithm>
#include <boost/assert.hpp>
#include <string>

namespace foxtail {

namespace {

    constexpr uint32_t monitoringConnections = 1;
    constexpr uint32_t reservedConnections = 2;

}

uint32_t ConnectionSplit::countFor(ConnectionPurpose purpose) const
{
    switch (purpose) {
    case ConnectionPurpose::Pooled:
        return this->pooled;
    case ConnectionPurpose::Monitoring:
        return this->monitoring;
    case ConnectionPurpose::Reserved:
        return this->reserved;
    }
    return 0;
}

Result<ConnectionSplit> splitConnections(uint32_t cap, uint32_t servers, uint32_t slots)
{
    if (servers == 0)
        return fail(ErrorKind::CommandInvalid, "a database needs at least one backend server");
    const uint32_t connectionsPerServer = cap / servers;
    const uint32_t neededConnections = std::max(1U, slots) + monitoringConnections + reservedConnections;
    if (connectionsPerServer < neededConnections) {
        return fail(ErrorKind::CommandInvalid,
            "each backend server needs " + std::to_string(neededConnections) + " connections, but the cap leaves "
                + std::to_string(connectionsPerServer));
    }
    return ConnectionSplit { connectionsPerServer - monitoringConnections - reservedConnections, monitoringConnections,
        reservedConnections };
}

bool ConnectionPacer::tryAcquire(TimePoint now)
{
    if (now < this->nextPermitAt())
        return false;
    this->openings[this->oldestIndex] = now;
    this->oldestIndex = (this->oldestIndex + 1) % connectionsPerPeriod;
    return true;
}

ConnectionBudget::ConnectionBudget(ConnectionSplit initialSplit)
    : split(initialSplit)
{
}

bool ConnectionBudget::tryAcquire(ConnectionPurpose purpose, ConnectionPacer& pacer, TimePoint now)
{
    uint32_t& count = this->counts[static_cast<size_t>(purpose)];
    if (count >= this->split.countFor(purpose))
        return false;
    if (purpose != ConnectionPurpose::Reserved && !pacer.tryAcquire(now))
        return false;
    ++count;
    return true;
}

void ConnectionBudget::release(ConnectionPurpose purpose)
{
    uint32_t& count = this->counts[static_cast<size_t>(purpose)];
    BOOST_ASSERT_MSG(count > 0, "more connections released than acquired");
    --count;
}

void ConnectionBudget::setSplit(ConnectionSplit newSplit) { this->split = newSplit; }

uint32_t ConnectionBudget::excess(ConnectionPurpose purpose) const
{
    const uint32_t allowed = this->split.countFor(purpose);
    return this->openCount(purpose) > allowed ? this->openCount(purpose) - allowed : 0;
}

}
