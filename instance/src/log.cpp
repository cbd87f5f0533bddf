#include "log.hpp"

#include <peridotward/base/log_text.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace peridotward {

namespace {

log4cplus::LogLevel log4cplus_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr make_appender(const log_settings& configured)
{
    if (configured.file.empty())
        return log4cplus::SharedAppenderPtr{
            new log4cplus::ConsoleAppender{true, true}};
    return log4cplus::SharedAppenderPtr{
        new log4cplus::FileAppender{configured.file, std::ios_base::app}};
}

} // namespace

result<void>
start_log(const log_settings& configured, std::string_view instance)
{
    static const log4cplus::Initializer initializer;
    const auto level = from_name<log_level>(configured.level);
    if (!level)
        return fail(
            error_kind::config_invalid,
            "log.level: \"" + configured.level +
                "\" is not one of debug, info, warn, error");
    auto appender = make_appender(configured);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p instance=" +
        std::string{instance} + " %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    change_log_level(*level);
    return {};
}

void change_log_level(log_level level)
{
    log4cplus::Logger::getRoot().setLogLevel(log4cplus_level(level));
}

void log_event(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields)
{
    const auto root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(log4cplus_level(level)))
        return;
    std::string line = "event=";
    append_log_value(line, event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_log_value(line, field.value);
    }
    root.log(log4cplus_level(level), line);
}

} // namespace peridotward
