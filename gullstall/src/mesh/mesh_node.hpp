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
#include "gullstall/src/mesh/crash_watch.hpp"
#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/mesh/gate_demand.hpp"
#include "gullstall/src/mesh/kept_end.hpp"
#include "gullstall/src/mesh/kept_suspects.hpp"
#include "gullstall/src/mesh/mesh_actions.hpp"
#include "gullstall/src/mesh/mesh_settings.hpp"
#include "gullstall/src/mesh/own_upstream.hpp"
#include "gullstall/src/mesh/placing.hpp"
#include "gullstall/src/mesh/quota_state.hpp"
#include "gullstall/src/mesh/repeat_budget.hpp"
#include "gullstall/src/mesh/retry_quota.hpp"
#include "gullstall/src/mesh/run_gate.hpp"
#include "gullstall/src/mesh/service_levels.hpp"
#include "gullstall/src/mesh/service_totals.hpp"
#include "gullstall/src/mesh/stop_order.hpp"
#include "gullstall/src/mesh/switches.hpp"
#include "gullstall/src/mesh/traffic_split.hpp"
#include "gullstall/src/mesh/zone_plan.hpp"
#include "gullstall/suspects.hpp"

namespace gullstall::mesh {

/// Transmission of a call whose reply is outstanding.
struct sent_call
{
    std::uint64_t correlation = 0;
    std::string node;
    time_point sent_at{};
    bool waits_for_limit = false;  ///< may wait until the limit of the upstream allows it
};

/// A request that this node has accepted and not yet answered.
struct entry_call
{
    call_ref id{};
    std::optional<run_ref> parent;  ///< local run that makes the call
    mesh_wire::call_message call;   ///< correlation, times and repeat flag are set per transmission
    std::string route;
    std::uint64_t policy_version = 0;  ///< of the policy that chose the route
    std::uint32_t max_attempts = 1;
    time_point received_at{};
    time_point deadline{};  ///< end of the caller's wait
    time_point expires{};   ///< earlier of the caller's deadline and the route timeout
    time_point due{};       ///< end of the latency objective of the caller's request
    std::optional<sent_call> current;
    std::vector<std::string> tried;
    /// Nodes that it is not sent to again. One that refused it at once because of its
    /// upstream's limit is not among them.
    std::vector<std::string> excluded_nodes;
    std::uint32_t send_count = 0;      ///< nodes the call was sent to
    std::uint32_t dispatch_count = 0;  ///< upstreams that received it, or may have
    bool may_have_run = false;
    bool waits_for_token = false;               ///< of the customer's quota
    std::optional<time_point> token_asked_at;   ///< if a token was obtained
    std::optional<duration> quota_retry_after;  ///< if refused because of the quota
    mesh_wire::reason last_reason = mesh_wire::reason::no_upstream;
    /// Upstream error response that triggered a retry. Returned to the caller if the retry
    /// gets no response.
    std::optional<mesh_wire::reply_message> error_answer;
    /// End of the wait for an upstream of the service; only calls made by a run wait.
    std::optional<time_point> wait_deadline;
    std::optional<request_signature> signature;  ///< computed when there are suspects
};

/// Minimum time left for a request to be dispatched.
inline constexpr duration min_time_left = milliseconds(5);

/// A call queued for, or running on, the local upstream.
struct local_run
{
    run_ref id{};
    link_ref link{};
    std::string from;  ///< name of the entry node
    mesh_wire::call_message call;
    request_signature signature{};
    time_point arrived_at{};
    time_point deadline{};
    time_point expires{};  ///< just before the deadline; once started, a grace period after it
    time_point due{};      ///< end of the latency objective of the caller's request
    std::optional<time_point> started_at;
    bool abandoned = false;    ///< the reply is no longer awaited
    bool call_failed = false;  ///< a call made by the run was not answered with success
};

/// A connection opened by a peer, with the peer's clock offset estimated from the
/// timestamps of its frames.
struct incoming_link
{
    std::string node;
    std::string zone;
    bool relays_statuses = false;  ///< the peer accepts status_batch frames
    bool reads_crash_news = false;
    time_point last_call_at{};  ///< when the peer last sent a call
    bool known = false;
    std::int64_t min_offset_us = 0;  ///< minimum of arrival time minus send time
};

/// Counters exported on the metrics endpoint.
struct mesh_counters
{
    std::map<std::string, std::uint64_t> answers;  ///< by labels in exposition format
    std::uint64_t successful_answers = 0;
    std::uint64_t repeats = 0;
    std::uint64_t repeats_denied = 0;
    std::uint64_t retries_granted = 0;  ///< at the gate
    std::uint64_t retries_refused = 0;  ///< at the gate
    std::uint64_t runs_started = 0;
    std::uint64_t stale_frames = 0;
    std::uint64_t refused_by_limit = 0;      ///< at the gate, by the limit of the upstream
    std::uint64_t upstream_crashes = 0;      ///< of the local upstream
    std::uint64_t runs_lost_in_crashes = 0;  ///< of the local upstream
    std::uint64_t exceptions = 0;            ///< that have ended a connection
};

/// State of one node, free of sockets, threads and clocks.
struct mesh_node
{
    mesh_settings settings;
    mesh_features features;
    std::uint64_t incarnation = 0;
    random_source random;
    time_point started_at{};

