#include "gullstall/src/runtime/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <mutex>

namespace gullstall::runtime {

namespace {

void add_appender(const std::string &instance, const std::string &level)
{
    static log4cplus::Initializer initializer;
    constexpr bool to_stderr = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(to_stderr, flush_each_line));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p " +
                                                                   instance + " %c: %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    std::string name = level.empty() ? "INFO" : level;
    for (char &c : name) {
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(name));
}

}  // namespace

void open_log(const std::string &instance, const std::string &level)
{
    // Tests run several nodes in one process: a second appender would print
    // every line twice.
    static std::once_flag opened;
    std::call_once(opened, [&] { add_appender(instance, level); });
}

void write_line(const write_log &it)
{
    log4cplus::Logger logger = log4cplus::Logger::getInstance(it.part);
    if (it.level == write_log::severity::warning) {
        LOG4CPLUS_WARN(logger, it.text);
    } else {
        LOG4CPLUS_INFO(logger, it.text);
    }
}

}  // namespace gullstall::runtime
