#include "foxtailtrail/replication/PrimaryPositionHistory.h"

namespace foxtail {

namespace {

    // Samples closer together than this do not improve the choice of a required position.
    constexpr Duration minSampleInterval = std::chrono::milliseconds(40);
    // No route accepts data older than this, so older samples are dropped.
    constexpr Duration sampleLifetime = std::chrono::seconds(10);
    // Covers the time between the choice of the required position and the start of the read on the backend server.
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
    // Replies of several connections may arrive out of order. Only a sample with a later time and a position that is not
    // lower is of use.
    if (!this->samples.empty()) {
        const Sample& last = this->samples.back();
        if (sentAt < last.requestSentAt + minSampleInterval || point < last.logPoint)
            return;
    }
    this->samples.push_back({ sentAt, point });
    while (this->samples.front().requestSentAt + sampleLifetime < sentAt)
        this->samples.pop_front();
}

std::optional<LogPoint> PrimaryPositionHistory::requiredPositionFor(
    TimePoint now, Duration maxStaleness, std::optional<TimePoint> earliestSampleAt) const
{
    TimePoint oldestUsableAt = now - maxStaleness + stalenessMargin;
    if (earliestSampleAt && *earliestSampleAt > oldestUsableAt)
        oldestUsableAt = *earliestSampleAt;
    for (const Sample& sample : this->samples) {
        if (sample.requestSentAt >= oldestUsableAt)
            return sample.logPoint;
    }
    return std::nullopt;
}

}
