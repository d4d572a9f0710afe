#include "foxtailtrail/proxy/ServerChanges.h"

#include "foxtailtrail/server/Log.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Bounds a log line.
    constexpr size_t maxDescribedServers = 12;

}

ServerChanges ServerChanges::decode(const RowSet& rows, const DeclarationDecoder& decoder)
{
    ServerChanges changes;
    changes.areLapsedEntriesBack = rows.areLapsedEntriesBack;
    for (const TableRow& row : rows.rows) {
        std::optional<ServerEntry>& latest = changes.latest[BackendServerId(row.key)];
        latest.reset();
        if (row.isDeleted)
            continue;
        if (const Result<ServerEntry> entry = decoder.decodeServer(row.key, row.value))
            latest = entry.value();
        else
            logEvent(LogLevel::Warning, "server entry ignored: it cannot be decoded",
                { { "server", row.key }, { "detail", entry.error().detail } });
    }
    return changes;
}

void ServerChanges::applyTo(ServerDirectory& directory, Content content, TimePoint now) const
{
    const std::vector<ServerEntry> entries = this->listed();
    switch (content) {
    case Content::OlderCopy:
        directory.replaceAllFromOlderCopy(entries, now);
        break;
    case Content::WholeList:
        if (this->areLapsedEntriesBack)
            directory.replaceAll(entries, now);
        else
            directory.replaceAllAwaitingReturn(entries);
        break;
    case Content::Changes:
        for (const ServerEntry& entry : entries)
            directory.put(entry);
        break;
    }
    for (const auto& [id, entry] : this->latest) {
        if (entry)
            continue;
        if (this->areLapsedEntriesBack)
            directory.remove(id, now);
        else
            directory.awaitReturn(id);
    }
    if (this->areLapsedEntriesBack)
        directory.removeMissing(now);
}

std::vector<ServerEntry> ServerChanges::listed() const
{
    std::vector<ServerEntry> entries;
    for (const auto& [id, entry] : this->latest) {
        if (entry)
            entries.push_back(*entry);
    }
    return entries;
}

bool ServerChanges::hasRemoved() const
{
    return std::any_of(this->latest.begin(), this->latest.end(), [](const auto& server) { return !server.second; });
}

std::string ServerChanges::describeRemoved() const
{
    std::string text;
    size_t count = 0;
    for (const auto& [id, entry] : this->latest) {
        if (entry)
            continue;
        if (++count > maxDescribedServers)
            return text + ", ...";
        text += (text.empty() ? "" : ", ") + id.value;
    }
    return text;
}

}
