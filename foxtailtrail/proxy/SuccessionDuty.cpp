#include "foxtailtrail/proxy/SuccessionDuty.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/proxy/SuccessionCase.h"
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

SuccessionDuty::SuccessionDuty(SessionProxy& proxy, SharedStore& store, PromotionOrders& orders, Rank rank, Refresh refresh)
    : proxy(proxy)
    , store(store)
    , orders(orders)
    , rank(std::move(rank))
    , refresh(std::move(refresh))
{
}

void SuccessionDuty::examine(const ServiceName& service, std::string_view reason)
{
    Progress& state = this->progress[service];
    if (state.running || bootNow() < state.quietUntil)
        return;
    state.running = true;
    startFiber([this, service, reason = std::string(reason)] {
        const std::optional<LeaderView> before = this->proxy.directory().leader(service);
        sleepFor(rankDelay * std::min(this->rank(service.value), maxRankDelays));
        // Another VM may have been faster.
        if (this->proxy.directory().leader(service) == before)
            runSuccessionCase(*this, service, reason);
        Progress& ended = this->progress[service];
        ended.running = false;
        ended.quietUntil = bootNow() + quietTime;
    });
}

std::optional<HeldTurn> SuccessionDuty::claim()
{
    const TimePoint sentAt = bootNow();
    const Result<RowSet> rows = this->store.list(StoreTable::Turns, now() + storeTimeout);
    if (!rows) {
        logEvent(LogLevel::Warning, "turn not claimed", { { "detail", rows.error().detail } });
        return std::nullopt;
    }
    std::optional<TurnRecord> current;
    uint64_t version = 0;
    for (const TableRow& row : rows.value().rows) {
        if (row.key != turnRowKey)
            continue;
        version = row.version;
        current = decodeTurn(row.value);
        // An unreadable row could hide a higher number.
        if (!current)
            return std::nullopt;
    }
    const std::optional<TurnRecord> claimed = claimTurn(current, this->proxy.settings().vmId, rows.value().storeTimeMs);
    if (!claimed)
        return std::nullopt;
    StoreChange change;
    change.expectations.push_back({ StoreTable::Turns, turnRowKey, version });
    change.puts.push_back({ StoreTable::Turns, turnRowKey, encodeTurn(*claimed) });
    Result<uint64_t> stored = this->store.commit(change, now() + storeTimeout);
    if (!stored && stored.error().kind == ErrorKind::StoreOutcomeUnknown) {
        // The claim may have been made: the row tells.
        const Result<RowSet> again = this->store.list(StoreTable::Turns, now() + storeTimeout);
        if (again) {
            for (const TableRow& row : again.value().rows) {
                if (row.key == turnRowKey && decodeTurn(row.value) == claimed)
                    stored = row.version;
            }
        }
    }
    if (!stored) {
        logEvent(LogLevel::Info, "turn not claimed", { { "detail", stored.error().detail } });
        return std::nullopt;
    }
    logEvent(LogLevel::Info, "turn claimed", { { "fence", claimed->fence } });
    return HeldTurn { *claimed, stored.value(), sentAt + turnActingTime };
}

void SuccessionDuty::endTurn(const HeldTurn& turn)
{
    const TurnRecord ended = foxtail::endTurn(turn.record, turn.record.endsAtMs - toMilliseconds(turnTime));
    StoreChange change;
    change.expectations.push_back({ StoreTable::Turns, turnRowKey, turn.storedVersion });
    change.puts.push_back({ StoreTable::Turns, turnRowKey, encodeTurn(ended) });
    const Result<uint64_t> stored = this->store.commit(change, now() + storeTimeout);
    if (!stored)
        logEvent(LogLevel::Info, "turn not ended early", { { "detail", stored.error().detail } });
}

}
