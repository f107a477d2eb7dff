#ifndef GULLSTALL_MESH_REPEAT_BUDGET_HPP
#define GULLSTALL_MESH_REPEAT_BUDGET_HPP

#include <cstdint>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Repeats that this node may send to one service. The bound on repeats holds
/// for the sum over all nodes, and each knows only its own requests, so each
/// keeps to a share of these with little saved up.
struct repeat_budget
{
    double tokens = 0;
};

/// Notes a first call to the service, which earns a part of a repeat.
/// \param percent repeats that are allowed for a hundred requests
void earn_repeat(repeat_budget &it, std::uint32_t percent);

/// Pays for one repeat.
/// \returns whether there was enough
bool spend_repeat(repeat_budget &it);

}  // namespace gullstall::mesh

#endif
