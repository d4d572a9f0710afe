#include "foxtailtrail/scheduling/ConcurrencyWindow.h"

#include <algorithm>

namespace foxtail {

namespace {

    constexpr double maxWindow = 32;
    constexpr double minWindow = 1;
    // Refusals within this time belong to the same overload and shrink the window once.
    constexpr Duration shrinkInterval = std::chrono::milliseconds(50);
    constexpr Duration initialDelay = std::chrono::milliseconds(15);
    // The delay doubles up to eight times the initial delay.
    constexpr unsigned maxDoublings = 3;

}

TimePoint ConcurrencyWindow::recordBusy(TimePoint now, double jitter)
{
    if (now >= this->shrunkAt + shrinkInterval) {
        this->window = std::max(minWindow, this->window / 2);
        this->shrunkAt = now;
    }
    const Duration delay = initialDelay * (1 << std::min(this->consecutiveRefusals, maxDoublings));
    ++this->consecutiveRefusals;
    return now + delay / 2 + Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) * jitter));
}

void ConcurrencyWindow::recordReply()
{
    this->consecutiveRefusals = 0;
    this->window = std::min(maxWindow, this->window + 1 / this->window);
}

}
