#include "foxtailtrail/replication/PrimaryPositionHistory.h"

namespace foxtail {

namespace {

    // Samples closer together than this add nothing to the choice of a floor.
    constexpr Duration sampleSpacing = std::chrono::milliseconds(40);
    // No route accepts data older than this, so older samples are dropped.
    constexpr Duration sampleLifetime = std::chrono::seconds(10);
    // Covers the time from the choice of the floor to the start of the read at the backend server's log.
    constexpr Duration stalenessMargin = std::chrono::milliseconds(100);

}

void PrimaryPositionHistory::recordPosition(LogPoint point, TimePoint sentAt)
{
    if (!this->samples.empty()) {
        if (point.term < this->samples.back().logPoint.term)
            return;
        if (point.term > this->samples.back().logPoint.term)
            this->samples.clear();
    }
    // Replies of several connections may arrive out of order; only a sample newer in time and place is of use.
    if (!this->samples.empty()) {
        const Sample& last = this->samples.back();
        if (sentAt < last.requestSentAt + sampleSpacing || point < last.logPoint)
            return;
    }
    this->samples.push_back({ sentAt, point });
    while (this->samples.front().requestSentAt + sampleLifetime < sentAt)
        this->samples.pop_front();
}

std::optional<LogPoint> PrimaryPositionHistory::requiredPositionFor(
    TimePoint now, Duration maxStaleness, std::optional<TimePoint> notBefore) const
{
    TimePoint oldest = now - maxStaleness + stalenessMargin;
    if (notBefore && *notBefore > oldest)
        oldest = *notBefore;
    for (const Sample& sample : this->samples) {
        if (sample.requestSentAt >= oldest)
            return sample.logPoint;
    }
    return std::nullopt;
}

}
