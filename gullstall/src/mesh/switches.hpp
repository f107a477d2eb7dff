#ifndef GULLSTALL_MESH_SWITCHES_HPP
#define GULLSTALL_MESH_SWITCHES_HPP

#include <string_view>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// Feature flags of the mesh. Tests switch a feature off to show the failure that it
/// prevents, benchmarks to measure its effect. In production all are on.
struct mesh_features
{
    bool age_of_frames = true;     ///< off: the transit time of frames is ignored
    bool ask_quiet_nodes = true;   ///< off: a silent node gets calls until it is declared lost
    bool chains_need_all = true;   ///< off: only the first service of a chain must be available
    bool admission = true;         ///< off: requests are admitted regardless of capacity
    bool needs_in_weights = true;  ///< off: weights depend on the priority class alone
    bool shed_chance = true;       ///< off: requests that are likely to be shed are admitted
    bool zone_plan = true;         ///< off: the zone choice ignores nested calls
    bool own_zone_first = true;    ///< off: the local zone is not preferred
    bool failure_cost = true;      ///< off: failed calls do not raise the cost of a node
    bool cost_draw = true;         ///< off: nodes are chosen uniformly at random
    bool packed_frames = true;     ///< off: frames between zones are not compressed
    bool repeats = true;           ///< off: calls are not retried on a second upstream
    bool gate_order = true;        ///< off: calls wait for a slot in order of arrival
    bool patient_calls = true;     ///< off: the queue length limits nested calls, too
    bool urgent_share = true;      ///< off: the queue lowers the admitted share of all classes
    bool urgent_drain = true;      ///< off: waiting urgent calls do not lower the urgent share
    bool kept_chains = true;       ///< off: learned calls per run are not kept in the store
    bool whole_runs = true;        ///< off: calls per run are learned from failed runs, too
    bool timed_returns = true;     ///< off: the retry time ignores the cause of the refusal
    bool spread_returns = true;    ///< off: the retry time has no jitter
    bool ordered_stops = true;     ///< off: a stopping node does not wait for other upstreams
    bool waiting_calls = true;     ///< off: nested calls without an upstream fail at once
    bool relayed_statuses = true;  ///< off: each node sends its status to all other nodes
    bool store_watchers = true;    ///< off: each node watches the store
    bool gate_grants = true;       ///< off: entry nodes limit all retries by themselves
    bool crash_guard = true;       ///< off: requests that crash upstreams are run again
    bool ordered_trials = true;    ///< off: all upstreams try an isolated request at once
    bool kept_suspects = true;     ///< off: suspects of crashes are not kept in the store
    bool upstream_limits = true;   ///< off: what upstreams say of themselves has no effect
    bool limit_placing = true;     ///< off: nodes are chosen regardless of upstream limits
    bool upstream_errors = true;   ///< off: errors of an upstream do not raise its cost
    bool run_costs = true;         ///< off: all runs of a service count the same

    bool operator==(const mesh_features &) const = default;
};

/// Disables features.
/// \param names of members of mesh_features, separated by commas
/// \returns an error that contains the first unknown name
result<done> disable_features(mesh_features &it, std::string_view names);

}  // namespace gullstall::mesh

#endif
