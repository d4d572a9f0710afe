#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <string_view>

namespace foxtail {

// The largest number of witnesses. A majority of five tolerates two failures; more would only add traffic.
constexpr size_t maximumWitnesses = 5;
// The smallest length of the fleet's secret in characters.
constexpr size_t minimumSecretLength = 16;
// Each server keeps one connection for monitoring and two for promotion and claims.
constexpr uint32_t reservedConnectionsPerServer = 3;

// Whether a text can be an id: 1 to 64 ASCII letters, digits, '-', '_' and '.'.
bool isValidId(std::string_view text);

// Checks every rule of a document: ids, ranges, duplicates and references.
// Fails with MalformedRequest, naming the member at fault and what is allowed.
Result<void> validateConfiguration(const Configuration&);

}
