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

/// \returns whether calls to \a service may be sent to the node: its connection works, it
/// gives signs of life, and the upstream beside it takes work
bool is_usable(const node_view &it, const std::string &service, time_point now);

/// \returns the share of the last calls to the node that failed, which fades with time
double recent_failures(const node_view &it, time_point now);

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

}  // namespace gullstall::mesh

#endif
