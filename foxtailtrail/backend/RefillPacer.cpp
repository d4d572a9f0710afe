#include "foxtailtrail/backend/RefillPacer.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

RefillPacer::RefillPacer(RefillPacerSettings pacerSettings)
    : settings(pacerSettings)
{
    assert(this->settings.openingsPerInterval);
}

TimePoint RefillPacer::reserve(TimePoint now)
{
    TimePoint start = this->reservedStarts.empty() ? now : std::max(now, this->reservedStarts.back());
    if (this->reservedStarts.size() == this->settings.openingsPerInterval) {
        start = std::max(start, this->reservedStarts.front() + this->settings.interval);
        this->reservedStarts.pop_front();
    }
    this->reservedStarts.push_back(start);
    return start;
}

}
