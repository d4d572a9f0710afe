#include "foxtailtrail/proxy/TableChangeLog.h"

#include <algorithm>

namespace foxtail {

namespace {

    // A VM that follows this one asks again after a few seconds, so a short log serves it.
    constexpr size_t maxLoggedRows = 2000;

}

void TableChangeLog::restart(const RowSet& table)
{
    this->restartAt(table.version);
    this->areLapsedEntriesBack = table.areLapsedEntriesBack;
}

void TableChangeLog::restartAt(const StoreVersion& version)
{
    this->hasStarted = true;
    this->oldestVersion = version;
    this->newestVersion = version;
    this->batches.clear();
    this->rowCount = 0;
}

void TableChangeLog::append(const StoreVersion& after, const RowSet& changes)
{
    if (!this->hasStarted || after != this->newestVersion)
        this->restartAt(after);
    this->areLapsedEntriesBack = changes.areLapsedEntriesBack;
    this->newestVersion = std::max(this->newestVersion, changes.version);
    if (changes.rows.empty())
        return;
    this->batches.push_back({ this->newestVersion, changes.rows });
    this->rowCount += changes.rows.size();
    while (this->rowCount > maxLoggedRows) {
        this->oldestVersion = this->batches.front().version;
        this->rowCount -= this->batches.front().rows.size();
        this->batches.pop_front();
    }
}

std::optional<RowSet> TableChangeLog::changesAfter(const StoreVersion& version) const
{
    if (!this->hasStarted || version.era != this->newestVersion.era || version < this->oldestVersion)
        return std::nullopt;
    RowSet changes;
    changes.version = std::max(version, this->newestVersion);
    // The log says nothing about the time after its own newest version.
    changes.areLapsedEntriesBack = this->areLapsedEntriesBack && version <= this->newestVersion;
    for (const Batch& batch : this->batches) {
        if (batch.version > version)
            changes.rows.insert(changes.rows.end(), batch.rows.begin(), batch.rows.end());
    }
    return changes;
}

}
