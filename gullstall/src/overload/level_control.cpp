#include "gullstall/src/overload/level_control.hpp"

#include <algorithm>

namespace gullstall {

namespace {

constexpr duration admitted_share_window = milliseconds(100);
constexpr double decrease_fraction = 0.05;
constexpr double increase_fraction = 0.01;

constexpr duration queue_target_window = milliseconds(50);
constexpr double smoothing_factor = 0.3;

/// Proportional gain: part of the queue's deviation from its target that is
/// corrected in one window.
constexpr double queue_gain = 0.4;

/// Growth factor of the admission rate in a window without waits. It can be
/// small because the drain rate is known and need not be probed for. It must be small
/// because an overshoot reaches the slots only after entry nodes have received the
/// new level.
constexpr double rate_growth = 1.02;

/// Ranks by which the level rises in a window once it covers all demand. A jump
/// to admit_all would distort the average level that entry nodes compute.
constexpr int level_step = 64;

/// Lower bound of the admission rate, as a fraction of the drain rate: a long
/// queue is drained without stopping admission entirely.
constexpr double min_rate_fraction = 0.5;

/// Keeps the admission rate finite during long periods without waits.
constexpr double max_admission_rate = 1e6;

/// Mean waits up to this occur also in a service with free slots.
constexpr duration negligible_wait = milliseconds(1);

/// Maximum queue length, as a multiple of the target length.
constexpr double max_queue_in_targets = 3;

/// \returns the level that admits about \a target of the arrivals of the window
admission_level level_by_arrivals(const level_control &control, double target)
{
    double sum = 0;
    for (std::uint16_t i = 0; i < priority_count; ++i) {
        sum += control.arrivals[i];
        if (sum > target) {
            return admission_level{i};
        }
    }
    return admit_all;
}

void update_by_admitted_share(level_control &control)
{
    bool overloaded =
        control.wait_count > 0 && control.total_wait / control.wait_count > target_queue_delay;
    double admitted = control.admitted;
    if (overloaded) {
        control.level = level_by_arrivals(control, admitted * (1 - decrease_fraction));
    } else if (control.level < admit_all) {
        control.level = level_by_arrivals(control, admitted * (1 + increase_fraction) + 1);
    }
    control.arrivals.fill(0);
}

double target_queue_length(const level_control &control)
{
    return control.drain_rate * static_cast<double>(target_queue_delay.count()) /
           static_cast<double>(queue_target_window.count());
}

double target_admission_rate(const level_control &control, std::size_t waiting, double targets)
{
    double deviation = targets * target_queue_length(control) - static_cast<double>(waiting);
    double rate = control.drain_rate + queue_gain * deviation;
    return std::max(rate, min_rate_fraction * control.drain_rate);
}

admission_level raised_level(const level_control &control)
{
    if (std::optional<admission_level> solved =
            level_admitting(control.demand, control.admission_rate)) {
        return *solved;
    }
    int level = std::max(control.level, level_covering_demand(control.demand)).highest + level_step;
    return std::min(admit_all, admission_level{static_cast<std::uint16_t>(level)});
}

void update_mean_hold_time(level_control &control)
{
    if (control.finished == 0) {
        return;
    }
    double mean = static_cast<double>(control.total_hold_time.count()) / control.finished;
    control.mean_hold_us +=
        (control.mean_hold_us == 0 ? 1 : smoothing_factor) * (mean - control.mean_hold_us);
}

void update_by_queue_target(level_control &control, const queue_state &queue)
{
    update_mean_hold_time(control);
    bool waited = queue.waiting > 0 || (control.wait_count > 0 &&
                                        control.total_wait / control.wait_count > negligible_wait);
    end_window(control.demand, control.level);
    if (!queue.drain_rate_by_hold_time && waited) {
        control.drain_rate += (control.drain_rate == 0 ? 1 : smoothing_factor) *
                              (control.finished - control.drain_rate);
    } else if (queue.drain_rate_by_hold_time && control.mean_hold_us > 0) {
        control.drain_rate =
            queue.slots * static_cast<double>(queue_target_window.count()) / control.mean_hold_us;
    }
    if (!waited) {
        control.admission_rate = std::max({control.admission_rate, control.drain_rate,
                                           static_cast<double>(control.admitted)}) *
                                 rate_growth;
        control.admission_rate = std::min(control.admission_rate, max_admission_rate);
        control.level = std::max(control.level, raised_level(control));
        return;
    }
    control.admission_rate = target_admission_rate(control, queue.waiting, 1);
    admission_level common_level =
        level_admitting(control.demand, control.admission_rate)
            .value_or(std::max(control.level, level_covering_demand(control.demand)));
    // Protected calls are queued ahead of all others. Their level depends on the
    // queue of protected calls only: lower-priority work must not cause refusals.
    int last_protected = control.protected_class_count * ranks_per_class - 1;
    if (common_level.highest < last_protected) {
        admission_level protected_level =
            level_admitting(control.demand, target_admission_rate(control, queue.protected_waiting,
                                                                  queue.protected_targets))
                .value_or(admit_all);
        common_level.highest = std::min<std::uint16_t>(protected_level.highest,
                                                       static_cast<std::uint16_t>(last_protected));
    }
    control.level = common_level;
}

}  // namespace

void record_arrival(level_control &control, priority of_request, bool is_protected,
                    bool was_admitted)
{
    ++control.arrivals[of_request.value];
    record_demand(control.demand, of_request);
    control.admitted += was_admitted ? 1 : 0;
    if (is_protected) {
        auto end = static_cast<std::uint16_t>(of_request.value / ranks_per_class + 1);
        control.protected_class_count = std::max(control.protected_class_count, end);
    }
}

void record_wait(level_control &control, duration wait)
{
    control.total_wait += wait;
    ++control.wait_count;
}

void record_completion(level_control &control, duration held)
{
    ++control.finished;
    control.total_hold_time += held;
}

bool update_level(level_control &control, level_rule rule, const queue_state &queue, time_point now)
{
    if (now < control.window_end) {
        return false;
    }
    control.level_history[control.window_count++ % level_history_size] = control.level;
    if (rule == level_rule::admitted_share) {
        update_by_admitted_share(control);
        control.window_end = now + admitted_share_window;
    } else if (rule == level_rule::queue_target) {
        update_by_queue_target(control, queue);
        control.window_end = now + queue_target_window;
    }
    control.total_wait = duration{};
    control.wait_count = 0;
    control.admitted = 0;
    control.finished = 0;
    control.total_hold_time = duration{};
    return true;
}

admission_level recent_level(const level_control &control)
{
    return std::max(control.level,
                    *std::max_element(control.level_history.begin(), control.level_history.end()));
}

std::size_t soft_queue_limit(const level_control &control, std::uint32_t slots)
{
    double by_drain_rate = max_queue_in_targets * target_queue_length(control);
    return std::max<std::size_t>(slots / 4 + 1, static_cast<std::size_t>(by_drain_rate));
}

}  // namespace gullstall
