#include "gullstall/src/mesh/repeat_budget.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Part of the allowed repeats that is given out. The rest is for requests that
/// are counted late or at another node.
constexpr double own_part = 0.5;

/// Repeats that can be saved up. All nodes may spend theirs at once.
constexpr double most_saved = 4;

constexpr double percent_scale = 100;

}  // namespace

void earn_repeat(repeat_budget &it, std::uint32_t percent)
{
    it.tokens = std::min(most_saved, it.tokens + own_part * percent / percent_scale);
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
