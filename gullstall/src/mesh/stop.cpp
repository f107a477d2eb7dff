#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

namespace {

/// \returns whether the service is served well enough without the own upstream, as far as
/// this node sees
bool others_suffice(mesh_turn &t)
{
    if (!t.n.on.ordered_stops || !serves(t.n, t.now)) {
        return true;
    }
    return count_staying(t.n.nodes, t.n.settings.node.name, t.n.upstream.latest->service, t.now) >=
           t.n.least_staying;
}

void log_gate_close(mesh_turn &t, bool suffice)
{
    const std::string &service = t.n.settings.node.service;
    t.out.emplace_back(write_line{
        write_line::severity::info,
        "node",
        "gate-closed",
        {{"why", suffice ? "others_suffice" : "time_is_over"},
         {"staying",
          std::to_string(count_staying(t.n.nodes, t.n.settings.node.name, service, t.now))},
         {"least", std::to_string(t.n.least_staying)},
         {"runs", std::to_string(t.n.runs.size())}}});
}

}  // namespace

void stop_node(mesh_turn &t)
{
    t.n.stopping = true;
    t.n.stop = plan_stop(t.now, t.n.settings.stop_time,
                         duration(static_cast<std::int64_t>(t.n.gate.run_us)));
    t.n.gate_closes_at = t.n.stop.gate_from;
    t.n.entry_closes_at = t.n.stop.entry;
    refresh_own_view(t);
    t.n.least_staying =
        least_staying(t.n.nodes, t.n.settings.node.name, t.n.settings.node.service, t.now);
    t.out.emplace_back(write_line{
        write_line::severity::info,
        "node",
        "stopping",
        {{"calls", std::to_string(t.n.calls.size())}, {"runs", std::to_string(t.n.runs.size())}}});
    spread_status(t);
}

void stop_tick(mesh_turn &t)
{
    if (!t.n.gate_closes_at || t.n.gate_closed || t.now < *t.n.gate_closes_at) {
        return;
    }
    bool suffice = others_suffice(t);
    if (suffice || t.now >= t.n.stop.gate_by) {
        log_gate_close(t, suffice);
        close_gate(t);
    }
}

bool takes_callers(const mesh_node &n, time_point now, time_point expires)
{
    if (!n.entry_closes_at || now < *n.entry_closes_at) {
        return true;
    }
    // A gate that is held open keeps the process alive: what ends in time can be taken.
    return !n.gate_closed && (now < n.stop.held_entry || expires <= n.stop.answered);
}

bool is_entry_closed(const mesh_node &n, time_point now)
{
    return n.entry_closes_at && now >= *n.entry_closes_at && n.gate_closed;
}

}  // namespace gullstall::mesh
