#include "foxtailtrail/failover/PromotionLock.h"

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

PromotionLockRecord releasePromotionLock(const PromotionLockRecord& record, int64_t storeNowMs)
{
    return PromotionLockRecord { record.holder, record.fencingToken, storeNowMs };
}

}
