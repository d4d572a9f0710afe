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

    // Each VM waits this much longer per rank before it examines a group.
    constexpr Duration rankDelay = std::chrono::milliseconds(150);
    constexpr size_t maxRankDelays = 16;
    // After an examination, the next one of the same group starts after this time at the earliest.
    constexpr Duration minExaminationInterval = std::chrono::milliseconds(300);
    // The same after an examination that found the primary serving other VMs: each pauses replicas that they need.
    constexpr Duration unneededExaminationInterval = std::chrono::milliseconds(1000);
    // How much longer a VM waits that has not known the group with a primary.
    constexpr Duration unknownGroupDelay = std::chrono::milliseconds(400);
    constexpr Duration storeTimeout = std::chrono::milliseconds(600);
    // This many VMs create the lock's record of an era, one after the other, so that one that stops meanwhile does not matter.
    constexpr size_t lockCreatorCount = 2;
    constexpr const char* lockCreatorKey = "promotion-lock";
    constexpr Duration lockCreatorDelay = std::chrono::milliseconds(500);

}

PromotionCoordinator::PromotionCoordinator(SessionProxy& proxy, SharedStore& store, PromotionOrders& orders, FleetInquiry& inquiry,
    RendezvousRank rank, DirectoryRefresh refresh, const ServerListCompleteness& serverListCompleteness)
    : proxy(proxy)
    , store(store)
    , orders(orders)
    , inquiry(inquiry)
    , rank(std::move(rank))
    , refresh(std::move(refresh))
    , listCompleteness(serverListCompleteness)
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
        // VMs that knew the group while its primary led need less evidence.
        if (this->proxy.group(service)->lastLedAt() < this->listCompleteness.completeFrom())
            sleepFor(unknownGroupDelay);
        // Another VM may have replaced the primary in the meantime.
        Duration pause = minExaminationInterval;
        if (this->proxy.directory().findPrimary(service) == before
            && runGroupExamination(*this, service, reason) == ExaminationResult::PrimaryServesOthers)
            pause = unneededExaminationInterval;
        ExaminationState& finishedState = this->examinations[service];
        finishedState.isRunning = false;
        finishedState.nextExaminationAt = bootNow() + pause;
    });
}

void PromotionCoordinator::createLockOfEra(uint64_t era)
{
    startFiber([this, era] {
        sleepFor(promotionLockLifetime);
        const size_t order = this->rank(lockCreatorKey);
        sleepFor(lockCreatorDelay * static_cast<Duration::rep>(std::min(order, lockCreatorCount) + 1));
        const StoreEra& newest = this->store.newestEra();
        if (order >= lockCreatorCount || newest.number != era || era == 0 || !haveEarlierLocksEnded(newest, bootNow()))
            return;
        StoreTransaction transaction;
        const std::string rowKey = promotionLockRowKey(era);
        transaction.preconditions.push_back({ StoreTable::PromotionLocks, rowKey, StoreVersion { era, 0 } });
        transaction.puts.push_back(
            { StoreTable::PromotionLocks, rowKey, encodePromotionLock(firstPromotionLockRecord(this->proxy.settings().vmId, newest)) });
        const Result<StoreVersion> stored = this->store.commit(transaction, now() + storeTimeout);
        logEvent(
            LogLevel::Info, "promotion lock of a new era created", { { "era", era }, { "detail", stored ? "" : stored.error().detail } });
    });
}

std::optional<HeldPromotionLock> PromotionCoordinator::acquireLock()
{
    const TimePoint sentAt = bootNow();
    const Result<RowSet> rows = this->store.list(StoreTable::PromotionLocks, now() + storeTimeout);
    if (!rows) {
        logEvent(LogLevel::Warning, "promotion lock not acquired: reading it failed", { { "detail", rows.error().detail } });
        return std::nullopt;
    }
    std::optional<PromotionLockRecord> currentRecord;
    const std::string rowKey = promotionLockRowKey(rows.value().version.era);
    StoreVersion version { rows.value().version.era, 0 };
    for (const TableRow& row : rows.value().rows) {
        if (row.key != rowKey)
            continue;
        version = row.version;
        currentRecord = decodePromotionLock(row.key, row.value);
        // A row that cannot be decoded could hold a higher fencing token.
        if (!currentRecord)
            return std::nullopt;
    }
    const std::optional<PromotionLockRecord> acquired
        = acquirePromotionLock(currentRecord, this->proxy.settings().vmId, rows.value().storeTimeMs, this->store.newestEra(), bootNow());
    if (!acquired) {
        if (!currentRecord)
            logEvent(
                LogLevel::Info, "promotion lock not acquired: a lock of an earlier era may still be in use", { { "era", version.era } });
        return std::nullopt;
    }
    StoreTransaction transaction;
    transaction.preconditions.push_back({ StoreTable::PromotionLocks, rowKey, version });
    transaction.puts.push_back({ StoreTable::PromotionLocks, rowKey, encodePromotionLock(*acquired) });
    Result<StoreVersion> stored = this->store.commit(transaction, now() + storeTimeout);
    if (!stored && stored.error().kind == ErrorKind::StoreOutcomeUnknown) {
        // The lock may have been acquired; the row shows whether it was.
        const Result<RowSet> rereadRows = this->store.list(StoreTable::PromotionLocks, now() + storeTimeout);
        if (rereadRows) {
            for (const TableRow& row : rereadRows.value().rows) {
                if (row.key == rowKey && row.version.era == version.era && decodePromotionLock(row.key, row.value) == acquired)
                    stored = row.version;
            }
        }
    }
    if (!stored) {
        logEvent(LogLevel::Info, "promotion lock not acquired: writing it failed", { { "detail", stored.error().detail } });
        return std::nullopt;
    }
    logEvent(LogLevel::Info, "promotion lock acquired", { { "fence", acquired->fencingToken }, { "era", version.era } });
    return HeldPromotionLock { *acquired, stored.value(), sentAt + promotionLockUsableLifetime };
}

void PromotionCoordinator::releaseLock(const HeldPromotionLock& heldLock, bool isResumeUnanswered)
{
    const PromotionLockRecord released = heldLock.releasedAt(bootNow(), isResumeUnanswered);
    StoreTransaction transaction;
    const std::string rowKey = promotionLockRowKey(heldLock.storedVersion.era);
    transaction.preconditions.push_back({ StoreTable::PromotionLocks, rowKey, heldLock.storedVersion });
    transaction.puts.push_back({ StoreTable::PromotionLocks, rowKey, encodePromotionLock(released) });
    const Result<StoreVersion> stored = this->store.commit(transaction, now() + storeTimeout);
    if (!stored)
        logEvent(LogLevel::Info, "releasing the promotion lock failed; it expires by itself", { { "detail", stored.error().detail } });
}

bool PromotionCoordinator::isUsable(const HeldPromotionLock& heldLock) const
{
    return heldLock.isUsableAt(bootNow(), this->store.newestEra());
}

}
