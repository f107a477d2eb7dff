#ifndef GULLSTALL_MESH_REPEAT_BUDGET_HPP
#define GULLSTALL_MESH_REPEAT_BUDGET_HPP

#include <cstdint>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Repeats that this node may cause at one service. The bound on repeats holds
/// for the sum over all nodes, and each knows only the requests that it takes
/// itself, so each keeps to a share of these with little saved up.
struct repeat_budget
{
    double tokens = 0;
};

/// Notes a caller's request to the service, which earns a part of a repeat.
/// \param percent repeats that are allowed for a hundred requests
void earn_repeat(repeat_budget &it, std::uint32_t percent);

/// \returns whether \a runs repeats can be paid
bool can_repeat(const repeat_budget &it, double runs);

/// Pays for \a runs repeats.
void spend_repeat(repeat_budget &it, double runs);

}  // namespace gullstall::mesh

#endif
