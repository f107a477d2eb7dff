#include "gullstall/src/edge/line_log.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <boost/json.hpp>

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::edge {

namespace {

/// Size of the buffer of lines not yet written to standard output.
constexpr std::size_t max_buffered_bytes = 256U << 10U;

/// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t max_write_bytes = 4096;

/// One in this many of the lines per second is reserved for warnings.
constexpr std::uint32_t warning_reserve_divisor = 4;

/// Appender that buffers lines until standard output accepts them.
class buffer_appender : public log4cplus::Appender
{
public:
    ~buffer_appender() override
    {
        destructorImpl();
    }

    void close() override {}

    /// \returns whether the buffer accepts another line
    bool has_room() const
    {
        return buffer_.size() < max_buffered_bytes;
    }

    void flush()
    {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        while (!buffer_.empty() && ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
            ssize_t n =
                ::write(STDOUT_FILENO, buffer_.data(), std::min(buffer_.size(), max_write_bytes));
            if (n <= 0) {
                return;
            }
            buffer_.erase(0, static_cast<std::size_t>(n));
        }
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        buffer_ += event.getMessage();
        buffer_ += '\n';
    }

private:
    std::string buffer_;
};

buffer_appender &appender()
{
    static log4cplus::Initializer initializer;
    static auto *out = new buffer_appender;  // owned by the shared pointer below
    static log4cplus::SharedAppenderPtr owner(out);
    return *out;
}

}  // namespace

line_log::line_log(const std::string &node, const std::string &level,
                   std::uint32_t lines_per_second)
    : node_(node), lines_per_second_(lines_per_second), lines_left_(lines_per_second)
{
    log4cplus::SharedAppenderPtr shared(&appender());
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(shared);
    std::string name = level.empty() ? "INFO" : level;
    for (char &c : name) {
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(name));
}

void line_log::print(const mesh::write_line &line)
{
    boost::json::object out;
    bool is_warning = line.level == mesh::write_line::severity::warning;
    out["time_ms"] = unix_ms();
    out["level"] = is_warning ? "warn" : "info";
    out["node"] = node_;
    out["part"] = line.part;
    out["event"] = line.event;
    for (const mesh::log_field &field : line.fields) {
        out[field.name] = field.value;
    }
    log4cplus::Logger logger = log4cplus::Logger::getInstance(line.part);
    if (is_warning) {
        LOG4CPLUS_WARN(logger, boost::json::serialize(out));
    } else {
        LOG4CPLUS_INFO(logger, boost::json::serialize(out));
    }
}

void line_log::write(const mesh::write_line &line)
{
    bool is_warning = line.level == mesh::write_line::severity::warning;
    std::uint32_t reserved = is_warning ? 0 : lines_per_second_ / warning_reserve_divisor;
    if (lines_left_ <= reserved || !appender().has_room()) {
        ++dropped_;
        ++dropped_by_event_[line.event];
        return;
    }
    --lines_left_;
    print(line);
}

void line_log::tick(time_point now)
{
    if (now - second_started_at_ >= seconds(1)) {
        second_started_at_ = now;
        lines_left_ = lines_per_second_;
        for (const auto &[event, n] : dropped_by_event_) {
            print(mesh::write_line{mesh::write_line::severity::warning,
                                   "log",
                                   "lines-dropped",
                                   {{"dropped_event", event}, {"lines", std::to_string(n)}}});
        }
        dropped_by_event_.clear();
    }
    appender().flush();
}

}  // namespace gullstall::edge
