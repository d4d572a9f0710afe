#include "foxtailtrail/scheduling/ConcurrencyWindow.h"

#include <algorithm>

namespace foxtail {

namespace {

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
        this->isReduced = true;
        this->shrunkAt = now;
    }
    const Duration delay = initialDelay * (1 << std::min(this->consecutiveRefusals, maxDoublings));
    ++this->consecutiveRefusals;
    return now + delay / 2 + Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) * jitter));
}

void ConcurrencyWindow::recordReply()
{
    this->consecutiveRefusals = 0;
    this->window = std::min(this->ceiling, this->window + 1 / this->window);
    this->isReduced = this->isReduced && this->window < this->ceiling;
}

void ConcurrencyWindow::setCeiling(size_t newCeiling)
{
    this->ceiling = std::max(minWindow, static_cast<double>(newCeiling));
    this->window = this->isReduced ? std::min(this->window, this->ceiling) : this->ceiling;
}

}
