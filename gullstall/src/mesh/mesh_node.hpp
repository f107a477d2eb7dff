#ifndef GULLSTALL_MESH_MESH_NODE_HPP
#define GULLSTALL_MESH_MESH_NODE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_generated.h"
#include "gullstall/metrics.hpp"
#include "gullstall/policy.hpp"
#include "gullstall/src/mesh/call_chain.hpp"
#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/mesh/expiry.hpp"
#include "gullstall/src/mesh/gate_demand.hpp"
#include "gullstall/src/mesh/mesh_actions.hpp"
#include "gullstall/src/mesh/mesh_settings.hpp"
#include "gullstall/src/mesh/own_upstream.hpp"
#include "gullstall/src/mesh/placing.hpp"
#include "gullstall/src/mesh/repeat_budget.hpp"
#include "gullstall/src/mesh/run_gate.hpp"
#include "gullstall/src/mesh/service_levels.hpp"
#include "gullstall/src/mesh/service_totals.hpp"
#include "gullstall/src/mesh/stop_order.hpp"
#include "gullstall/src/mesh/switches.hpp"
#include "gullstall/src/mesh/traffic_split.hpp"
#include "gullstall/src/mesh/zone_plan.hpp"

namespace gullstall::mesh {

/// The send of a call that waits for its reply.
struct sent_call
{
    std::uint64_t correlation = 0;
    std::string node;
    time_point sent_at{};
};

/// A request that this node has taken and not yet answered.
struct entry_call
{
    call_ref id{};
    mesh_wire::call_message call;  ///< correlation, time and repeat are set at each send
    std::string route;
    std::uint32_t max_attempts = 1;
    time_point taken_at{};
    time_point deadline{};  ///< the caller waits no longer
    time_point expires{};   ///< the caller's deadline or the route's timeout, the sooner
    time_point due{};       ///< an answer to the caller's request is late from then on
    std::optional<sent_call> current;
    std::vector<std::string> tried;
    std::uint32_t placements = 0;   ///< nodes asked
    std::uint32_t handed_over = 0;  ///< upstreams that it has reached, or may have
    bool may_have_run = false;
    mesh_wire::reason last_reason = mesh_wire::reason::no_upstream;
    /// Error of an upstream after which the call was sent once more. It is the answer if
    /// that send ends without one.
    std::optional<mesh_wire::reply_message> error_answer;
    /// A call of a run waits until then for an upstream of its service to come back.
    std::optional<time_point> waits_until;
};

/// A call that this node runs, or will run, on its own upstream.
struct gate_call
{
    run_ref id{};
    link_ref link{};
    std::string from;  ///< name of the entry node
    mesh_wire::call_message call;
    time_point arrived_at{};
    time_point deadline{};
    time_point expires{};  ///< the deadline, and once started a grace beyond it
    time_point due{};      ///< an answer to the caller's request is late from then on
    std::optional<time_point> started_at;
    bool abandoned = false;  ///< nobody waits for the reply any more
};

/// Clock of a connection's other side, as far as frames tell it.
struct link_clock
{
    std::string node;
    bool known = false;
    std::int64_t least_offset_us = 0;  ///< least arrival time minus sending time so far
};

/// Counters that the metrics address shows.
struct mesh_counters
{
    std::map<std::string, std::uint64_t> answers;  ///< labels of the exposition format
    std::uint64_t good_answers = 0;
    std::uint64_t repeats = 0;
    std::uint64_t repeats_denied = 0;
    std::uint64_t runs_started = 0;
    std::uint64_t stale_frames = 0;
};

/// State of one node. It holds no socket, thread or clock.
struct mesh_node
{
    mesh_settings settings;
    mesh_switches on;
    std::uint64_t incarnation = 0;
    random_source random;
    time_point started_at{};

    /// A policy that a peer has in force and this node has not.
    struct policy_news
    {
        std::uint64_t version;
        std::string node;
        time_point heard_at;
    };