    /// Version of a policy that a peer has in force and this node lacks.
    struct announced_policy
    {
        std::uint64_t version;
        std::string node;
        time_point fetch_at;
    };

    std::optional<traffic_policy> policy;
    std::optional<announced_policy> newer_policy;
    /// Since when peers have a later policy than this node.
    std::optional<time_point> policy_behind_since;
    bool store_lost = false;                      ///< the last call to the platform's store failed
    std::optional<time_point> store_answered_at;  ///< by the platform's store, if ever
    std::string policy_text;                      ///< source text, for peers that lack it
    time_point policy_at{};
    directory nodes;
    own_upstream upstream;
    kept_end upstream_end;  ///< of the local upstream
    crash_watch crashes;
    crash_suspects suspects;
    std::vector<request_signature> cleared_suspects;  ///< not yet reported to the others
    kept_suspects stored_suspects;
    bool expects_stored_end = false;  ///< the process reads it at its start
    bool has_read_stored_end = false;
    std::vector<run_ref> held_runs;  ///< suspects that wait for others; may contain ended runs
    run_gate gate;
    bool reported_errors = false;  ///< of the local upstream, by report_upstream_errors
    run_costs costs;               ///< of the local upstream
    run_costs call_times;          ///< of the calls that this entry node has taken
    gate_demand demand;
    gate_capacity capacity;                            ///< of the local upstream in the last window
    std::vector<mesh_wire::demand_part> demand_parts;  ///< in the last window
    double announced_capacity = 0;                     ///< value last announced to peers
    double announced_demand = 0;                       ///< value last announced to peers
    call_chain chain;
    admission_plan plan;
    bool plan_outdated = true;     ///< the policy, the learned calls or the costs have changed
    bool costs_changed = false;    ///< since the plan was made
    bool zones_outdated = true;    ///< the plan has been made anew
    service_zones zones_present;   ///< that `zones` was made for
    known_chains announced_calls;  ///< last announced, of the local upstream
    known_chains stored_calls;     ///< by route, as persisted in the store
    std::map<std::string, service_state> states;  ///< by service, at states_at
    time_point states_at{};
    zone_plan zones;
    traffic_split split;
    std::map<std::string, retry_token_bucket> budgets;  ///< of this entry node, by service
    retry_quota gate_retries;                           ///< of the local upstream
    quota_state quotas;                                 ///< of the customers

    std::unordered_map<call_ref, entry_call> calls;
    std::unordered_map<std::uint64_t, call_ref> calls_by_correlation;  ///< by correlation
    expiry_queue<call_ref> call_expiry;
    std::vector<call_ref> waiting_calls;  ///< may contain ended calls
    std::unordered_map<run_ref, local_run> runs;
    std::map<std::pair<link_ref, std::uint64_t>, run_ref> runs_by_correlation;  ///< by correlation
    expiry_queue<run_ref> run_expiry;
    std::map<link_ref, incoming_link> links;  ///< opened by peers

