#include "foxtailtrail/replication/LoadRecord.h"

namespace foxtail {

namespace {

    constexpr Duration reportLifetime = std::chrono::seconds(5);
    // An answer takes no longer than this from one VM to another unless their connection is disturbed.
    constexpr Duration maxTransitTime = std::chrono::milliseconds(20);

}

void LoadRecord::recordReport(ServerLoad load, TimePoint requestedAt, TimePoint now)
{
    this->answeredAt = now;
    load.takenAt = std::max(requestedAt, now - maxTransitTime);
    this->setReport(load);
}

void LoadRecord::recordPassedReport(ServerLoad load, Duration age, TimePoint now)
{
    load.takenAt = now - age - maxTransitTime;
    if (!this->report || this->report->takenAt < load.takenAt)
        this->setReport(load);
}

void LoadRecord::setReport(const ServerLoad& load)
{
    this->report = load;
    while (!this->sentAt.empty() && this->sentAt.front() <= load.takenAt)
        this->sentAt.pop_front();
}

void LoadRecord::recordSent(TimePoint now)
{
    while (!this->sentAt.empty() && this->sentAt.front() + reportLifetime < now)
        this->sentAt.pop_front();
    this->sentAt.push_back(now);
}

std::optional<ServerLoad> LoadRecord::find(TimePoint now) const
{
    if (!this->report || this->report->takenAt + reportLifetime < now)
        return std::nullopt;
    return this->report;
}

}