    std::optional<traffic_policy> policy;
    std::optional<policy_news> newer_policy;
    std::string policy_text;  ///< as the operator wrote it, for peers that lack it
    time_point policy_at{};
    directory nodes;
    own_upstream upstream;
    run_gate gate;
    gate_demand demand;
    gate_capacity capacity;  ///< of the own upstream, as of the last window
    std::vector<mesh_wire::demand_part> demand_parts;  ///< as of the last window
    double told_capacity = 0;                          ///< as the other nodes know it
    double told_demand = 0;
    call_chain chain;
    service_levels plan;
    bool plan_is_old = true;  ///< the policy or what is known of the chains has changed
    std::map<std::string, calls_per_run> told_calls;  ///< of this node's upstream
    std::map<std::string, calls_per_run> kept_calls;  ///< by route, as the store has them
    std::map<std::string, service_state> states;      ///< by service, as of states_at
    time_point states_at{};
    zone_plan zones;
    traffic_split split;
    std::map<std::string, repeat_budget> budgets;  ///< by service

    std::unordered_map<call_ref, entry_call> calls;
    std::unordered_map<std::uint64_t, call_ref> sent;  ///< by correlation
    expiry_queue<call_ref> call_expiry;
    std::vector<call_ref> waiting_calls;  ///< some may have ended meanwhile
    std::unordered_map<run_ref, gate_call> runs;
    std::map<std::pair<link_ref, std::uint64_t>, run_ref> served;  ///< by correlation
    expiry_queue<run_ref> run_expiry;
    std::map<link_ref, link_clock> links;  ///< opened by other nodes

