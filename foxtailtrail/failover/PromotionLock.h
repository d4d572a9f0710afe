#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/StoreVersion.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>

namespace foxtail {

// The promotion lock as the store keeps it, in a record for each era of the store. At most one VM holds it; its fencing token, which rises
// across eras too, lets servers reject commands of former holders.
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

// A command to a server is executed within this time after it was sent, or never: its connection is reset when there is no reply in time.
constexpr Duration commandDeliveryTime = std::chrono::milliseconds(500);

// After the usable part, replicas may still be resumed for this long. The rest of the lifetime covers the delivery of the command.
constexpr Duration promotionLockResumeAllowance = promotionLockLifetime - promotionLockUsableLifetime - commandDeliveryTime;

// Returns true when a lock of an earlier era, whose record the store may have lost, can no longer be used.
bool haveEarlierLocksEnded(const StoreEra&, TimePoint now);

// Returns the record that acquires the lock, or std::nullopt until the lifetime of the current record of the era has ended. Without a
// record of the era, the locks of earlier eras have to end first.
std::optional<PromotionLockRecord> acquirePromotionLock(
    const std::optional<PromotionLockRecord>& current, const VmId& self, int64_t storeNowMs, const StoreEra&, TimePoint now);

// Returns the first record of an era, of a lock that is free. Written once the locks of earlier eras have ended, it tells VMs that start
// later that they need not wait for those.
PromotionLockRecord firstPromotionLockRecord(const VmId& self, const StoreEra&);

// The promotion lock that this VM holds.
struct HeldPromotionLock {
    PromotionLockRecord record;
    // The version of the stored record, which later updates of it expect.
    StoreVersion storedVersion;
    TimePoint usableUntil {};

    // A lock ends with the era of its record, because another VM may acquire the lock of the new era.
    bool isUsableAt(TimePoint now, const StoreEra& newestEra) const
    {
        return now < this->usableUntil && newestEra.number == this->storedVersion.era;
    }
    // Returns whether the holder may end the pause of the replicas. A VM that was suspended beyond the lifetime of the lock must not: the
    // command carries no fencing token, and the next holder may rely on the pause.
    bool mayResumeAt(TimePoint now) const { return now < this->usableUntil + promotionLockResumeAllowance; }
    // Returns the record that releases the lock early. It keeps the fencing token, so that the next holder gets a higher one. After a
    // resume command without a reply, the lock is free only once the command cannot be executed any more, because it would end the pause on
    // which the next holder relies.
    PromotionLockRecord releasedAt(TimePoint now, bool isResumeUnanswered) const;
};

}
