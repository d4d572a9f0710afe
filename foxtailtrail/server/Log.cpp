#include "foxtailtrail/server/Log.h"

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/server/LogOutput.h"

#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <unistd.h>

namespace foxtail {

namespace {

    constexpr std::array<std::string_view, 4> logLevelNames { "debug", "info", "warning", "error" };

    struct LogState {
        LogLevel level = LogLevel::Info;
        std::string vmId;
        // Set if logging is non-blocking.
        std::unique_ptr<LogOutput> output;
        std::unique_ptr<std::ostream> stream;
        LogRateLimiter rateLimiter;
        TimePoint nextDropReportAt {};
    };

    // Interval between two reports of dropped lines.
    constexpr Duration dropReportInterval = std::chrono::seconds(1);

    TimePoint monotonicNow()
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }

    int64_t wholeSeconds(TimePoint time) { return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count(); }

    void addSink(std::ostream& stream, bool flushEachLine)
    {
        namespace sinks = boost::log::sinks;
        auto backend = boost::make_shared<sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&stream, [](std::ostream*) {}));
        backend->auto_flush(flushEachLine);
        boost::log::core::get()->add_sink(boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
    }

    LogState& logState()
    {
        static LogState state;
        return state;
    }

}

std::optional<LogLevel> logLevelByName(std::string_view name)
{
    // Settings may name the level "trace", which logs no more than "debug".
    if (name == "trace")
        return LogLevel::Debug;
    for (size_t index = 0; index < logLevelNames.size(); ++index) {
        if (logLevelNames[index] == name)
            return static_cast<LogLevel>(index);
    }
    return std::nullopt;
}

void startLogging(LogLevel level, std::string_view vmId)
{
    logState().level = level;
    logState().vmId = vmId;
    addSink(std::clog, true);
}

void startNonBlockingLogging(LogLevel level, std::string_view vmId)
{
    LogState& state = logState();
    state.level = level;
    state.vmId = vmId;
    state.output = std::make_unique<LogOutput>(STDOUT_FILENO);
    state.stream = std::make_unique<std::ostream>(state.output.get());
    addSink(*state.stream, false);
}

void flushLog()
{
    LogState& state = logState();
    if (!state.output)
        return;
    const TimePoint now = monotonicNow();
    if (now >= state.nextDropReportAt) {
        state.nextDropReportAt = now + dropReportInterval;
        for (const auto& [event, count] : state.rateLimiter.takeDroppedLineCounts())
            logEvent(LogLevel::Warning, "log lines dropped",
                { { "of", event }, { "count", count }, { "why", "rate limit of the event exceeded" } });
        if (const uint64_t count = state.output->takeDroppedLineCount(); count > 0)
            logEvent(LogLevel::Warning, "log lines dropped", { { "count", count }, { "why", "buffer full because the reader is slow" } });
    }
    state.output->flush();
}

void setLogLevel(LogLevel level) { logState().level = level; }

void logEvent(LogLevel level, std::string_view event, json::object fields)
{
    if (level < logState().level)
        return;
    if (logState().output && !logState().rateLimiter.admit(event, wholeSeconds(monotonicNow())))
        return;
    json::object record { { "time", boost::posix_time::to_iso_extended_string(boost::posix_time::microsec_clock::universal_time()) + "Z" },
        { "level", logLevelNames[static_cast<size_t>(level)] }, { "vm", logState().vmId }, { "event", event } };
    for (auto& field : fields)
        record[field.key()] = std::move(field.value());
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    BOOST_LOG_SEV(logger, level) << json::serialize(record);
}

}
