#include "foxtailtrail/scheduling/ConnectionValue.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

namespace {

    // The time constant of the uses. It covers several statements of an organisation that sends one each few seconds.
    constexpr double useLifetimeSeconds = 20;
    constexpr Duration forgetInterval = std::chrono::seconds(20);
    // A use below this count is forgotten.
    constexpr double minUse = 0.01;

}

double ConnectionValue::Use::at(TimePoint now) const
{
    return this->count * std::exp(-std::chrono::duration<double>(now - this->countedAt).count() / useLifetimeSeconds);
}

void ConnectionValue::recordUse(const std::string& organisation, TimePoint now)
{
    Use& use = this->uses[organisation];
    use = { use.at(now) + 1, now };
    if (now < this->forgetAt)
        return;
    this->forgetAt = now + forgetInterval;
    std::erase_if(this->uses, [&](const auto& each) { return each.second.at(now) < minUse; });
}

double ConnectionValue::valueOf(const std::string& organisation, size_t connections, TimePoint now) const
{
    const auto use = this->uses.find(organisation);
    return use == this->uses.end() ? 0 : use->second.at(now) / static_cast<double>(std::max<size_t>(1, connections));
}

}
