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
#include "gullstall/src/mesh/own_upstream.hpp"
#include "gullstall/src/mesh/upstream_notice.hpp"

namespace gullstall::mesh {

/// Address that a node announces in the platform's store or to its peers.
struct node_address
{
    std::string node;
    std::string zone;
    endpoint peers;  ///< listening endpoint for peers
    std::uint64_t incarnation = 0;

    bool operator==(const node_address &) const = default;
};

/// Last known state of a node and of its upstream.
struct node_view
{
    node_address address;
    bool linked = false;  ///< the outgoing connection is established
    mesh_wire::node_status_message status;
    /// What the node's upstream has last said of itself, as far as this node heard. It outlives
    /// the process of that node, which forgets it.
    std::optional<mesh_wire::upstream_notice_message> notice;
    /// The end that the node's upstream has announced, kept for the node's next process.
    std::optional<announced_end> end;
    time_point limit_free_at{};  ///< when the limit of the upstream allows one more call
    /// When the status was last heard, from the node itself or by the node that passed it
    /// on.
    time_point status_at{};
    std::uint64_t load_sequence = 0;     ///< of the status or reply that told the load
    std::uint64_t relayed_sequence = 0;  ///< of the status last sent to other zones
    /// When the status is passed on to the nodes of this zone; unset if they have it.
    std::optional<time_point> pass_on_at;
    /// When the outstanding probe was sent; unset if there is none.
    std::optional<time_point> probed_at;
    bool reported_silent = false;         ///< state last reported by silence_changes
    std::uint32_t sent_since_status = 0;  ///< calls sent since the last status
    std::uint32_t in_flight = 0;          ///< calls from this node awaiting a reply
    double failure_rate = 0;              ///< moving average of the failure rate, 0 to 1
    time_point last_failure_at{};         ///< time of the last failure
};

/// All known nodes, this one included.
struct directory
{
    std::map<std::string, node_view> nodes;  ///< by name
};

/// \returns whether the node has left a probe unanswered
bool is_silent(const node_view &it, time_point now);

/// \returns whether the node's upstream limits the requests that it takes
bool is_limited(const mesh_wire::node_status_message &it);

/// \returns whether the limit of the node's upstream, if any, allows one more call now
bool has_limit_room(const node_view &it, time_point now);

/// Forgets the remembered limit of the node's upstream, which has answered without one.
void forget_limit(directory &it, const std::string &node);

/// \returns whether calls to \a service may be sent to the node: it is connected and
/// responsive, and its upstream accepts work and has not announced that it leaves
bool is_usable(const node_view &it, const std::string &service, time_point now);

/// \returns the recent failure rate of calls from this node to that one, decaying with time
double recent_failure_rate(const node_view &it, time_point now);

/// Records the address of a node; a later incarnation replaces an earlier one.
/// \returns whether the directory has changed
bool update_address(directory &it, const node_address &address);

/// Applies a status announced by a node.
/// \returns false for a status that is older than the known one or of an unknown node
bool update_status(directory &it, const mesh_wire::node_status_message &status, time_point now);

/// Applies a status that another node heard at \a heard_at. It shows that the node is
/// alive, not that the connection to it works.
/// \returns false for a status that is older than the known one or of an unknown node
bool update_relayed_status(directory &it, const mesh_wire::node_status_message &status,
                           time_point heard_at);

/// Applies the load carried by a reply of \a node.
void update_load(directory &it, const std::string &node, const mesh_wire::node_load_message &load,
                 time_point now);

/// Records whether the connection to \a node is established.
void update_link(directory &it, const std::string &node, bool linked);

/// Records a call sent to \a node.
void record_sent_call(directory &it, const std::string &node);

/// Result of a call to a node, as used for load balancing.
enum class call_end
{
    succeeded,
    refused,  ///< the node did not start it
    failed    ///< lost, interrupted or timed out
};

/// Records the result of a call to \a node.
void record_call_result(directory &it, const std::string &node, call_end end, time_point now);

/// Selects the nodes to probe: those with calls in flight and no recent status, and those
/// that were not heard of for long. Marks them as probed.
/// \param own name of this node
std::vector<std::string> select_nodes_to_probe(directory &it, const std::string &own,
                                               time_point now);

/// A node that has become unresponsive or responsive again.
struct silence_change
{
    std::string node;
    bool silent = false;
    std::uint32_t in_flight = 0;  ///< calls from this node awaiting a reply

    bool operator==(const silence_change &) const = default;
};

/// \returns the changes since the previous call
std::vector<silence_change> silence_changes(directory &it, time_point now);

}  // namespace gullstall::mesh

#endif
