#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/StoreVersion.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/failover/ReplacementStep.h"
#include "foxtailtrail/membership/FeedSchedule.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The tables of the platform's store that a VM uses.
enum class StoreTable : uint8_t {
    // The operators' declarations. Read-only.
    Declarations,
    // The entries that backend servers write about themselves. Read-only.
    Servers,
    // VMs and primaries, which every VM must know.
    Fleet,
    // The promotion lock, which only VMs that want to promote read.
    PromotionLocks,
};

// A row of the store.
struct TableRow {
    std::string key;
    std::string value;
    // The number of the row's last change, with the era in which the row was read.
    StoreVersion version;
    bool isDeleted = false;
};

// Rows of a table, or changes of them, as of one version of the store.
struct RowSet {
    std::vector<TableRow> rows;
    // The newest version of the store; changes are followed from this version on.
    StoreVersion version;
    // The time of the store's own steady clock.
    int64_t storeTimeMs = 0;
    // For the list of servers: whether it holds the entries that lapsed while the store was away, of all servers that run and reach it.
    bool areLapsedEntriesBack = false;
};

// Writes to rows that are applied atomically.
struct StoreTransaction {
    struct Precondition {
        StoreTable table;
        std::string key;
        // The version that the row must have, as read in the era of the version; number 0 means that it does not exist.
        StoreVersion version;
    };
    struct Put {
        StoreTable table;
        std::string key;
        std::string value;
    };
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
};

// The platform's store. Each call blocks the calling fiber, at the latest until its deadline.
class SharedStore {
public:
    virtual ~SharedStore() = default;

    // Returns all rows of a table.
    virtual Result<RowSet> list(StoreTable, TimePoint deadline) = 0;
    // Returns the changes after a version, as soon as there is one or the hold has ended. Fails with VersionConflict when the store has
    // dropped that part of its history or is in another era, and with OutcomeUnknown when there was no complete response in time.
    virtual Result<RowSet> follow(StoreTable, const StoreVersion& after, const FeedCall&) = 0;
    // Ends the calls that the store holds open. They fail with OutcomeUnknown.
    virtual void endHeldCalls() = 0;
    // Commits a transaction. Returns the new version. Fails with VersionConflict when a precondition does not hold or is of an ended era,
    // and with StoreOutcomeUnknown when the transaction may have been committed or may still be committed, or was committed in another
    // era than that of a precondition.
    virtual Result<StoreVersion> commit(const StoreTransaction&, TimePoint deadline) = 0;
    // Returns the newest era that a reply of the store has shown.
    virtual const StoreEra& newestEra() const = 0;
};

// The platform's call that makes a backend server the primary of its group.
class PromotionOrders {
public:
    virtual ~PromotionOrders() = default;
    // Orders a promotion. The order is sent only if the holder still has the lock at the moment at which it is written.
    virtual PromotionOrderOutcome promote(const ServiceName&, const BackendServerId&, const VmId& holder, uint64_t fencingToken,
        TimePoint deadline, const std::function<bool()>& isLockHeld)
        = 0;
};

}
