#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The number of change records that the row keeps. Later changes must not hide whether a change was stored before its
// proposer has read the row back, which takes seconds; today's rate is far below 32 changes in that time.
constexpr size_t maxRecentChanges = 32;

// The key of the store's row.
constexpr std::string_view configurationRowKey = "configuration";

// One accepted change.
struct ChangeRecord {
    uint64_t version = 0;
    std::string changeId;
    std::string author;
};

// The value of the store's row: the newest version, the digest of its document and the latest changes, newest first.
struct ConfigurationRow {
    std::string digest;
    std::vector<ChangeRecord> recentChanges;

    uint64_t version() const { return this->recentChanges.empty() ? 0 : this->recentChanges.front().version; }
};

// The row that makes a document the newest version after the given row.
ConfigurationRow makeConfigurationRow(const Configuration&, const ConfigurationRow& before);

// The name of a version's immutable object. It includes the digest, as two operators who race write the same version.
std::string configurationObjectName(uint64_t version, std::string_view digest);

std::string serializeConfigurationRow(const ConfigurationRow&);

// Fails with MalformedRequest, naming the member at fault.
Result<ConfigurationRow> parseConfigurationRow(std::string_view text);

}
