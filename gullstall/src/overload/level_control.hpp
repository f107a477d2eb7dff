#ifndef GULLSTALL_OVERLOAD_LEVEL_CONTROL_HPP
#define GULLSTALL_OVERLOAD_LEVEL_CONTROL_HPP

#include <array>
#include <cstdint>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/demand.hpp"
#include "gullstall/src/overload/priority.hpp"
#include "gullstall/src/overload/rules.hpp"

namespace gullstall {

/// Windows for which a level is remembered: within that time news of it reach
/// the entries, and what they let in by it reaches the service.
constexpr std::size_t remembered_windows = 10;

/// Settles the admission level of one upstream. At the end of a window in
/// which requests waited for slots, it solves for the level at which as many
/// pass as the slots drain, more or fewer by how far the queue is from its
/// target; in a window without waits it lets more pass.
struct level_control
{
    admission_level level = admit_all;
    std::array<admission_level, remembered_windows> past_levels{};
    std::size_t windows = 0;  ///< that have ended
    time_point window_end{};
    duration wait_sum{};
    std::uint32_t waits = 0;
    std::uint32_t admitted = 0;
    std::uint32_t finished = 0;
    duration held_sum{};  ///< time that the finished ones held their slots
    double held_us = 0;   ///< moving average of the time that a run holds a slot
    double drained = 0;   ///< requests a window that the slots drain
    double passing = 0;   ///< requests a window that are to pass
    demand_estimate demand;
    std::uint16_t protected_classes = 0;  ///< classes 0.. that hold protected calls
    std::array<std::uint32_t, priority_count> arrivals{};  ///< for admitted_share alone
};

/// What the queue looks like at the end of a window.
struct queue_state
{
    std::size_t waiting;
    std::size_t protected_waiting;
    double protected_targets;  ///< queue that protected calls aim at, in target waits
    std::uint32_t slots;
    bool drain_by_slots;
};

/// Queueing delay that the level aims at while requests are refused: short,
/// and long enough that chance gaps between arrivals leave no slot idle.
constexpr duration target_wait = milliseconds(20);

/// Notes the arrival of a request, admitted or not.
void note_arrival(level_control &it, priority of_request, bool is_protected, bool was_admitted);

/// Notes how long a request waited for a slot.
void note_wait(level_control &it, duration wait);

/// Notes that a request was answered after it \a held a slot.
void note_finished(level_control &it, duration held);

/// Moves the level when a window has passed.
/// \returns whether a window has passed
bool update_level(level_control &it, level_rule rule, const queue_state &queue, time_point now);

/// \returns the highest level of the remembered windows
admission_level recent_level(const level_control &it);

/// \returns requests that may wait for \a slots before new ones are refused,
/// by what the slots drain
std::size_t queue_bound(const level_control &it, std::uint32_t slots);

}  // namespace gullstall

#endif
