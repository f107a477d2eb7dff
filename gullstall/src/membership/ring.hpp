#ifndef GULLSTALL_MEMBERSHIP_RING_HPP
#define GULLSTALL_MEMBERSHIP_RING_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "gullstall/src/membership/member_table.hpp"

namespace gullstall {

/// The members that are not dead, in the order of the hashes of their names.
/// The order spreads each zone evenly, so that neighbours seldom fail together.
struct member_ring
{
    std::vector<std::string> instances;
    std::size_t own = 0;  ///< position of the node itself
};

/// \returns the ring that \a self sees
member_ring make_ring(const member_table &it, const std::string &self);

/// \returns the instance \a distance places after the own one
const std::string &at_distance(const member_ring &it, std::size_t distance);

/// Neighbours at distances 1, 2, 4, 8 and so on, in both directions: about
/// 2 log2(n) members. Gossip goes to these only, which bounds the connections
/// that it costs, and news still reach every member in log2(n) steps.
std::vector<std::string> neighbours_of(const member_ring &it);

}  // namespace gullstall

#endif
