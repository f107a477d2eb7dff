#ifndef GULLSTALL_OVERLOAD_LEVEL_CONTROL_HPP
#define GULLSTALL_OVERLOAD_LEVEL_CONTROL_HPP

#include <array>
#include <cstdint>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/overload/demand.hpp"
#include "gullstall/src/overload/priority.hpp"
#include "gullstall/src/overload/rules.hpp"

namespace gullstall {

/// Number of past windows whose level is kept: the time in which entry nodes
/// receive a level and the requests that they admitted by it arrive.
constexpr std::size_t level_history_size = 10;

/// Controls the admission level of one upstream. After a window in which
/// requests waited for slots, the level is solved so that the admission rate
/// equals the drain rate of the slots, corrected in proportion to the distance
/// of the queue from its target length. After a window without waits the
/// admission rate is increased.
struct level_control
{
    admission_level level = admit_all;
    std::array<admission_level, level_history_size> level_history{};
    std::size_t window_count = 0;  ///< completed windows
    time_point window_end{};
    duration total_wait{};
    std::uint32_t wait_count = 0;
    std::uint32_t admitted = 0;
    std::uint32_t finished = 0;
    duration total_hold_time{};  ///< slot hold time of the finished requests
    double mean_hold_us = 0;     ///< moving average of the slot hold time of a run
    double drain_rate = 0;       ///< drain rate of the slots, requests per window
    double admission_rate = 0;   ///< target admission rate, requests per window
    demand_estimate demand;
    std::uint16_t protected_class_count = 0;  ///< protected calls have a class below it
    /// Arrivals by priority, used by level_rule::admitted_share only.
    std::array<std::uint32_t, priority_count> arrivals{};
};

/// State of the queue at the end of a window.
struct queue_state
{
    std::size_t waiting;
    std::size_t protected_waiting;
    double protected_targets;  ///< target queue of protected calls, in target delays
    std::uint32_t slots;
    bool drain_rate_by_hold_time;
};

/// Target queueing delay while requests are refused: short, but long enough
/// that random gaps between arrivals leave no slot idle.
constexpr duration target_queue_delay = milliseconds(20);

/// Records the arrival of a request, admitted or not.
void record_arrival(level_control &control, priority of_request, bool is_protected,
                    bool was_admitted);

/// Records the time that a request waited for a slot.
void record_wait(level_control &control, duration wait);

/// Records that a request was answered after it \a held a slot.
void record_completion(level_control &control, duration held);

/// Updates the level at the end of a window.
/// \returns whether a window has ended
bool update_level(level_control &control, level_rule rule, const queue_state &queue,
                  time_point now);

/// \returns the highest level of the current and the recorded windows
admission_level recent_level(const level_control &control);

/// \returns the number of requests that may wait for \a slots before new ones
/// are refused, derived from the drain rate
std::size_t soft_queue_limit(const level_control &control, std::uint32_t slots);

}  // namespace gullstall

#endif
