#ifndef GULLSTALL_MESH_REPEAT_BUDGET_HPP
#define GULLSTALL_MESH_REPEAT_BUDGET_HPP

#include <cstdint>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Repeats that this node may cause at one service. The bound on repeats holds
/// for the sum over all nodes, and each knows only the requests that it takes
/// itself, so each keeps to a share of these. The bound is over a window: what
/// was earned before it must not be spent now, or all nodes together repeat far
/// more at the moment when much fails after a calm time.
struct repeat_budget
{
    double tokens = 0;
    double earned = 0;  ///< in about the last window
    time_point accrued_at{};
};

/// Notes a caller's request to the service, which earns a part of a repeat.
/// \param ratio repeats that are allowed for a request
void earn_repeat(repeat_budget &it, double ratio);

/// What the bound allows beyond a share of the requests.
struct repeat_slack
{
    std::uint32_t repeats = 0;  ///< in a window, over all nodes
    duration window = seconds(10);
    std::size_t nodes = 1;  ///< that share it
};

/// Gives out this node's part of the slack for the time since the last call, and
/// lets go what was earned before the window.
void accrue_slack(repeat_budget &it, const repeat_slack &slack, time_point now);

/// \returns whether \a runs repeats can be paid
bool can_repeat(const repeat_budget &it, double runs);

/// Pays for \a runs repeats.
void spend_repeat(repeat_budget &it, double runs);

}  // namespace gullstall::mesh

#endif
