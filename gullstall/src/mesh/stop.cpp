#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

namespace {

/// Factor on the longest of a route's recent requests that bounds the next one.
constexpr int longest_time_margin = 2;

/// \returns the number of other upstreams of the local service that keep accepting work
std::size_t others_staying(const mesh_turn &t)
{
    const auto &self = t.n.settings.node;
    return count_remaining(t.n.nodes, self.name, self.service, t.now);
}

void log_gate_close(mesh_turn &t, std::size_t staying, bool suffice)
{
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "node",
                                  "gate-closed",
                                  {{"why", suffice ? "others_suffice" : "time_is_over"},
                                   {"staying", std::to_string(staying)},
                                   {"least", std::to_string(t.n.required_remaining)},
                                   {"runs", std::to_string(t.n.runs.size())}}});
}

}  // namespace

void stop_node(mesh_turn &t)
{
    t.n.stopping = true;
    t.n.stop = plan_stop(t.now, t.n.settings.stop_time,
                         duration(static_cast<std::int64_t>(t.n.gate.mean_run_us)));
    t.n.gate_closes_at = t.n.stop.gate_close_earliest;
    t.n.entry_closes_at = t.n.stop.entry_close;
    apply_timeouts(t);
    update_own_status(t);
    t.n.required_remaining =
        required_remaining(t.n.nodes, t.n.settings.node.name, t.n.settings.node.service, t.now);
    t.out.emplace_back(write_line{
        write_line::severity::info,
        "node",
        "stopping",
        {{"calls", std::to_string(t.n.calls.size())}, {"runs", std::to_string(t.n.runs.size())}}});
    send_status_to_callers(t);
}

void stop_tick(mesh_turn &t)
{
    if (!t.n.gate_closes_at || t.n.gate_closed || t.now < *t.n.gate_closes_at) {
        return;
    }
    std::size_t staying = others_staying(t);
    bool holds =
        t.n.features.ordered_stops && accepts_runs(t.n, t.now) && staying < t.n.required_remaining;
    if (!holds || t.now >= t.n.stop.gate_close_latest) {
        log_gate_close(t, staying, !holds);
        close_gate(t);
    }
}

bool accepts_callers(const mesh_node &n, time_point now, time_point expires)
{
    if (!n.entry_closes_at || now < *n.entry_closes_at) {
        return true;
    }
    // While the gate is held open, requests that finish before the process exits are accepted.
    return !n.gate_closed && (now < n.stop.held_entry_close || expires <= n.stop.answer_deadline);
}

bool ends_before_stop(const mesh_node &n, const run_costs &times, const std::string &route,
                      time_point now, time_point deadline)
{
    if (!n.stopping) {
        return true;
    }
    std::optional<duration> longest = longest_held(times, route);
    time_point end = longest ? std::min(deadline, now + longest_time_margin * *longest) : deadline;
    return end <= latest_answer(n);
}

bool accepts_call_of_run(const mesh_node &n, const std::string &route, time_point now,
                         time_point deadline)
{
    return !n.stopping || now < n.stop.held_entry_close ||
           ends_before_stop(n, n.call_times, route, now, deadline);
}

time_point latest_answer(const mesh_node &n)
{
    return n.stopping ? n.stop.answer_deadline : time_point::max();
}

bool is_entry_closed(const mesh_node &n, time_point now)
{
    return n.entry_closes_at && now >= *n.entry_closes_at && n.gate_closed;
}

}  // namespace gullstall::mesh
