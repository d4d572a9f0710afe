#include "foxtailtrail/membership/ServerListCompleteness.h"

#include <algorithm>

namespace foxtail {

void ServerListCompleteness::recordContent(TimePoint asOf, TimePoint receivedAt)
{
    if (!this->servedFrom)
        this->servedFrom = receivedAt;
    this->setReturnPeriodPassed(*this->servedFrom + serverReturnPeriod <= asOf, asOf);
}

void ServerListCompleteness::recordPassedOn(bool areLapsedEntriesBack, TimePoint receivedAt)
{
    this->setReturnPeriodPassed(areLapsedEntriesBack, receivedAt);
}

void ServerListCompleteness::recordFailure()
{
    this->servedFrom.reset();
    this->hasReturnPeriodPassed = false;
}

std::optional<TimePoint> ServerListCompleteness::neededContentTime() const
{
    if (this->hasReturnPeriodPassed || !this->servedFrom)
        return std::nullopt;
    return *this->servedFrom + serverReturnPeriod;
}

void ServerListCompleteness::setReturnPeriodPassed(bool hasPassed, TimePoint at)
{
    this->hasReturnPeriodPassed = hasPassed;
    if (hasPassed)
        this->firstCompleteAt = std::min(this->firstCompleteAt, at);
}

}
