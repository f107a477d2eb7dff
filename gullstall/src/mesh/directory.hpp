#ifndef GULLSTALL_MESH_DIRECTORY_HPP
#define GULLSTALL_MESH_DIRECTORY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_generated.h"
#include "gullstall/settings.hpp"
#include "gullstall/src/mesh/service_levels.hpp"
#include "gullstall/src/mesh/switches.hpp"
#include "gullstall/src/mesh/zone_plan.hpp"

namespace gullstall::mesh {

/// A node as it announces itself in the platform's store or to its peers.
struct node_address
{
    std::string node;
    std::string zone;
    endpoint peers;  ///< where it takes connections of other nodes
    std::uint64_t incarnation = 0;

    bool operator==(const node_address &) const = default;
};

/// What this node believes of another node and of the upstream beside it.
struct node_view
{
    node_address address;
    bool linked = false;  ///< the connection to it works
    mesh_wire::node_status_message status;
    time_point status_at{};  ///< when the node was last heard
    /// Since when it owes a sign of life; none: it was heard after it was asked.
    std::optional<time_point> asked_at;
    bool told_silent = false;      ///< silence_changes has told that it gives no sign
    std::uint32_t sent_since = 0;  ///< calls sent since the status was heard
    std::uint32_t in_flight = 0;   ///< calls from here that have no reply yet
    double failures = 0;           ///< moving share of calls that failed, 0 to 1
    time_point failed_at{};        ///< when the last one failed
};

/// All nodes that this node has heard of, itself included.
struct directory
{
    std::map<std::string, node_view> nodes;  ///< by name
};

/// Notes where a node is; a later incarnation takes the place of an earlier one.
/// \returns whether the directory has changed
bool note_address(directory &it, const node_address &address);

/// Takes in what a node says of itself.
/// \returns whether it is news; an earlier status that was overtaken is not
bool note_status(directory &it, const mesh_wire::node_status_message &status, time_point now);

/// Takes in what a reply of \a node says of its load.
void note_load(directory &it, const std::string &node, const mesh_wire::node_load_message &load,
               time_point now);

/// Notes whether the connection to \a node works.
void note_link(directory &it, const std::string &node, bool linked);

/// Notes a call to \a node.
void note_sent(directory &it, const std::string &node);

/// How a call to a node ended, as far as the choice among nodes goes.
enum class call_end
{
    good,
    refused,  ///< the node said that it did not start it
    failed    ///< lost, broken or timed out
};

/// Notes the end of a call to \a node.
void note_call_end(directory &it, const std::string &node, call_end end, time_point now);

/// What a call needs of an upstream.
struct placement_request
{
    std::string service;
    std::string zone;                ///< of the asking node
    std::vector<std::string> tried;  ///< nodes that are not to be asked again
    std::string route;               ///< by which the call goes
};

/// Chooses the node to send a call to.
/// \returns the node's name, empty when no upstream is known to take it
std::string choose_node(const directory &it, const zone_plan &plan, const placement_request &wanted,
                        random_source &random, time_point now, const mesh_switches &on = {});

/// \param own name of the asking node
/// \returns the nodes that have calls from here and were not heard for a while;
/// they count as asked for a sign from now on
std::vector<std::string> nodes_to_ask(directory &it, const std::string &own, time_point now);

/// A node that has fallen silent, or is heard again.
struct silence_change
{
    std::string node;
    bool silent = false;
    std::uint32_t in_flight = 0;  ///< calls from here that have no reply yet

    bool operator==(const silence_change &) const = default;
};

/// \returns what has changed since the last call
std::vector<silence_change> silence_changes(directory &it, time_point now);

/// \returns the zones that have an upstream that takes work, by service
service_zones zones_of_services(const directory &it, time_point now);

/// \returns the state of each service over its upstreams that take work: the level
/// at which all demand together takes all capacity, and the share turned away,
/// weighed by the slots that still take calls, since calls leave an upstream that
/// turns many away
std::map<std::string, service_state> states_of_services(const directory &it, time_point now);

/// \returns the share of the slots of \a service that are in use or waited for,
/// over all upstreams that take work; 0 when there are none
double service_load(const directory &it, const std::string &service, time_point now);

}  // namespace gullstall::mesh

#endif
