#include "foxtailtrail/scheduling/ConcurrencyWindow.h"

#include <algorithm>

namespace foxtail {

namespace {

    constexpr double maxWindow = 32;
    constexpr double minWindow = 1;
    // Refusals within this time belong to one moment of overload.
    constexpr Duration shrinkInterval = std::chrono::milliseconds(50);
    constexpr Duration firstPause = std::chrono::milliseconds(15);
    // The pause doubles up to eight times the first one.
    constexpr unsigned maxDoublings = 3;

}

TimePoint ConcurrencyWindow::recordBusy(TimePoint now, double spread)
{
    if (now >= this->shrunkAt + shrinkInterval) {
        this->window = std::max(minWindow, this->window / 2);
        this->shrunkAt = now;
    }
    const Duration pause = firstPause * (1 << std::min(this->consecutiveRefusals, maxDoublings));
    ++this->consecutiveRefusals;
    return now + pause / 2 + Duration(static_cast<Duration::rep>(static_cast<double>(pause.count()) * spread));
}

void ConcurrencyWindow::recordReply()
{
    this->consecutiveRefusals = 0;
    this->window = std::min(maxWindow, this->window + 1 / this->window);
}

}
