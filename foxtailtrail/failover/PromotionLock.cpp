#include "foxtailtrail/failover/PromotionLock.h"

namespace foxtail {

std::optional<PromotionLockRecord> acquirePromotionLock(
    const std::optional<PromotionLockRecord>& current, const VmId& self, int64_t storeNowMs)
{
    // A record that names this VM may belong to an earlier process whose command is still in flight, so its lifetime has to
    // end too.
    if (current && storeNowMs < current->endsAtMs)
        return std::nullopt;
    return PromotionLockRecord { self, current ? current->fencingToken + 1 : 1, storeNowMs + toMilliseconds(promotionLockLifetime) };
}

PromotionLockRecord releasePromotionLock(const PromotionLockRecord& record, int64_t storeNowMs)
{
    return PromotionLockRecord { record.holder, record.fencingToken, storeNowMs };
}

}
