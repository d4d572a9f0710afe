#include "foxtailtrail/server/Log.h"

#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <iostream>
#include <string>

namespace foxtail {

namespace {

    constexpr std::array<std::string_view, 4> logLevelNames { "debug", "info", "warning", "error" };

    struct LogState {
        LogLevel level = LogLevel::Info;
        std::string vmId;
    };

    LogState& logState()
    {
        static LogState state;
        return state;
    }

}

std::optional<LogLevel> logLevelByName(std::string_view name)
{
    for (size_t index = 0; index < logLevelNames.size(); ++index) {
        if (logLevelNames[index] == name)
            return static_cast<LogLevel>(index);
    }
    return std::nullopt;
}

void startLogging(LogLevel level, std::string_view vmId)
{
    logState() = { level, std::string(vmId) };
    namespace sinks = boost::log::sinks;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
}

void setLogLevel(LogLevel level) { logState().level = level; }

void logEvent(LogLevel level, std::string_view event, json::object fields)
{
    if (level < logState().level)
        return;
    json::object record { { "time", boost::posix_time::to_iso_extended_string(boost::posix_time::microsec_clock::universal_time()) + "Z" },
        { "level", logLevelNames[static_cast<size_t>(level)] }, { "vm", logState().vmId }, { "event", event } };
    for (auto& field : fields)
        record[field.key()] = std::move(field.value());
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    BOOST_LOG_SEV(logger, level) << json::serialize(record);
}

}
