#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The tables of the platform's store that a VM uses.
enum class StoreTable : uint8_t {
    // The operators' declarations. Read only.
    Declarations,
    // The backend servers' own entries. Read only.
    Servers,
    // VMs and primaries: what every VM has to know.
    Fleet,
    // Turns at singleton duties: what only their holders read.
    PromotionLocks,
};

// A row of the store.
struct TableRow {
    std::string key;
    std::string value;
    uint64_t version = 0;
    bool isDeleted = false;
};

// Rows as of one moment.
struct RowSet {
    std::vector<TableRow> rows;
    // The newest version of the store, from which changes are followed.
    uint64_t version = 0;
    // The store's own steady clock.
    int64_t storeTimeMs = 0;
};

// A change of rows that is made in whole or not at all.
struct StoreTransaction {
    struct Precondition {
        StoreTable table;
        std::string key;
        // The version that the row must have; 0 means that it does not exist.
        uint64_t version = 0;
    };
    struct Put {
        StoreTable table;
        std::string key;
        std::string value;
    };
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
};

// The platform's store. Calls block the calling fiber until the deadline at the latest.
class SharedStore {
public:
    virtual ~SharedStore() = default;

    // All rows of a table.
    virtual Result<RowSet> list(StoreTable, TimePoint deadline) = 0;
    // The changes after a version, as soon as there is one or the wait is over. Fails with VersionConflict when the store has
    // dropped that part of its history.
    virtual Result<RowSet> follow(StoreTable, uint64_t afterVersion, Duration wait) = 0;
    // Makes a change. Returns the new version. Fails with VersionConflict when an expectation does not hold, and with
    // StoreOutcomeUnknown when the change may have been or may still be made.
    virtual Result<uint64_t> commit(const StoreTransaction&, TimePoint deadline) = 0;
};

// The answer to an order of promotion.
enum class PromotionOrderOutcome : uint8_t {
    Accepted,
    // The named server does not run.
    NotRunning,
    // The platform did not take the order or its answer was lost.
    Unknown,
};

// The platform's call that makes a backend server the primary of its group.
class PromotionOrders {
public:
    virtual ~PromotionOrders() = default;
    virtual PromotionOrderOutcome promote(
        const ServiceName&, const BackendServerId&, const VmId& holder, uint64_t fence, TimePoint deadline)
        = 0;
};

}