    mesh_counters counters;
    node_latencies latencies;
    std::uint64_t status_sequence = 0;
    time_point status_spread_at{};
    time_point upstream_down_until{};  ///< the upstream took no connection just now
    bool stopping = false;             ///< the process is asked to stop
    /// When the gate closes for the stop at the soonest; the upstream may live on beside.
    std::optional<time_point> gate_closes_at;
    /// When callers' requests are no longer taken for the stop, unless the gate is held
    /// open: one that is taken later could not end before the process does.
    std::optional<time_point> entry_closes_at;
    stop_times stop;                ///< valid when the process is asked to stop
    std::size_t least_staying = 0;  ///< other upstreams that the gate's close waits for
    bool gate_closed = false;
    std::uint64_t last_id = 0;
};

/// Makes a node.
/// \param incarnation higher than that of any earlier process of the instance
/// \param seed of the node's random choices
mesh_node make_mesh_node(const mesh_settings &settings, std::uint64_t incarnation,
                         std::uint64_t seed, time_point now);

/// A step of a node: what it is, when it is, and what it asks for.
struct mesh_turn
{
    mesh_node &n;
    time_point now;
    mesh_actions &out;
};

// entry.cpp: requests that this node has taken
void take_request(mesh_turn &t, call_ref id, caller_request &&request);
void abandon_request(mesh_turn &t, call_ref id);
void take_reply(mesh_turn &t, const std::string &from, mesh_wire::reply_message &reply);
void expire_calls(mesh_turn &t);
/// Places the calls that wait for an upstream, as far as there is one, and fails those
/// that have waited long enough.
void place_waiting_calls(mesh_turn &t);
/// The own connection to \a node broke. Calls of \a unsent were certainly not
/// delivered.
void lose_node(mesh_turn &t, const std::string &node, const std::vector<std::uint64_t> &unsent);
/// Shortens what is in flight to the timeouts of the policy now in force.
void apply_timeouts(mesh_turn &t);

// admission.cpp: which requests are let in, by the levels of the services
/// What becomes of a request where it enters.
struct entry_verdict
{
    std::optional<mesh_wire::reason> refused;  ///< none: it is let in
    double share = 1;                          ///< of its route's requests that is let in
};
/// \param place of the request among all, evenly spread over [0, 1)
entry_verdict judge_at_entry(mesh_turn &t, const std::string &route, double place);
/// Measures what is asked of the own upstream and tells of it.
void admission_tick(mesh_turn &t);
/// Learns what runs of the own upstream ask for, and tells the others.
void spread_chain_news(mesh_turn &t, bool to_all, std::optional<link_ref> link);

// serve.cpp: calls that this node runs on its upstream
void take_call(mesh_turn &t, link_ref link, mesh_wire::call_message &&call);
void take_cancel(mesh_turn &t, link_ref link, std::uint64_t correlation);
void take_run_result(mesh_turn &t, run_ref run, run_result &&result);
void expire_runs(mesh_turn &t);
void lose_link(mesh_turn &t, link_ref link);
/// Hands nothing more to the own upstream, because the process stops.
void close_gate(mesh_turn &t);
/// Hands over what waits, as far as slots are free.
void start_waiting(mesh_turn &t);
/// Refuses all that waits: none of it has run.
void refuse_waiting(mesh_turn &t, mesh_wire::reason why);

// upstream_news.cpp: what the own upstream says of itself
heartbeat_verdict on_heartbeat(mesh_turn &t, const upstream_heartbeat &beat);
void on_leave(mesh_turn &t, const std::string &upstream, std::uint64_t unix_ms);

// members.cpp: other nodes, their state and the policy
void take_address(mesh_turn &t, const node_address &address);
void take_hello(mesh_turn &t, link_ref link, const mesh_wire::hello_message &hello);
void take_status(mesh_turn &t, const mesh_wire::node_status_message &status);
void link_node(mesh_turn &t, const std::string &node);
/// Puts a policy in force when it is newer than the one that is.
/// \param text as the operator wrote it
/// \returns whether it is in force now
bool take_policy(mesh_turn &t, traffic_policy policy, std::string text, const char *source);
void take_policy_fetch(mesh_turn &t, link_ref link);
void take_ping(mesh_turn &t, link_ref link);
void take_chain_news(mesh_turn &t, const mesh_wire::chain_news_message &news);
/// Takes what the store has kept of a route's calls. What was learned since goes first.
void take_kept_chain(mesh_turn &t, const std::string &route, const calls_per_run &calls);
mesh_wire::node_load_message own_load(mesh_node &n);
mesh_wire::node_status_message own_status(mesh_turn &t);
mesh_wire::hello_message own_hello(const mesh_node &n, time_point now);
/// To be called about every tick_interval: what is due by time alone.
void members_tick(mesh_turn &t);
/// \returns whether the node can serve: it knows a policy and where to send
bool is_ready(const mesh_node &n, time_point now);
/// Tells all who have opened a connection to this node of its state.
void spread_status(mesh_turn &t);
/// Brings what the directory says of this node itself up to date.
void refresh_own_view(mesh_turn &t);
/// \returns the time as it stands in frames
std::uint64_t frame_time_us(time_point now);
/// \returns whether requests may be handed to the own upstream now
bool serves(const mesh_node &n, time_point now);

/// Longest time between two calls of members_tick.
constexpr duration mesh_tick_interval = milliseconds(100);

/// \returns when the next call or run expires, none when there is none
std::optional<time_point> next_expiry(const mesh_node &n);

// stop.cpp: the order to stop
/// Begins the stop. Until the gate closes the node goes on as before, but is not ready.
void stop_node(mesh_turn &t);
/// Closes the gate of a node that is to stop, when it is its time.
void stop_tick(mesh_turn &t);
/// \returns whether the node takes a caller's request that expires at \a expires
bool takes_callers(const mesh_node &n, time_point now, time_point expires);
/// \returns whether callers are to go elsewhere from now on
bool is_entry_closed(const mesh_node &n, time_point now);

// report.cpp
/// \returns the node's counters and histograms in the text exposition format
std::string print_metrics(const mesh_node &n, time_point now);

template <class Message>
mesh_wire::frame_message mesh_frame(Message message)
{
    mesh_wire::frame_message out;
    out.payload.Set(std::move(message));
    return out;
}

}  // namespace gullstall::mesh

#endif
