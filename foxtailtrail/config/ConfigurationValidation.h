#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <string>
#include <string_view>

namespace foxtail {

// A majority of five witnesses tolerates two failures; more witnesses would only add traffic.
constexpr size_t maximumWitnesses = 5;
// The minimum length of the fleet secret in characters.
constexpr size_t minimumSecretLength = 16;
// Each server reserves one connection for monitoring and two for promotion and claims.
constexpr uint32_t reservedConnectionsPerServer = 3;

// Returns whether the text is a valid id: 1 to 64 ASCII letters, digits, '-', '_' or '.'.
bool isValidId(std::string_view text);

// Returns whether the text is an IPv4 or IPv6 address.
bool isIpAddress(const std::string& text);

// Checks all rules of a document: ids, ranges, duplicates and references. Fails with MalformedRequest; the error names the invalid
// member and the rule that it violates.
Result<void> validateConfiguration(const Configuration&);

}
