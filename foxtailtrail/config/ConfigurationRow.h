#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The number of change records that the row keeps. The record of a change must stay in the row until its proposer has read the row back,
// which takes seconds; far fewer than 32 changes are made in that time.
constexpr size_t maxRecentChanges = 32;

// The key of the store's row.
constexpr std::string_view configurationRowKey = "configuration";

// One stored change.
struct ChangeRecord {
    uint64_t version = 0;
    std::string changeId;
    std::string author;
};

// The value of the store's row: the latest changes, newest first, and the digest of the newest version's document.
struct ConfigurationRow {
    std::string digest;
    std::vector<ChangeRecord> recentChanges;

    uint64_t version() const { return this->recentChanges.empty() ? 0 : this->recentChanges.front().version; }
};

// Returns the row that follows the previous row and makes the document the newest version.
ConfigurationRow makeConfigurationRow(const Configuration&, const ConfigurationRow& previous);

// Returns the name of the immutable object of a version. It contains the digest, because two concurrent proposals may write different
// documents with the same version.
std::string configurationObjectName(uint64_t version, std::string_view digest);

std::string serializeConfigurationRow(const ConfigurationRow&);

// Parses a row. Fails with MalformedRequest; the error names the invalid member.
Result<ConfigurationRow> parseConfigurationRow(std::string_view text);

}
