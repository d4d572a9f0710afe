#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/store/StoreVersion.h"

#include <cstdint>
#include <optional>

namespace foxtail {

// The promotion lock as the store keeps it. At most one VM holds it; its fencing token lets servers reject commands of
// former holders.
struct PromotionLockRecord {
    VmId holder;
    uint64_t fencingToken = 0;
    // The end of the lock's lifetime, in milliseconds of the store's clock.
    int64_t endsAtMs = 0;
    bool operator==(const PromotionLockRecord&) const = default;
};

// The lifetime of the lock after it was acquired. A holder that dies delays the next one by up to this time.
constexpr Duration promotionLockLifetime = std::chrono::milliseconds(4000);
// The holder uses the lock only in the first part of its lifetime, counted from the time at which it sent the request to
// acquire it, so that a delayed command still arrives before those of the next holder.
constexpr Duration promotionLockUsableLifetime = std::chrono::milliseconds(2500);

// Returns the record that acquires the lock, or std::nullopt until the lifetime of the current record has ended.
std::optional<PromotionLockRecord> acquirePromotionLock(
    const std::optional<PromotionLockRecord>& current, const VmId& self, int64_t storeNowMs);

// Returns the record that releases the lock early. It keeps the fencing token, so that the next holder gets a higher one.
PromotionLockRecord releasePromotionLock(const PromotionLockRecord&, int64_t storeNowMs);

// The promotion lock that this VM holds.
struct HeldPromotionLock {
    PromotionLockRecord record;
    // The version of the stored record, which later updates of it expect.
    StoreVersion storedVersion;
    TimePoint usableUntil {};

    bool isUsableAt(TimePoint now) const { return now < this->usableUntil; }
};

}
