#include "foxtailtrail/failover/PromotionLock.h"

namespace foxtail {

std::optional<PromotionLockRecord> acquirePromotionLock(
    const std::optional<PromotionLockRecord>& current, const VmId& self, int64_t storeNowMs)
{
    // A turn of this VM's own name may be that of an earlier process with an order still on its way, so it is waited out too.
    if (current && storeNowMs < current->endsAtMs)
        return std::nullopt;
    return PromotionLockRecord { self, current ? current->fencingToken + 1 : 1, storeNowMs + toMilliseconds(promotionLockLifetime) };
}

PromotionLockRecord releasePromotionLock(const PromotionLockRecord& record, int64_t storeNowMs)
{
    return PromotionLockRecord { record.holder, record.fencingToken, storeNowMs };
}

}
