#include "gullstall/src/overload/level_control.hpp"

#include <algorithm>

namespace gullstall {

namespace {

constexpr duration share_window = milliseconds(100);
constexpr double down_share = 0.05;
constexpr double up_share = 0.01;

constexpr duration target_window = milliseconds(50);
constexpr double drained_weight = 0.3;

/// Share of the queue's distance from its target that one window makes up for.
constexpr double queue_gain = 0.4;

/// Growth of what passes in a window without waits. What the slots drain is
/// known, so that it need not be searched for; an overshoot reaches the slots
/// only after the entries have heard of it.
constexpr double growth = 1.02;

/// Ranks that the level rises in a window once all that is asked for passes.
/// A jump to the end would carry the average that the entries form with it.
constexpr int rise = 64;

/// Least share of what the slots drain that passes, however long the queue is:
/// a burst is worked off without a pause in admission.
constexpr double least_share = 0.5;

/// Keeps what passes finite through a long time without waits.
constexpr double most_passing = 1e6;

/// Waits shorter than this are those of a service with slots to spare.
constexpr duration no_wait = milliseconds(1);

/// Requests that the queue holds, in target waits.
constexpr double bound_in_targets = 3;

/// \returns the level at which about \a target of the window's arrivals pass
admission_level level_of_arrivals(const level_control &it, double target)
{
    double sum = 0;
    for (std::uint16_t i = 0; i < priority_count; ++i) {
        sum += it.arrivals[i];
        if (sum > target) {
            return admission_level{i};
        }
    }
    return admit_all;
}

void move_by_share(level_control &it)
{
    bool overloaded = it.waits > 0 && it.wait_sum / it.waits > target_wait;
    double admitted = it.admitted;
    if (overloaded) {
        it.level = level_of_arrivals(it, admitted * (1 - down_share));
    } else if (it.level < admit_all) {
        it.level = level_of_arrivals(it, admitted * (1 + up_share) + 1);
    }
    it.arrivals.fill(0);
}

double target_queue(const level_control &it)
{
    return it.drained * static_cast<double>(target_wait.count()) /
           static_cast<double>(target_window.count());
}

double passing_for(const level_control &it, std::size_t waiting, double targets)
{
    double missing = targets * target_queue(it) - static_cast<double>(waiting);
    double wanted = it.drained + queue_gain * missing;
    return std::max(wanted, least_share * it.drained);
}

admission_level raised_level(const level_control &it)
{
    if (std::optional<admission_level> solved = level_for(it.demand, it.passing)) {
        return *solved;
    }
    int level = std::max(it.level, end_of_demand(it.demand)).highest + rise;
    return std::min(admit_all, admission_level{static_cast<std::uint16_t>(level)});
}

void learn_held(level_control &it)
{
    if (it.finished == 0) {
        return;
    }
    double mean = static_cast<double>(it.held_sum.count()) / it.finished;
    it.held_us += (it.held_us == 0 ? 1 : drained_weight) * (mean - it.held_us);
}

void move_to_target(level_control &it, const queue_state &queue)
{
    learn_held(it);
    bool waited = queue.waiting > 0 || (it.waits > 0 && it.wait_sum / it.waits > no_wait);
    end_window(it.demand, it.level);
    if (!queue.drain_by_slots && waited) {
        it.drained += (it.drained == 0 ? 1 : drained_weight) * (it.finished - it.drained);
    } else if (queue.drain_by_slots && it.held_us > 0) {
        it.drained = queue.slots * static_cast<double>(target_window.count()) / it.held_us;
    }
    if (!waited) {
        it.passing = std::max({it.passing, it.drained, static_cast<double>(it.admitted)}) * growth;
        it.passing = std::min(it.passing, most_passing);
        it.level = std::max(it.level, raised_level(it));
        return;
    }
    it.passing = passing_for(it, queue.waiting, 1);
    admission_level of_all =
        level_for(it.demand, it.passing).value_or(std::max(it.level, end_of_demand(it.demand)));
    // Protected calls overtake what waits, so that only their own queue counts
    // against them: a queue full of lower work must not refuse one.
    int protected_end = it.protected_classes * ranks_per_class - 1;
    if (of_all.highest < protected_end) {
        admission_level of_protected =
            level_for(it.demand, passing_for(it, queue.protected_waiting, queue.protected_targets))
                .value_or(admit_all);
        of_all.highest = std::min<std::uint16_t>(of_protected.highest,
                                                 static_cast<std::uint16_t>(protected_end));
    }
    it.level = of_all;
}

}  // namespace

void note_arrival(level_control &it, priority of_request, bool is_protected, bool was_admitted)
{
    ++it.arrivals[of_request.value];
    note_demand(it.demand, of_request);
    it.admitted += was_admitted ? 1 : 0;
    if (is_protected) {
        auto end = static_cast<std::uint16_t>(of_request.value / ranks_per_class + 1);
        it.protected_classes = std::max(it.protected_classes, end);
    }
}

void note_wait(level_control &it, duration wait)
{
    it.wait_sum += wait;
    ++it.waits;
}

void note_finished(level_control &it, duration held)
{
    ++it.finished;
    it.held_sum += held;
}

bool update_level(level_control &it, level_rule rule, const queue_state &queue, time_point now)
{
    if (now < it.window_end) {
        return false;
    }
    it.past_levels[it.windows++ % remembered_windows] = it.level;
    if (rule == level_rule::admitted_share) {
        move_by_share(it);
        it.window_end = now + share_window;
    } else if (rule == level_rule::queue_target) {
        move_to_target(it, queue);
        it.window_end = now + target_window;
    }
    it.wait_sum = duration{};
    it.waits = 0;
    it.admitted = 0;
    it.finished = 0;
    it.held_sum = duration{};
    return true;
}

admission_level recent_level(const level_control &it)
{
    return std::max(it.level, *std::max_element(it.past_levels.begin(), it.past_levels.end()));
}

std::size_t queue_bound(const level_control &it, std::uint32_t slots)
{
    double by_drain = bound_in_targets * target_queue(it);
    return std::max<std::size_t>(slots / 4 + 1, static_cast<std::size_t>(by_drain));
}

}  // namespace gullstall
