#include "gullstall/src/mesh/repeat_budget.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Part of the allowed repeats that is given out. The rest is for requests that
/// are counted late or at another node.
constexpr double own_part = 0.5;

/// Repeats that can be saved up. All nodes may spend theirs at once.
constexpr double most_saved = 4;

}  // namespace

void earn_repeat(repeat_budget &it, double ratio)
{
    it.tokens = std::min(most_saved, it.tokens + own_part * ratio);
}

void accrue_slack(repeat_budget &it, const repeat_slack &slack, time_point now)
{
    duration passed = std::min<duration>(now - it.accrued_at, slack.window);
    it.accrued_at = now;
    double part = static_cast<double>(passed.count()) / static_cast<double>(slack.window.count());
    double earned = own_part * slack.repeats * part / static_cast<double>(slack.nodes);
    it.tokens = std::min(most_saved, it.tokens + earned);
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
