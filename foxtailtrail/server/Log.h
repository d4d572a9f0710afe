#pragma once

#include "foxtailtrail/base/Json.h"

#include <optional>
#include <string_view>

namespace foxtail {

// Severity of a log record.
enum class LogLevel : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// Returns the level with the given name ("debug", "info", "warning", "error"), or std::nullopt.
std::optional<LogLevel> logLevelByName(std::string_view);

// Starts logging to standard error: one JSON object per line, for records of the given level or higher.
void startLogging(LogLevel, std::string_view vmId);

// Starts logging to standard output for records of the given level or higher. Lines are buffered until flushLog(), which never blocks.
// Lines are dropped if the reader is slow or an event repeats too often; a later record reports how many. Must be used by one thread only.
void startNonBlockingLogging(LogLevel, std::string_view vmId);

// Writes the buffered lines. Must be called frequently.
void flushLog();

// Sets the lowest level that is written.
void setLogLevel(LogLevel);

// Writes one record with time (UTC), level, VM, event and the given fields. Fields must never contain a caller's key or statement.
void logEvent(LogLevel, std::string_view event, json::object fields = {});

}
