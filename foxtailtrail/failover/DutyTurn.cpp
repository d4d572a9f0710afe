#include "foxtailtrail/failover/DutyTurn.h"

namespace foxtail {

std::optional<TurnRecord> claimTurn(const std::optional<TurnRecord>& current, const VmId& self, int64_t storeNowMs)
{
    // A turn of this VM's own name may be that of an earlier process with an order still on its way, so it is waited out too.
    if (current && storeNowMs < current->endsAtMs)
        return std::nullopt;
    return TurnRecord { self, current ? current->fence + 1 : 1, storeNowMs + toMilliseconds(turnTime) };
}

TurnRecord endTurn(const TurnRecord& record, int64_t storeNowMs) { return TurnRecord { record.holder, record.fence, storeNowMs }; }

}
