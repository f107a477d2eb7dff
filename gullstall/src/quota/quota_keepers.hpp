#ifndef GULLSTALL_QUOTA_QUOTA_KEEPERS_HPP
#define GULLSTALL_QUOTA_QUOTA_KEEPERS_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gullstall {

/// The nodes among which the quotas are divided, as one node sees them.
struct quota_members
{
    std::vector<std::string> zone;  ///< reachable nodes of the own availability zone, sorted
    std::size_t known = 1;          ///< nodes of all zones, reachable or not

    bool operator==(const quota_members &) const = default;
};

/// Chooses the node of a zone that keeps a customer's quota, by rendezvous hashing: each
/// node finds the same one without an election, and when a node leaves, only the customers
/// that it kept move.
/// \param zone reachable nodes of the zone
/// \returns the name of the node, empty if there are none
std::string choose_quota_keeper(const std::vector<std::string> &zone, std::string_view customer);

/// Part of every quota that the keepers of the own zone may hand out. Nodes that a cut has
/// separated divide the quota by their numbers, so that all parts together never exceed it.
/// \returns a share in [0, 1]
double quota_share(const quota_members &it);

}  // namespace gullstall

#endif
