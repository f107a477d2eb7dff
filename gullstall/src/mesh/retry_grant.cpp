#include "gullstall/src/mesh/retry_grant.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Runs of other services below which a route counts as one without nested calls.
constexpr double min_nested_runs = 0.1;

/// \returns the number of nodes whose upstreams share the limit, including those that are
/// not reachable: behind a network cut they grant retries, too
std::size_t count_upstreams(const mesh_node &n)
{
    const std::string &service = n.settings.node.service;
    auto count = std::count_if(n.nodes.nodes.begin(), n.nodes.nodes.end(), [&](const auto &entry) {
        return entry.second.status.service == service;
    });
    return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

retry_quota_limit gate_limit(const mesh_node &n, time_point now)
{
    const auto &limits = n.settings.limits;
    duration window = from_seconds(limits.retry_window_s);
    double share = 1 - entry_share(n);
    // An earlier process may have granted all of the slack in the same window.
    bool is_new = now - n.started_at < window;
    double slack =
        is_new ? 0 : limits.retry_slack * share / static_cast<double>(count_upstreams(n));
    return retry_quota_limit{limits.retry_ratio * share, slack, window};
}

bool is_urgent(const mesh_wire::call_message &call)
{
    return call.priority == 0;
}

}  // namespace

double entry_share(const mesh_node &n)
{
    return n.features.gate_grants ? entry_retry_share : 1;
}

bool is_granted_at_gate(const mesh_node &n, const entry_call &call)
{
    if (!n.features.gate_grants) {
        return false;
    }
    auto needs = n.plan.runs_per_request.find(call.route);
    if (needs == n.plan.runs_per_request.end()) {
        return true;
    }
    return std::all_of(needs->second.begin(), needs->second.end(), [&](const auto &entry) {
        return entry.first == call.call.service || entry.second < min_nested_runs;
    });
}

void count_for_retries(mesh_turn &t, const mesh_wire::call_message &call)
{
    if (!call.inner && !call.repeat) {
        record_request(t.n.gate_retries, from_seconds(t.n.settings.limits.retry_window_s), t.now);
    }
}

bool grant_retry(mesh_turn &t, const mesh_wire::call_message &call)
{
    bool granted = grant(t.n.gate_retries, gate_limit(t.n, t.now), is_urgent(call), t.now);
    ++(granted ? t.n.counters.retries_granted : t.n.counters.retries_refused);
    return granted;
}

void return_grant(mesh_turn &t, const mesh_wire::call_message &call)
{
    take_back_grant(t.n.gate_retries, is_urgent(call));
    --t.n.counters.retries_granted;
}

}  // namespace gullstall::mesh
