#ifndef GULLSTALL_PROGRAMS_FLEET_STATUS_HPP
#define GULLSTALL_PROGRAMS_FLEET_STATUS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "gullstall/src/settings/node_settings.hpp"

/// Which bundle is in force at every node.
namespace gullstall::programs {

/// What one node says of its bundle.
struct node_bundle
{
    std::string instance;
    std::string zone;
    endpoint admin;
    bool reached = false;
    std::uint64_t version = 0;
    std::int64_t since_us = 0;  ///< since the epoch, on the node's clock
    std::string digest;
    std::string author;
    std::string reference;
    std::vector<std::string> signers;

    bool operator==(const node_bundle &) const = default;
};

/// All nodes that the seeds and their members name.
struct fleet_status
{
    std::vector<node_bundle> nodes;  ///< by instance
    std::uint64_t highest = 0;       ///< version in force at any node reached

    /// \returns whether every node was reached and has the highest version
    bool is_whole() const;
};

/// Asks the seeds for their members, and every member for its bundle.
fleet_status ask_fleet(const std::vector<endpoint> &seeds);

/// \returns a line for each node, then what is behind or out of reach
std::string print_fleet(const fleet_status &it);

/// \returns the same as one JSON object
std::string print_fleet_json(const fleet_status &it);

}  // namespace gullstall::programs

#endif
