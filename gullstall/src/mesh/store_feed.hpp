#ifndef GULLSTALL_MESH_STORE_FEED_HPP
#define GULLSTALL_MESH_STORE_FEED_HPP

#include <cstdint>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// When the feeds of a watcher of the platform's store end. A feed that is answered shows that
/// its connection works; those of several watchers end in turn, by the store's clock, so that
/// one of them notices early that their connections have gone silent.
struct feed_timing
{
    duration interval{};  ///< from one end to the next
    double phase = 0;     ///< of the ends within the interval, in [0, 1)

    bool operator==(const feed_timing &) const = default;
};

/// \param store_ms clock of the store, milliseconds; 0: not known
/// \returns the time that a feed sent now is to wait for changes, at most nine eighths of the
/// interval
duration feed_wait(const feed_timing &it, std::uint64_t store_ms);

/// \param delay of a recent answer
/// \param longest result
/// \returns the time in which an answer that is due has to come before the connection counts as
/// silent
duration answer_margin(duration delay, duration longest);

}  // namespace gullstall::mesh

#endif
