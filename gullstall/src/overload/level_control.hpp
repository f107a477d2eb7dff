#ifndef GULLSTALL_OVERLOAD_LEVEL_CONTROL_HPP
#define GULLSTALL_OVERLOAD_LEVEL_CONTROL_HPP

#include <array>
#include <cstdint>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/priority.hpp"

namespace gullstall {

/// Settles the admission level of one upstream from the queueing delay at its
/// slots: a delay above the target lowers the level by a share of what was
/// admitted in the last window, a delay below raises it by a smaller share.
struct level_control
{
    admission_level level = admit_all;
    time_point window_end{};
    duration wait_sum{};
    std::uint32_t waits = 0;
    std::uint32_t admitted = 0;
    std::array<std::uint32_t, priority_count> arrivals{};
};

/// Notes the arrival of a request, admitted or not.
void note_arrival(level_control &it, priority of_request, bool was_admitted);

/// Notes how long a request waited for a slot.
void note_wait(level_control &it, duration wait);

/// Moves the level when a window has passed.
void update_level(level_control &it, time_point now);

}  // namespace gullstall

#endif
