#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>

namespace foxtail {

// A turn at the duty of promotion, as the store keeps it. At most one VM holds it; its number fences the orders.
struct PromotionLockRecord {
    VmId holder;
    uint64_t fencingToken = 0;
    // The end of the turn, in milliseconds of the store's clock.
    int64_t endsAtMs = 0;
    bool operator==(const PromotionLockRecord&) const = default;
};

// The longest turn. A VM that dies in its turn delays the next one by this.
constexpr Duration promotionLockLifetime = std::chrono::milliseconds(4000);
// The holder acts only in the first part of its turn, counted from the time at which it sent the claim, so that an order that
// is late on its way still arrives before the next holder's.
constexpr Duration promotionLockUsableLifetime = std::chrono::milliseconds(2500);

// The record that claims the next turn, or nothing while another VM's turn lasts.
std::optional<PromotionLockRecord> acquirePromotionLock(
    const std::optional<PromotionLockRecord>& current, const VmId& self, int64_t storeNowMs);

// The record that ends a turn early. The number stays, so that the next claim is higher.
PromotionLockRecord releasePromotionLock(const PromotionLockRecord&, int64_t storeNowMs);

// A turn that this VM holds.
struct HeldPromotionLock {
    PromotionLockRecord record;
    // The version of the stored record, which later changes of it expect.
    uint64_t storedVersion = 0;
    TimePoint usableUntil {};

    bool isUsableAt(TimePoint now) const { return now < this->usableUntil; }
};

}
