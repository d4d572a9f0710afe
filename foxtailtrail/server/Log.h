#pragma once

#include "foxtailtrail/base/Json.h"

#include <optional>
#include <string_view>

namespace foxtail {

// How important a log record is.
enum class LogLevel : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// The level with the given name ("debug", "info", "warning", "error"), or nothing.
std::optional<LogLevel> logLevelByName(std::string_view);

// Sends log records to standard error, one JSON object per line, from the given level on.
void startLogging(LogLevel, std::string_view vmId);

// Sends log records to standard output from the given level on. Lines are collected until flushLog(), which never blocks; a reader
// that is slow and an event that repeats too often lose lines, and a later line tells how many. Used by one thread.
void startNonBlockingLogging(LogLevel, std::string_view vmId);

// Writes the collected lines. Called often.
void flushLog();

// Changes the level from which on records are written.
void setLogLevel(LogLevel);

// Writes one record: time (UTC), level, VM, event and the given fields. Fields never hold a caller's key or statement.
void logEvent(LogLevel, std::string_view event, json::object fields = {});

}
