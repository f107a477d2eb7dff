#ifndef GULLSTALL_EDGE_LOOP_WATCH_HPP
#define GULLSTALL_EDGE_LOOP_WATCH_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "gullstall/core.hpp"

namespace gullstall::edge {

/// Time for which the event loop was held up, and by what.
struct loop_hold
{
    const char *doing = "";
    duration length{};

    bool operator==(const loop_hold &) const = default;
};

/// Notices when the event loop is held up: nothing else is read, answered or expired meanwhile.
/// A process that is paused looks the same.
struct loop_watch
{
    std::uint64_t holds = 0;
    duration longest{};
    std::optional<time_point> last_tick_at;
    duration held_since_tick{};  ///< by steps that were reported
};

/// Length from which on a hold is reported.
inline constexpr duration min_hold = milliseconds(100);

/// Records a step of the loop.
/// \returns the hold, if the step was one
std::optional<loop_hold> record_step(loop_watch &it, const char *doing, time_point began,
                                     time_point ended);

/// Records a tick, which is due mesh_tick_interval after the one before.
/// \returns the hold that no step explains, if any
std::optional<loop_hold> record_tick(loop_watch &it, time_point at);

/// \returns the counters in the text exposition format
std::string print_metrics(const loop_watch &it);

}  // namespace gullstall::edge

#endif
