#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstdint>

namespace foxtail {

// A version of the platform's store. When the store comes back from an older copy, a new era begins and the numbers above that of the copy
// are given out again, so numbers are comparable only within an era.
struct StoreVersion {
    uint64_t era = 0;
    uint64_t number = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
    auto operator<=>(const StoreVersion&) const = default;
};

// The newest era of the store, and when this VM first saw it. A store that reports no era is in era 0.
struct StoreEra {
    uint64_t number = 0;
    TimePoint firstSeenAt {};
};

}
