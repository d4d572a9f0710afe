#include "foxtailtrail/proxy/PromotionCoordinator.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/proxy/GroupExamination.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // Each place in the order of VMs waits this much longer before it examines.
    constexpr Duration rankDelay = std::chrono::milliseconds(150);
    constexpr size_t maxRankDelays = 16;
    // After an examination the next one of the group waits this long.
    constexpr Duration quietTime = std::chrono::milliseconds(300);
    constexpr Duration storeTimeout = std::chrono::milliseconds(600);

}

PromotionCoordinator::PromotionCoordinator(
    SessionProxy& proxy, SharedStore& store, PromotionOrders& orders, RendezvousRank rank, DirectoryRefresh refresh)
    : proxy(proxy)
    , store(store)
    , orders(orders)
    , rank(std::move(rank))
    , refresh(std::move(refresh))
{
}

void PromotionCoordinator::examine(const ServiceName& service, std::string_view reason)
{
    ExaminationState& state = this->examinations[service];
    if (state.isRunning || bootNow() < state.nextExaminationAt)
        return;
    state.isRunning = true;
    startFiber([this, service, reason = std::string(reason)] {
        const std::optional<PrimaryView> before = this->proxy.directory().findPrimary(service);
        sleepFor(rankDelay * std::min(this->rank(service.value), maxRankDelays));
        // Another VM may have been faster.
        if (this->proxy.directory().findPrimary(service) == before)
            runGroupExamination(*this, service, reason);
        ExaminationState& ended = this->examinations[service];
        ended.isRunning = false;
        ended.nextExaminationAt = bootNow() + quietTime;
    });
}

std::optional<HeldPromotionLock> PromotionCoordinator::acquireLock()
{
    const TimePoint sentAt = bootNow();
    const Result<RowSet> rows = this->store.list(StoreTable::PromotionLocks, now() + storeTimeout);
    if (!rows) {
        logEvent(LogLevel::Warning, "turn not claimed", { { "detail", rows.error().detail } });
        return std::nullopt;
    }
    std::optional<PromotionLockRecord> current;
    uint64_t version = 0;
    for (const TableRow& row : rows.value().rows) {
        if (row.key != promotionLockRowKey)
            continue;
        version = row.version;
        current = decodePromotionLock(row.value);
        // An unreadable row could hide a higher number.
        if (!current)
            return std::nullopt;
    }
    const std::optional<PromotionLockRecord> claimed = acquirePromotionLock(current, this->proxy.settings().vmId, rows.value().storeTimeMs);
    if (!claimed)
        return std::nullopt;
    StoreTransaction change;
    change.preconditions.push_back({ StoreTable::PromotionLocks, promotionLockRowKey, version });
    change.puts.push_back({ StoreTable::PromotionLocks, promotionLockRowKey, encodePromotionLock(*claimed) });
    Result<uint64_t> stored = this->store.commit(change, now() + storeTimeout);
    if (!stored && stored.error().kind == ErrorKind::StoreOutcomeUnknown) {
        // The claim may have been made: the row tells.
        const Result<RowSet> again = this->store.list(StoreTable::PromotionLocks, now() + storeTimeout);
        if (again) {
            for (const TableRow& row : again.value().rows) {
                if (row.key == promotionLockRowKey && decodePromotionLock(row.value) == claimed)
                    stored = row.version;
            }
        }
    }
    if (!stored) {
        logEvent(LogLevel::Info, "turn not claimed", { { "detail", stored.error().detail } });
        return std::nullopt;
    }
    logEvent(LogLevel::Info, "turn claimed", { { "fence", claimed->fencingToken } });
    return HeldPromotionLock { *claimed, stored.value(), sentAt + promotionLockUsableLifetime };
}

void PromotionCoordinator::releaseLock(const HeldPromotionLock& turn)
{
    const PromotionLockRecord ended
        = foxtail::releasePromotionLock(turn.record, turn.record.endsAtMs - toMilliseconds(promotionLockLifetime));
    StoreTransaction change;
    change.preconditions.push_back({ StoreTable::PromotionLocks, promotionLockRowKey, turn.storedVersion });
    change.puts.push_back({ StoreTable::PromotionLocks, promotionLockRowKey, encodePromotionLock(ended) });
    const Result<uint64_t> stored = this->store.commit(change, now() + storeTimeout);
    if (!stored)
        logEvent(LogLevel::Info, "turn not ended early", { { "detail", stored.error().detail } });
}

}
