#include "foxtailtrail/backend/RefillPacer.h"

#include <algorithm>
#include <cassert>

namespace foxtail {

RefillPacer::RefillPacer(RefillPacerSettings pacerSettings)
    : settings(pacerSettings)
{
    assert(this->settings.openings);
}

TimePoint RefillPacer::reserve(TimePoint now)
{
    TimePoint start = this->booked.empty() ? now : std::max(now, this->booked.back());
    if (this->booked.size() == this->settings.openings) {
        start = std::max(start, this->booked.front() + this->settings.interval);
        this->booked.pop_front();
    }
    this->booked.push_back(start);
    return start;
}

}
