#include "gullstall/src/mesh/repeat_budget.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall::mesh {

namespace {

/// Part of the allowed repeats that is given out. As much again may be saved up
/// from the window before.
constexpr double own_part = 0.5;

/// Repeats that can be saved up in any case: a node with few requests could never
/// repeat one otherwise.
constexpr double least_saved = 1;

void earn(repeat_budget &it, double repeats)
{
    it.earned += repeats;
    it.tokens = std::min(it.tokens + repeats, std::max(it.earned, least_saved));
}

}  // namespace

void earn_repeat(repeat_budget &it, double ratio)
{
    earn(it, own_part * ratio);
}

void accrue_slack(repeat_budget &it, const repeat_slack &slack, time_point now)
{
    auto windows = static_cast<double>((now - it.accrued_at).count()) /
                   static_cast<double>(slack.window.count());
    it.accrued_at = now;
    it.earned *= std::exp(-windows);
    double part = std::min(windows, 1.0);
    earn(it, own_part * slack.repeats * part / static_cast<double>(slack.nodes));
}

bool can_repeat(const repeat_budget &it, double runs)
{
    return it.tokens >= runs;
}

void spend_repeat(repeat_budget &it, double runs)
{
    it.tokens -= runs;
}

}  // namespace gullstall::mesh
