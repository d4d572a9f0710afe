#include "foxtailtrail/session/ReplicaFreshness.h"

#include "foxtailtrail/failover/GroupView.h"

#include <algorithm>

namespace foxtail {

ReplicaFreshness::ReplicaFreshness(ReplicaFreshnessSettings settings)
    : settings(settings)
{
}

void ReplicaFreshness::record(TimePoint sentAt, LogPoint primaryLogPoint)
{
    if (!this->samples.empty()) {
        const Sample& newest = this->samples.back();
        if (primaryLogPoint.term < newest.logPoint.term || sentAt <= newest.sentAt)
            return;
        if (primaryLogPoint.term == newest.logPoint.term && sentAt < newest.sentAt + this->settings.sampleInterval)
            return;
        // An unconfirmed sample of a former term may come from a primary that had already been replaced.
        if (primaryLogPoint.term > newest.logPoint.term)
            std::erase_if(this->samples, [](const Sample& sample) { return !sample.isConfirmed; });
    }
    this->samples.push_back({ sentAt, primaryLogPoint });
    if (this->samples.size() > this->settings.capacity)
        this->samples.pop_front();
}

void ReplicaFreshness::confirm(Term term, TimePoint confirmedAt)
{
    for (auto sample = this->samples.rbegin(); sample != this->samples.rend(); ++sample) {
        if (sample->logPoint.term != term || sample->isConfirmed)
            return;
        if (sample->sentAt <= confirmedAt)
            sample->isConfirmed = true;
    }
}

std::optional<TimePoint> ReplicaFreshness::freshAsOf(LogPoint held) const
{
    for (auto sample = this->samples.rbegin(); sample != this->samples.rend(); ++sample) {
        if (sample->isConfirmed && holdsLogPoint(held, sample->logPoint))
            return sample->sentAt;
    }
    return std::nullopt;
}

}
