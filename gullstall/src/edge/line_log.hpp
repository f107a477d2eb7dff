#ifndef GULLSTALL_EDGE_LINE_LOG_HPP
#define GULLSTALL_EDGE_LINE_LOG_HPP

#include <map>
#include <string>

#include "gullstall/mesh.hpp"

namespace gullstall::edge {

/// Log of one JSON object a line, on standard output. It never blocks: lines
/// wait in a bounded buffer until the reader takes them, and what is beyond the
/// buffer or the rate is counted by kind of event and told once a second.
class line_log
{
public:
    /// \param level one of debug, info, warn, error; empty: info
    line_log(const std::string &node, const std::string &level, std::uint32_t lines_per_second);

    void write(const mesh::write_line &line);

    /// Hands to standard output what it takes, and tells what was dropped; to be
    /// called several times a second.
    void tick(time_point now);

    /// \returns how many lines were dropped so far
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    void print(const mesh::write_line &line);

    std::string node_;
    std::uint32_t lines_per_second_;
    std::uint32_t lines_left_;
    time_point second_at_{};
    std::map<std::string, std::uint64_t> dropped_by_event_;
    std::uint64_t dropped_ = 0;
};

}  // namespace gullstall::edge

#endif
