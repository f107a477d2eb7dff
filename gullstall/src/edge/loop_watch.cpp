#include "gullstall/src/edge/loop_watch.hpp"

#include <algorithm>

#include "gullstall/mesh.hpp"

namespace gullstall::edge {

namespace {

std::optional<loop_hold> note_hold(loop_watch &it, const char *doing, duration length)
{
    if (length <= min_hold) {
        return std::nullopt;
    }
    ++it.holds;
    it.longest = std::max(it.longest, length);
    return loop_hold{doing, length};
}

}  // namespace

std::optional<loop_hold> record_step(loop_watch &it, const char *doing, time_point began,
                                     time_point ended)
{
    std::optional<loop_hold> out = note_hold(it, doing, ended - began);
    it.held_since_tick += out ? out->length : duration{};
    return out;
}

std::optional<loop_hold> record_tick(loop_watch &it, time_point at)
{
    std::optional<loop_hold> out;
    if (it.last_tick_at) {
        duration late = at - *it.last_tick_at - mesh::mesh_tick_interval;
        out = note_hold(it, "outside of a step", late - it.held_since_tick);
    }
    it.last_tick_at = at;
    it.held_since_tick = duration{};
    return out;
}

std::string print_metrics(const loop_watch &it)
{
    return "# TYPE gullstall_loop_holds_total counter\ngullstall_loop_holds_total " +
           std::to_string(it.holds) +
           "\n# TYPE gullstall_loop_longest_hold_seconds gauge\n"
           "gullstall_loop_longest_hold_seconds " +
           std::to_string(to_seconds(it.longest)) + "\n";
}

}  // namespace gullstall::edge
