#include "foxtailtrail/session/StopSchedule.h"

#include <algorithm>

namespace foxtail {

namespace {

    // The load balancer takes a VM out of rotation after two probes, one second apart. After that idle sessions are closed and new ones are
    // refused, so that the VM exits, and its successor starts, as early as its open work allows.
    constexpr Duration rotationDelay = std::chrono::milliseconds(2300);
    // The process exits this long before the platform would kill it.
    constexpr Duration exitMargin = std::chrono::milliseconds(500);
    // Time in which the last replies leave the VM before the process exits.
    constexpr Duration sendMargin = std::chrono::milliseconds(150);
    // A transaction whose caller has sent nothing for this time is idle.
    constexpr Duration transactionIdleTime = std::chrono::milliseconds(500);
    // Margins take at most this fraction of a short grace period.
    constexpr int maxMarginDivisor = 4;

}

StopSchedule StopSchedule::create(TimePoint signalledAt, Duration gracePeriod)
{
    StopSchedule schedule;
    schedule.abortTransactionsAt = signalledAt + gracePeriod / 2;
    schedule.closeIdleAt = std::min(signalledAt + rotationDelay, schedule.abortTransactionsAt);
    schedule.exitAt = signalledAt + gracePeriod - std::min(exitMargin, gracePeriod / maxMarginDivisor);
    schedule.replyAt = schedule.exitAt - std::min(sendMargin, gracePeriod / maxMarginDivisor);
    return schedule;
}

bool StopSchedule::hasToAbortTransaction(TimePoint idleSince, TimePoint now) const
{
    return now >= this->abortTransactionsAt && now >= idleSince + transactionIdleTime;
}

}
