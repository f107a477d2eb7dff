#include "gullstall/src/mesh/repeat_budget.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Part of the allowed repeats that a node gives out for itself. A repeated run
/// makes its calls again, and each of these counts as a repeat at the service
/// it reaches, which may be asked several times a run: the rest is for those.
constexpr double own_part = 0.1;

/// Repeats that can be saved up. All nodes may spend theirs at once.
constexpr double most_saved = 2;

constexpr double percent_scale = 100;

}  // namespace

void earn_repeat(repeat_budget &it, std::uint32_t percent)
{
    it.tokens = std::min(most_saved, it.tokens + own_part * percent / percent_scale);
}

bool spend_repeat(repeat_budget &it)
{
    if (it.tokens < 1) {
        return false;
    }
    it.tokens -= 1;
    return true;
}

}  // namespace gullstall::mesh
