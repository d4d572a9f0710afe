#include "foxtailtrail/failover/PromotionLock.h"

#include <algorithm>

namespace foxtail {

namespace {

    // The upper bits of a fencing token are the era, so that it is above every token of an earlier era.
    constexpr unsigned eraShift = 32;

}

bool haveEarlierLocksEnded(const StoreEra& era, TimePoint now) { return era.number == 0 || era.firstSeenAt + promotionLockLifetime <= now; }

std::optional<PromotionLockRecord> acquirePromotionLock(
    const std::optional<PromotionLockRecord>& current, const VmId& self, int64_t storeNowMs, const StoreEra& era, TimePoint now)
{
    if (!current && !haveEarlierLocksEnded(era, now))
        return std::nullopt;
    // A record that names this VM may belong to an earlier process whose command is still in flight, so its lifetime has to
    // end too.
    if (current && storeNowMs < current->endsAtMs)
        return std::nullopt;
    const uint64_t fencingToken = current.value_or(firstPromotionLockRecord(self, era)).fencingToken + 1;
    return PromotionLockRecord { self, fencingToken, storeNowMs + toMilliseconds(promotionLockLifetime) };
}

PromotionLockRecord firstPromotionLockRecord(const VmId& self, const StoreEra& era)
{
    return PromotionLockRecord { self, era.number << eraShift, 0 };
}

PromotionLockRecord HeldPromotionLock::releasedAt(TimePoint now, bool isResumeUnanswered) const
{
    const int64_t acquiredAtMs = this->record.endsAtMs - toMilliseconds(promotionLockLifetime);
    if (!isResumeUnanswered)
        return { this->record.holder, this->record.fencingToken, acquiredAtMs };
    // The store read its clock after the request to acquire the lock was sent, so its time is at most this.
    const TimePoint sentAt = this->usableUntil - promotionLockUsableLifetime;
    const int64_t commandEndsAtMs = acquiredAtMs + toMilliseconds(now - sentAt + commandDeliveryTime) + 1;
    return { this->record.holder, this->record.fencingToken, std::min(commandEndsAtMs, this->record.endsAtMs) };
}

}
