#ifndef GULLSTALL_MESH_MESH_ACTIONS_HPP
#define GULLSTALL_MESH_MESH_ACTIONS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_generated.h"
#include "gullstall/src/mesh/call_chain.hpp"
#include "gullstall/src/mesh/directory.hpp"

namespace gullstall::mesh {

/// Connection that another node has opened to this one.
enum class link_ref : std::uint64_t
{
};

/// Shares stand in frames in thousandths.
constexpr double share_scale = 1000;

/// The link of calls that a node sends to the upstream beside itself.
constexpr link_ref own_link{0};

/// Bytes of a body.
using body_bytes = std::vector<std::uint8_t>;

/// A request as a caller, or the upstream beside this node, sent it.
struct caller_request
{
    std::string request_id;
    std::string host;
    std::string method;
    std::string target;        ///< path and query
    std::string header_lines;  ///< end-to-end fields, each with its line end
    body_bytes body;
    std::optional<duration> time_left;  ///< none: the caller set no deadline
    bool inner = false;                 ///< made by a run on the upstream beside this node
};

/// Final answer to a caller.
struct caller_answer
{
    bool from_upstream = false;  ///< status, header lines and body are the upstream's
    std::uint16_t status = 0;
    std::string status_text;
    std::string header_lines;
    body_bytes body;
    mesh_wire::reason why = mesh_wire::reason::none;  ///< of an answer of the node's own
    std::optional<duration> retry_after;
};

/// How a run on the own upstream ended.
enum class run_end
{
    answered,      ///< the whole answer to this request came
    not_executed,  ///< the upstream said that it did not run it
    not_sent,      ///< no byte of the request reached the upstream
    lost,          ///< bytes reached it, and the connection broke
    bad_answer     ///< what came is no whole answer to this request
};

/// Outcome of a run.
struct run_result
{
    run_end end = run_end::lost;
    std::uint16_t status = 0;
    std::string status_text;
    std::string header_lines;
    body_bytes body;
};

/// Answer the caller, finally.
struct answer_caller
{
    call_ref call;
    caller_answer answer;
};

/// Send a frame over this node's own connection to another node.
struct send_to_node
{
    std::string node;
    mesh_wire::frame_message frame;
};

/// Send a frame over a connection that another node has opened.
struct send_to_link
{
    link_ref link;
    mesh_wire::frame_message frame;
};

/// Hand a request to the own upstream.
struct start_run
{
    run_ref run;
    mesh_wire::call_message call;
    std::string upstream;  ///< id of the incarnation that is to run it
    duration left;         ///< time that the upstream may take
};

/// Break a run off; the upstream sees its connection close.
struct cancel_run
{
    run_ref run;
};

/// The upstream beside has a new incarnation: connections to the last one are
/// of no use.
struct upstream_replaced
{
};

/// Open a connection to a node, when there is none yet.
struct connect_node
{
    node_address address;
};

/// Keep what runs of a route call where it outlives all nodes.
struct keep_chain
{
    std::string route;
    calls_per_run calls;
};

/// One field of a log line.
struct log_field
{
    const char *name;
    std::string value;
};

/// Write a line to the log.
struct write_line
{
    enum class severity
    {
        info,
        warning
    };
    severity level = severity::info;
    const char *part = "";   ///< entry, serve, members, policy, upstream, node
    const char *event = "";  ///< what happened, in one word or a few joined by '-'
    std::vector<log_field> fields;
};

/// All that a node may ask of its surroundings.
using mesh_action = std::variant<answer_caller, send_to_node, send_to_link, start_run, cancel_run,
                                 upstream_replaced, connect_node, keep_chain, write_line>;

/// Actions in the order in which they are to be carried out.
using mesh_actions = std::vector<mesh_action>;

}  // namespace gullstall::mesh

#endif
