#pragma once

#include "foxtailtrail/proxy/SharedStore.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace foxtail {

// The latest changes of one table of the store, as a VM that reads the store passes them on to others.
class TableChangeLog {
public:
    // Starts the log at a version, after the whole table was read.
    void restart(uint64_t version);
    // Appends the changes from a version to that of the row set. When the log ends at another version, it starts again, because it lacks
    // the changes between them.
    void append(uint64_t afterVersion, const RowSet& changes);
    // Returns the changes after a version, possibly with some that are not after it, or std::nullopt when the log does not go back that
    // far. The result is empty for the newest version, and for a version that is newer than the log.
    std::optional<RowSet> changesAfter(uint64_t version) const;

private:
    // The changes after the version of the batch before it.
    struct Batch {
        uint64_t version = 0;
        std::vector<TableRow> rows;
    };
    bool hasStarted = false;
    // The version before the first batch.
    uint64_t oldestVersion = 0;
    uint64_t newestVersion = 0;
    std::deque<Batch> batches;
    size_t rowCount = 0;
};

}
