#ifndef GULLSTALL_MESH_GATE_LEVEL_HPP
#define GULLSTALL_MESH_GATE_LEVEL_HPP

#include <cstdint>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Level at which nothing is refused. It is beyond the share that the least
/// urgent of three classes needs (see class_step in service_levels.hpp).
constexpr double open_level = 6;

/// Lowest level: a few requests always pass, and tell when there is room again.
constexpr double least_level = 0.1;

/// How much an upstream's gate lets in, as the nodes that take requests are
/// told: at level 1 all of the most urgent class and the shares of the others
/// that go with it. It answers a load that lasts longer than a queue can: the
/// requests beyond what the slots run are refused where they enter, before work
/// is spent on them at the services above.
struct gate_level
{
    double level = open_level;
    time_point window_end{};
    duration wait_sum{};
    std::uint32_t waits = 0;
    std::uint32_t refused = 0;
};

/// Notes how long a call waited for its slot; 0 when it got one at once.
void note_gate_wait(gate_level &it, duration wait);

/// Notes a call that was refused because it would have waited too long.
void note_gate_refusal(gate_level &it);

/// Moves the level when a window has passed.
/// \param oldest_wait how long the call at the head of the queue has waited
/// \param used share of the slots in use
/// \returns whether the level has moved
bool update_gate_level(gate_level &it, duration oldest_wait, double used, time_point now);

}  // namespace gullstall::mesh

#endif
