#pragma once

#include "foxtailtrail/proxy/DeclarationDecoder.h"
#include "foxtailtrail/proxy/SharedStore.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <map>
#include <optional>
#include <string>

namespace foxtail {

// The rows of one response of the store about backend servers, decoded. A response may hold several rows of one server, in the order of
// their changes: its entry lapsed and came back. The last one counts.
class ServerChanges {
public:
    // A row that cannot be decoded is logged and counts as removed.
    static ServerChanges decode(const RowSet&, const DeclarationDecoder&);

    // What a response holds.
    enum class Content : uint8_t {
        Changes,
        WholeList,
        // A whole list of a store that was restored from an older copy.
        OlderCopy,
    };
    void applyTo(ServerDirectory&, Content, TimePoint now) const;

    size_t listedCount() const { return this->listed().size(); }
    // Returns the ids of the removed servers, or the first of many.
    std::string describeRemoved() const;
    bool hasRemoved() const;

private:
    std::vector<ServerEntry> listed() const;

    // The entry of each server, or std::nullopt for a removed one.
    std::map<BackendServerId, std::optional<ServerEntry>> latest;
    bool areLapsedEntriesBack = false;
};

}
