#ifndef GULLSTALL_MESH_REQUEST_WINDOW_HPP
#define GULLSTALL_MESH_REQUEST_WINDOW_HPP

#include <cstddef>
#include <deque>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Requests that an upstream got within a sliding window of \c request_window_length.
struct request_window
{
    struct entry
    {
        time_point at{};
        bool is_retry = false;
        bool is_nested = false;
    };
    std::deque<entry> entries;
};

constexpr duration request_window_length = seconds(4);

/// Numbers of requests in a window.
struct request_counts
{
    std::size_t all = 0;
    std::size_t retries = 0;  ///< of these, sent after an earlier attempt reached an upstream
    std::size_t nested = 0;   ///< of these, calls made by runs

    bool operator==(const request_counts &) const = default;
};

/// Adds a request and drops those that have left the window.
void record_request(request_window &it, const request_window::entry &request);

request_counts counts_in_window(const request_window &it, time_point now);

}  // namespace gullstall::mesh

#endif
