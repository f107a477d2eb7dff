#ifndef GULLSTALL_EDGE_LINE_LOG_HPP
#define GULLSTALL_EDGE_LINE_LOG_HPP

#include <map>
#include <string>

#include "gullstall/mesh.hpp"

namespace gullstall::edge {

/// Non-blocking log on standard output, one JSON object per line. Lines are held in a
/// bounded buffer until they can be written; lines beyond the buffer or the rate limit
/// are dropped, counted by event and reported once per second.
class line_log
{
public:
    /// \param level one of debug, info, warn, error; info when empty
    line_log(const std::string &node, const std::string &level, std::uint32_t lines_per_second);

    void write(const mesh::write_line &line);

    /// Writes what standard output accepts without blocking, and reports dropped
    /// lines. Call several times per second.
    void tick(time_point now);

    /// \returns the number of lines dropped so far
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    void print(const mesh::write_line &line);

    std::string node_;
    std::uint32_t lines_per_second_;
    std::uint32_t lines_left_;
    time_point second_started_at_{};
    std::map<std::string, std::uint64_t> dropped_by_event_;
    std::uint64_t dropped_ = 0;
};

}  // namespace gullstall::edge

#endif
