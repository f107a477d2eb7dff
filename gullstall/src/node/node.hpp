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

/// One send of a call to an upstream.
struct attempt
{
    std::uint64_t correlation = 0;
    std::string instance;
    std::uint32_t share = 0;  ///< allowance given along
    time_point sent_at{};
};

/// A call that this node has taken and not yet answered.
struct pending_call
{
    call_ref id{};
    std::optional<run_ref> parent;  ///< run on the own worker that makes the call
    wire::call_message request;     ///< correlation, allowance and time are set at each send
    time_point taken_at{};
    time_point deadline{};
    allowance retries{};
    std::optional<attempt> current;
    std::vector<std::string> tried;
    /// A call of a run waits until then for an upstream of its service.
    std::optional<time_point> waits_until;
    bool may_have_run = false;      ///< an attempt ended without anyone knowing
    std::vector<call_ref> waiters;  ///< callers that get the answer, repeats included
    bool settled = false;           ///< its outcome is known from the key's memory
    std::optional<std::pair<std::string, std::uint64_t>> origin;  ///< node and correlation, when
                                                                  ///< it came for its issuer
};

/// A call that this node runs, or will run, on its own worker.
struct active_run
{
    run_ref id{};
    std::string origin;  ///< instance of the node that sent the call
    wire::call_message call;
    time_point deadline{};
    time_point queued_at{};
    std::optional<time_point> started_at;
    allowance retries{};
    std::set<call_ref> children;                     ///< calls that the run has made
    std::map<std::string, admission_level> touched;  ///< services reached below it
};

/// Claims that this node has sent to the claim writer of its zone.
struct forwarded_claims
{
    std::string writer;
    time_point sent_at{};
};

/// What a request to the platform was for.
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

/// Counters that the admin port shows.
struct node_counters
{
    std::uint64_t calls_taken = 0;
    std::uint64_t calls_answered = 0;
    std::uint64_t calls_resent = 0;
    std::uint64_t repeats_joined = 0;
    std::uint64_t contexts_unknown = 0;
    std::uint64_t runs_started = 0;
    std::uint64_t runs_lost = 0;
    std::map<std::string, std::uint64_t> refusals;  ///< by reason and class
};

/// Guards that a test may switch off, to show the failure that each prevents.
struct node_guards
{
    bool divide_allowance = true;  ///< off: every call gets a copy of the allowance
    bool join_repeats = true;      ///< off: a repeat in flight is a call of its own
    bool calls_wait = true;        ///< off: calls of runs fail at once where no upstream is there
};

/// State of one node. It holds no socket, thread or clock.
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
    touch_table touches;
    std::map<std::string, retry_budget> budgets;  ///< by service
    timeline events;
    node_counters counters;
    node_latencies latencies;
    once_book once;
    suspect_table suspects;
    std::deque<run_ref> alone_waiting;  ///< runs that want the worker for themselves
    std::optional<run_ref> alone;       ///< the run that has the worker for itself
    claim_group claims;                 ///< of this zone's nodes, when this node writes for them
    std::map<std::uint64_t, forwarded_claims> claims_forwarded;     ///< by batch
    time_point claims_alone_until{};                                ///< the zone's writer is silent
    std::unordered_map<platform_ref, std::uint64_t> claim_commits;  ///< group of each
    std::unordered_map<platform_ref, table_read> claim_reads;

    std::unordered_map<call_ref, pending_call> calls;
    std::vector<call_ref> waiting_calls;  ///< for an upstream; some may have ended meanwhile
    std::unordered_map<std::string, call_ref> entered;     ///< by request id, no worker's calls
    std::unordered_map<call_ref, call_ref> joined;         ///< a repeat, and the call it waits for
    std::unordered_map<std::uint64_t, call_ref> attempts;  ///< by correlation
    std::multimap<time_point, call_ref> call_deadlines;
    std::unordered_map<run_ref, active_run> runs;
    std::map<std::pair<std::string, std::uint64_t>, run_ref> served;  ///< by origin, correlation
    std::multimap<time_point, run_ref> run_deadlines;
    std::unordered_map<platform_ref, platform_purpose> platform_waiting;

    std::uint32_t slots = 0;  ///< of the own worker, 0: it has not announced itself
    std::uint32_t slots_used = 0;
    bool worker_leaves = false;
    bool stopping = false;
    bool stopped = false;
    time_point settle_until{};   ///< a stop waits no longer for outcomes to be written
    time_point stop_asked_at{};  ///< valid when stopping
    std::uint64_t last_id = 0;
};

/// Makes a node.
/// \param incarnation higher than that of any earlier process of the instance,
/// usually the time of its start in microseconds
/// \param seed of the node's random choices
/// \returns the node, or out_of_range for settings that no node can have
result<node> make_node(const node_settings &settings, std::uint64_t incarnation,
                       std::uint64_t seed);

/// Lets a node take in one event.
/// \param now must not go back between steps
/// \returns what the node asks of its surroundings, in order
actions step(node &it, time_point now, event what);

}  // namespace gullstall

#endif
