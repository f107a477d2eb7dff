#ifndef GULLSTALL_NODE_NODE_HPP
#define GULLSTALL_NODE_NODE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gullstall/bundle.hpp"
#include "gullstall/core.hpp"
#include "gullstall/membership.hpp"
#include "gullstall/metrics.hpp"
#include "gullstall/once.hpp"
#include "gullstall/overload.hpp"
#include "gullstall/retry.hpp"
#include "gullstall/route.hpp"
#include "gullstall/settings.hpp"
#include "gullstall/src/node/action.hpp"
#include "gullstall/src/node/event.hpp"
#include "gullstall/suspects.hpp"
#include "gullstall/timeline.hpp"

namespace gullstall {

/// One attempt to run a call on an upstream.
struct attempt
{
    std::uint64_t correlation = 0;
    std::string instance;
    std::uint32_t share =
        0;  ///< part of the call's retry allowance that was passed to the upstream
    time_point sent_at{};
};

/// A call that this node has accepted and not yet answered.
struct pending_call
{
    call_ref id{};
    std::optional<run_ref> parent;  ///< run on the local worker that issued the call
    wire::call_message request;     ///< correlation, allowance and left_us are set for each attempt
    time_point taken_at{};
    time_point deadline{};
    allowance retries{};
    std::optional<attempt> current;
    std::vector<std::string> tried;
    /// Until then a call issued by a run waits for an upstream of its service.
    std::optional<time_point> upstream_wait_deadline;
    bool may_have_run = false;      ///< an attempt ended with an unknown outcome
    std::vector<call_ref> waiters;  ///< callers to answer, including those that repeated the call
    bool outcome_known = false;     ///< the stored record of its key gives the outcome
    std::optional<std::pair<std::string, std::uint64_t>>
        origin;  ///< sender and its correlation, if
                 ///< forwarded to the key's issuer
};

/// A call that is queued for or running on the local worker.
struct active_run
{
    run_ref id{};
    std::string origin;  ///< instance of the node that sent the call
    wire::call_message call;
    time_point deadline{};
    time_point expires{};  ///< just before the deadline; the deadline once started
    time_point queued_at{};
    std::optional<time_point> started_at;
    allowance retries{};
    std::set<call_ref> child_calls;                         ///< unanswered calls issued by the run
    std::map<std::string, admission_level> reached_levels;  ///< services reached by the run's calls
};

/// Batch of claims that was sent to the claim writer of the zone.
struct forwarded_claims
{
    std::string writer;
    time_point sent_at{};
};

/// Purpose of a request to the platform.
enum class platform_purpose
{
    member_lease,
    member_scan,
    bundle_head,
    bundle_object,
    bundle_row,
    claim_commit,
    claim_read
};

/// Counters exported on the admin port.
struct node_counters
{
    std::uint64_t calls_taken = 0;
    std::uint64_t calls_answered = 0;
    std::uint64_t calls_resent = 0;
    std::uint64_t repeats_joined = 0;
    std::uint64_t unknown_contexts = 0;
    std::uint64_t runs_started = 0;
    std::uint64_t runs_lost = 0;
    std::map<std::string, std::uint64_t> refusals;  ///< by reason and class
};

/// Safeguards. A test can disable one to reproduce the failure that it prevents.
struct node_guards
{
    bool divide_allowance = true;  ///< if false, every call gets a copy of the allowance
    bool join_repeats = true;      ///< if false, a repeat of a call in flight runs separately
    bool wait_for_upstreams =
        true;  ///< if false, calls of runs fail at once when no upstream exists
};

/// State of one node. It owns no sockets, threads or clocks.
/// \see make_node, step
struct node
{
    node_settings settings;
    node_guards guards;
    std::uint64_t incarnation = 0;
    random_source random;

    rollout bundles;
    member_table members;
    gossip_state gossip;
    contact_turns contacts;
    router routes;
    overload_rules rules;
    level_control level;
    run_queue queue;
    run_times times;
    dependency_table touched_services;
    std::map<std::string, retry_budget> budgets;  ///< by service
    timeline events;
    node_counters counters;
    node_latencies latencies;
    once_book idempotency;
    suspect_table suspects;
    std::deque<run_ref> exclusive_waiting;  ///< queued runs that need the worker exclusively
    std::optional<run_ref> exclusive_run;   ///< run that currently has the worker exclusively
    claim_group claims;  ///< claims of the zone's nodes, when this node is the writer
    std::map<std::uint64_t, forwarded_claims> forwarded_batches;  ///< by batch
    time_point direct_commit_until{};  ///< until then the node commits its own claims
    std::unordered_map<platform_ref, std::uint64_t> claim_commits;  ///< group number of each commit
    std::unordered_map<platform_ref, table_read> claim_reads;

    std::unordered_map<call_ref, pending_call> calls;
    std::vector<call_ref>
        calls_awaiting_upstream;  ///< calls that wait for an upstream; may hold calls that ended
    std::unordered_map<std::string, call_ref>
        calls_by_request_id;  ///< by request id; without calls of the local worker
    std::unordered_map<call_ref, call_ref>
        joined_repeats;  ///< from a repeat to the call whose answer it gets
    std::unordered_map<std::uint64_t, call_ref> calls_by_attempt;  ///< by correlation
    expiry_queue<call_ref> call_deadlines;
    std::unordered_map<run_ref, active_run> runs;
    std::map<std::pair<std::string, std::uint64_t>, run_ref>
        runs_by_origin;  ///< by origin, correlation
    expiry_queue<run_ref> run_expiry;
    std::unordered_map<platform_ref, platform_purpose> pending_platform_requests;

    std::uint32_t slots = 0;  ///< slots of the local worker; 0 until it has registered
    std::uint32_t slots_used = 0;
    bool worker_draining = false;
    bool stopping = false;
    bool stopped = false;
    time_point outcome_write_deadline{};  ///< how long a stop waits for unwritten outcomes
    time_point stop_requested_at{};       ///< valid when stopping
    std::uint64_t last_id = 0;
};

/// Makes a node.
/// \param incarnation higher than that of any earlier process of the instance,
/// usually the process start time in microseconds
/// \param seed of the node's random number generator
/// \returns the node, or out_of_range when the settings lack an instance name or worker slots
result<node> make_node(const node_settings &settings, std::uint64_t incarnation,
                       std::uint64_t seed);

/// Processes one event.
/// \param now must not decrease between calls
/// \returns the actions to carry out, in order
actions step(node &it, time_point now, event what);

}  // namespace gullstall

#endif
