#include "gullstall/src/mesh/gate_level.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Time between two moves: a few of the waits that are aimed at, so that a
/// window sees some tens of calls at a busy gate.
constexpr duration window = milliseconds(100);

/// Mean wait for a slot that the level aims at. A chain may wait so at each of
/// some ten calls one after the other and still keep its latency objective of
/// one second; half of it leaves slots idle between arrivals.
constexpr double target_wait_us = 15000;

/// Cut of the level in one window for a wait of twice the target, and the
/// largest one. News of a level takes about three windows to show at the gate,
/// so that three cuts of the largest kind come before the first is felt.
constexpr double cut_per_target = 0.06;
constexpr double largest_cut = 0.18;

/// Rise in one window with all slots in use, and for each part that is free.
/// From the lowest level with idle slots all is let in again after 1.6 s; close
/// to full the steps are small enough not to overshoot the target.
constexpr double least_rise = 0.02;
constexpr double rise_per_free = 0.3;

}  // namespace

void note_gate_wait(gate_level &it, duration wait)
{
    it.wait_sum += wait;
    ++it.waits;
}

void note_gate_refusal(gate_level &it)
{
    ++it.refused;
}

bool update_gate_level(gate_level &it, duration oldest_wait, double used, time_point now)
{
    if (now < it.window_end) {
        return false;
    }
    double mean = it.waits > 0 ? static_cast<double>(it.wait_sum.count()) / it.waits : 0;
    // Calls that still wait count too: under a sudden load none may have started.
    double wait_us = std::max(mean, static_cast<double>(oldest_wait.count()) / 2);
    double over = wait_us / target_wait_us - 1;
    double before = it.level;
    if (over > 0 || it.refused > 0) {
        double cut = std::min(largest_cut, cut_per_target * std::max(over, 1.0));
        it.level *= 1 - cut;
    } else if (wait_us < target_wait_us / 2) {
        it.level *= 1 + least_rise + rise_per_free * std::max(0.0, 1 - used);
    }
    it.level = std::clamp(it.level, least_level, open_level);
    it.window_end = now + window;
    it.wait_sum = duration{};
    it.waits = 0;
    it.refused = 0;
    return it.level != before;
}

}  // namespace gullstall::mesh