    mesh_counters counters;
    node_latencies latencies;
    std::uint64_t status_sequence = 0;
    time_point status_sent_at{};
    time_point relayed_at{};              ///< when statuses of others were last passed on
    time_point upstream_backoff_until{};  ///< back-off after a refused connection
    bool stopping = false;                ///< shutdown was requested
    /// Earliest time at which the gate closes for shutdown. The upstream may outlive it.
    std::optional<time_point> gate_closes_at;
    /// End of accepting callers' requests during shutdown, unless the gate is held open:
    /// a request accepted later could not finish before the process exits.
    std::optional<time_point> entry_closes_at;
    stop_schedule stop;                  ///< valid while stopping
    std::size_t required_remaining = 0;  ///< other upstreams required before the gate closes
    bool gate_closed = false;
    std::uint64_t last_id = 0;
};

/// Creates a node.
/// \param incarnation greater than that of any earlier process of the instance
/// \param seed of the node's random source
mesh_node make_mesh_node(const mesh_settings &settings, std::uint64_t incarnation,
                         std::uint64_t seed, time_point now);

/// Context of one step: the node, the current time and the actions it requests.
struct mesh_turn
{
    mesh_node &n;
    time_point now;
    mesh_actions &out;
};

// entry.cpp: requests accepted by this node
void handle_request(mesh_turn &t, call_ref id, caller_request &&request);
/// Sends a request that has passed all limits to an upstream.
void place_admitted_call(mesh_turn &t, call_ref id);
void abandon_request(mesh_turn &t, call_ref id);
void handle_reply(mesh_turn &t, const std::string &from, mesh_wire::reply_message &reply);
void expire_calls(mesh_turn &t);
/// Dispatches calls that wait for an upstream where one is available, and fails those
/// whose wait has expired.
void dispatch_waiting_calls(mesh_turn &t);
/// Handles the loss of the outgoing connection to \a node.
/// \param unsent correlations of calls that were certainly not delivered
void handle_node_lost(mesh_turn &t, const std::string &node,
                      const std::vector<std::uint64_t> &unsent);
/// Shortens the expiry of calls in flight to the timeouts of the current policy and to the end of
/// a stopping node.
void apply_timeouts(mesh_turn &t);

// admission.cpp: admission control by service level
/// Admission decision for a request.
struct admission_decision
{
    std::optional<mesh_wire::reason> refused;  ///< unset if admitted
    double admitted_share = 1;                 ///< admitted share of the route's requests
};
/// \param place sampling position of the request, uniform in [0, 1)
/// \param root traffic class of the request
admission_decision admit_request(mesh_turn &t, const std::string &route, const std::string &root,
                                 double place);
/// \returns whether the runs of the local upstream count by their cost
bool counts_by_cost(const mesh_node &n);
/// Makes the plan anew if what it is made of has changed. It takes milliseconds with hundreds of
/// routes: not to be called for a request.
void refresh_plan(mesh_turn &t);
/// \returns the load of one run of \a route on the local upstream: 1, or slot milliseconds if
/// runs count by cost
double load_of_run(const mesh_node &n, const std::string &route);
/// \returns the capacity of the local upstream in the same unit, per second
gate_capacity own_capacity(const mesh_node &n);
/// Measures the demand on the local upstream and announces changes.
void admission_tick(mesh_turn &t);
/// Updates the learned call rates of local runs and announces changes to peers.
void broadcast_chain_news(mesh_turn &t);
/// Sends call rates to a node that has just opened the connection \a link: the learned ones
/// to a node of this zone, on a relay all known ones to a node of another zone.
void greet_with_chains(mesh_turn &t, link_ref link);

// serve.cpp: calls executed on the local upstream
void handle_call(mesh_turn &t, link_ref link, mesh_wire::call_message &&call);
void handle_cancel(mesh_turn &t, link_ref link, std::uint64_t correlation);
void handle_run_result(mesh_turn &t, run_ref run, run_result &&result);
void expire_runs(mesh_turn &t);
void handle_link_closed(mesh_turn &t, link_ref link);
/// Stops dispatching to the local upstream for shutdown.
void close_gate(mesh_turn &t);
/// Dispatches queued calls while slots are free.
void dispatch_queued(mesh_turn &t);
/// Refuses the queued calls that the limit of the upstream leaves no room for, or that more
/// urgent ones have overtaken for too long.
void refuse_beyond_limit(mesh_turn &t);
/// Refuses all queued calls; none of them has run.
void refuse_queued(mesh_turn &t, mesh_wire::reason why);

// upstream_errors.cpp: error responses of the local upstream
/// \returns whether the upstream failed the run though all calls that it made succeeded
bool is_own_error_of_upstream(const local_run &run, std::uint16_t status);
/// Logs when the local upstream begins to fail many of its runs, and when that has ended.
void report_upstream_errors(mesh_turn &t);

// crash_watch.cpp: crashes of the local upstream
/// Records a run whose connection to the local upstream broke.
void record_lost_run(mesh_turn &t, const local_run &run);
void handle_upstream_probe(mesh_turn &t, upstream_probe result);
/// Handles the end of an upstream that did not announce it and has a successor.
void handle_unannounced_end(mesh_turn &t, const upstream_heartbeat &ended);

// upstream_news.cpp: state reported by the local upstream
heartbeat_verdict handle_heartbeat(mesh_turn &t, const upstream_heartbeat &beat);
void handle_leave(mesh_turn &t, const std::string &upstream, std::uint64_t unix_ms);
/// \returns whether the local upstream gets no calls until its announced end has been read
bool awaits_stored_end(const mesh_node &n, time_point now);
/// Handles what the store keeps of the local upstream's announced end; none if nothing.
void handle_stored_end(mesh_turn &t, const std::optional<announced_end> &stored);

/// Updates the gate to the state of the upstream.
void sync_gate(mesh_turn &t);

// notice_control.cpp: what the local upstream says of itself in responses
/// Handles what the upstream says of itself in a response.
/// \param run that the response belongs to; none if it is a late one to an earlier request
void handle_upstream_notice(mesh_turn &t, std::optional<run_ref> run,
                            const upstream_notice &notice);
/// Applies what a peer remembers of the local upstream. A process that has just started has
/// heard nothing from it yet.
void handle_remembered_notice(mesh_turn &t, const std::string &from,
                              const mesh_wire::upstream_notice_message &notice);
/// Applies what peers remember of the upstream, if it is of the current incarnation. The limit
/// counts until a response shows whether it is still in force; an announced leave is final.
void recall_notice(mesh_turn &t);
/// Reviews the queue of a limited upstream and logs what it gets. To be called on each tick.
void upstream_limit_tick(mesh_turn &t);

/// Where a policy was read.
enum class policy_source
{
    store,
    peer
};

/// \returns the name in log lines
const char *name_of(policy_source source);

// members.cpp: peers, their state and the policy
void handle_address(mesh_turn &t, const node_address &address);
void handle_hello(mesh_turn &t, link_ref link, const mesh_wire::hello_message &hello);
void handle_status(mesh_turn &t, const mesh_wire::node_status_message &status);
/// Applies a status that another node has heard at \a heard_at.
/// \returns whether it was newer than the known one
bool apply_relayed_status(mesh_turn &t, const mesh_wire::node_status_message &status,
                          time_point heard_at);
void handle_node_connected(mesh_turn &t, const std::string &node);
/// Puts a policy in force if it is newer than the current one.
/// \param text its source text
/// \returns whether it was put in force
bool apply_policy(mesh_turn &t, traffic_policy policy, std::string text, policy_source source);
/// Records whether the platform's store can be reached.
void set_store_lost(mesh_turn &t, bool lost);
void handle_policy_fetch(mesh_turn &t, link_ref link);
void handle_ping(mesh_turn &t, link_ref link);
void handle_chain_news(mesh_turn &t, const mesh_wire::chain_news_message &news);
/// Restores the persisted call rates of a route. Rates learned since take precedence.
void restore_chain(mesh_turn &t, const std::string &route, const calls_per_run &calls);
mesh_wire::node_load_message own_load(mesh_node &n, time_point now);
mesh_wire::node_status_message own_status(mesh_turn &t);
/// \param to node that the message is sent to
mesh_wire::hello_message own_hello(const mesh_node &n, const std::string &to, time_point now);
/// \returns what the local upstream says of itself; none if it has no limit and is not leaving
std::unique_ptr<mesh_wire::upstream_notice_message> own_notice(const mesh_node &n);
/// Runs the periodic work; to be called at least every mesh_tick_interval.
void members_tick(mesh_turn &t);
/// \returns whether the node is ready: it has a policy and peers to send to
bool is_ready(const mesh_node &n, time_point now);
/// Updates this node's own entry in the directory.
void update_own_status(mesh_turn &t);
/// \returns \a now in the representation used in frames
std::uint64_t frame_time_us(time_point now);
/// \returns whether requests may be dispatched to the local upstream
bool accepts_runs(const mesh_node &n, time_point now);

/// Maximum interval between calls of members_tick.
constexpr duration mesh_tick_interval = milliseconds(100);

/// \returns the earliest time at which a call or run expires or a queued run may start, if any
std::optional<time_point> next_expiry(const mesh_node &n);

// stop.cpp: graceful shutdown
/// Begins the shutdown. The node keeps working until the gate closes, but is not ready.
void stop_node(mesh_turn &t);
/// Closes the gate of a stopping node once that is due.
void stop_tick(mesh_turn &t);
/// \returns whether the node accepts a caller's request that expires at \a expires
bool accepts_callers(const mesh_node &n, time_point now, time_point expires);
/// \returns whether a request that is taken now is answered before a stopping node ends, as far
/// as the recent ones of its route tell; of a route without any, its deadline tells
/// \param times of the route's requests
bool ends_before_stop(const mesh_node &n, const run_costs &times, const std::string &route,
                      time_point now, time_point deadline);
/// \returns whether a call made by a run is taken: late in a stop only if it is answered in time
bool accepts_call_of_run(const mesh_node &n, const std::string &route, time_point now,
                         time_point deadline);
/// \returns when each accepted request has its answer: before the end of a stopping node
time_point latest_answer(const mesh_node &n);
/// \returns whether callers should use another node from now on
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
