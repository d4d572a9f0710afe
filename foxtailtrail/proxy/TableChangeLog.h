#pragma once

#include "foxtailtrail/proxy/SharedStore.h"

#include <deque>
#include <optional>

namespace foxtail {

// The latest changes of one table of the store, as a VM that reads the store passes them on to others.
class TableChangeLog {
public:
    // Starts the log at the version of the whole table, which was read.
    void restart(const RowSet&);
    // Appends the changes from a version to that of the row set. When the log ends at another version, it starts again, because it lacks
    // the changes between them.
    void append(const StoreVersion& after, const RowSet& changes);
    // Returns the changes after a version, possibly with some that are not after it, or std::nullopt when the log does not go back that
    // far or is of another era. The result is empty for the newest version, and for a version of the same era that is newer than the log.
    std::optional<RowSet> changesAfter(const StoreVersion&) const;
    // Returns true when the log is of a later era than the version, so that the whole table has to be read from the store.
    bool isOfLaterEra(const StoreVersion& version) const { return this->hasStarted && version.era < this->newestVersion.era; }

private:
    void restartAt(const StoreVersion&);

    // The changes after the version of the batch before it.
    struct Batch {
        StoreVersion version;
        std::vector<TableRow> rows;
    };
    bool hasStarted = false;
    // The version before the first batch.
    StoreVersion oldestVersion;
    StoreVersion newestVersion;
    // That of the row set which was recorded last.
    bool areLapsedEntriesBack = false;
    std::deque<Batch> batches;
    size_t rowCount = 0;
};

}
