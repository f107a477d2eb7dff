#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/zone_duty.hpp"

namespace gullstall::mesh {

namespace {

void add(std::string &out, const char *name, const char *type, double value)
{
    out += std::string("# TYPE ") + name + " " + type + "\n" + name + " " + std::to_string(value) +
           "\n";
}

void add_limit(std::string &out, const own_upstream &it, time_point now)
{
    if (it.limit) {
        add(out, "gullstall_upstream_limit_per_second", "gauge", it.limit->per_s);
    }
    add(out, "gullstall_upstream_requests_in_window", "gauge",
        static_cast<double>(counts_in_window(it.requests, now).all));
    add(out, "gullstall_upstream_leaving", "gauge", it.has_announced_leave ? 1 : 0);
}

void add_run_costs(std::string &out, const run_costs &it)
{
    constexpr double us_per_s = 1e6;
    out += "# TYPE gullstall_run_held_seconds gauge\n";
    for (const auto &[route, held] : it.by_route) {
        out += "gullstall_run_held_seconds{route=\"" + route + "\"} " +
               std::to_string(held.mean_us / us_per_s) + "\n";
    }
}

void add_quotas(std::string &out, const quota_state &it)
{
    out += "# TYPE gullstall_quota_refused_total counter\n";
    for (const auto &[name, count] : it.refused) {
        out += "gullstall_quota_refused_total{customer=\"" + name + "\"} " + std::to_string(count) +
               "\n";
    }
    out += "# TYPE gullstall_quota_tokens_total counter\n";
    for (auto [kind, count] :
         {std::pair("granted", it.flow.granted), std::pair("lent", it.flow.lent),
          std::pair("borrowed", it.flow.borrowed), std::pair("returned", it.flow.returned)}) {
        out += std::string("gullstall_quota_tokens_total{kind=\"") + kind + "\"} " +
               std::to_string(count) + "\n";
    }
    add(out, "gullstall_quota_accounts", "gauge", static_cast<double>(it.ledger.accounts.size()));
    add(out, "gullstall_quota_member_changes_total", "counter",
        static_cast<double>(it.member_changes));
}

}  // namespace

std::string print_metrics(const mesh_node &n, time_point now)
{
    std::string out = "# TYPE gullstall_requests_total counter\n";
    for (const auto &[labels, count] : n.counters.answers) {
        out += "gullstall_requests_total{" + labels + "} " + std::to_string(count) + "\n";
    }
    add_quotas(out, n.quotas);
    add(out, "gullstall_repeats_total", "counter", static_cast<double>(n.counters.repeats));
    add(out, "gullstall_repeats_denied_total", "counter",
        static_cast<double>(n.counters.repeats_denied));
    add(out, "gullstall_gate_retries_granted_total", "counter",
        static_cast<double>(n.counters.retries_granted));
    add(out, "gullstall_gate_retries_refused_total", "counter",
        static_cast<double>(n.counters.retries_refused));
    add(out, "gullstall_runs_started_total", "counter",
        static_cast<double>(n.counters.runs_started));
    add(out, "gullstall_stale_calls_total", "counter",
        static_cast<double>(n.counters.stale_frames));
    add(out, "gullstall_upstream_crashes_total", "counter",
        static_cast<double>(n.counters.upstream_crashes));
    add(out, "gullstall_runs_lost_in_crashes_total", "counter",
        static_cast<double>(n.counters.runs_lost_in_crashes));
    add(out, "gullstall_exceptions_total", "counter", static_cast<double>(n.counters.exceptions));
    add(out, "gullstall_crash_suspects", "gauge",
        static_cast<double>(n.suspects.by_signature.size()));
    add(out, "gullstall_quarantined_requests", "gauge",
        static_cast<double>(count_quarantined(n.suspects, now)));
    add(out, "gullstall_stored_suspects", "gauge",
        static_cast<double>(n.stored_suspects.stored.size()));
    add(out, "gullstall_stored_suspects_age_seconds", "gauge",
        n.stored_suspects.has_read ? to_seconds(now - n.stored_suspects.stored_at) : 0);
    add(out, "gullstall_held_runs", "gauge", static_cast<double>(n.held_runs.size()));
    add(out, "gullstall_calls_in_flight", "gauge", static_cast<double>(n.calls.size()));
    add_limit(out, n.upstream, now);
    add(out, "gullstall_refused_by_limit_total", "counter",
        static_cast<double>(n.counters.refused_by_limit));
    add(out, "gullstall_slots", "gauge", n.gate.slots);
    add(out, "gullstall_slots_in_use", "gauge", n.gate.running);
    add(out, "gullstall_gate_capacity_per_second", "gauge", n.capacity.available_per_s);
    add(out, "gullstall_gate_demand_per_second", "gauge", n.announced_demand);
    add_run_costs(out, n.costs);
    add(out, "gullstall_upstream_error_share", "gauge", recent_error_share(n.gate, now));
    add(out, "gullstall_waiting", "gauge", static_cast<double>(n.gate.waiting.size()));
    add(out, "gullstall_policy_version", "gauge",
        n.policy ? static_cast<double>(n.policy->version) : 0);
    add(out, "gullstall_policy_age_seconds", "gauge",
        n.policy ? std::chrono::duration<double>(now - n.policy_at).count() : 0);
    add(out, "gullstall_store_watched", "gauge", watches_store(n, now) ? 1 : 0);
    add(out, "gullstall_store_unanswered_seconds", "gauge",
        n.store_answered_at ? to_seconds(now - *n.store_answered_at) : 0);
    std::map<std::string, std::uint32_t> members;
    for (const auto &[name, view] : n.nodes.nodes) {
        std::string state = !view.linked ? "unlinked"
                            : view.status.stopping
                                ? "stopping"
                                : mesh_wire::EnumNameupstream_state(view.status.state);
        ++members[state];
    }
    out += "# TYPE gullstall_nodes gauge\n";
    for (const auto &[state, count] : members) {
        out += "gullstall_nodes{state=\"" + state + "\"} " + std::to_string(count) + "\n";
    }
    out += print_latency("gullstall_request_seconds", n.latencies.call);
    out += print_latency("gullstall_queue_wait_seconds", n.latencies.queue_wait);
    out += print_latency("gullstall_run_seconds", n.latencies.run);
    return out;
}

}  // namespace gullstall::mesh
