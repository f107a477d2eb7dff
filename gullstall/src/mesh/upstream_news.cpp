#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

using mesh_wire::reason;

namespace {

/// Maximum time after the start for which an unread row holds calls back: the store answers
/// within milliseconds, or is away.
constexpr duration max_stored_end_wait = milliseconds(200);

}  // namespace

void sync_gate(mesh_turn &t)
{
    if (accepts_work(t.n.upstream)) {
        t.n.gate.slots = usable_slots(t.n.upstream.latest->slots);
        dispatch_queued(t);
    } else {
        refuse_queued(t, reason::leaving);
    }
}

heartbeat_verdict handle_heartbeat(mesh_turn &t, const upstream_heartbeat &beat)
{
    std::optional<upstream_heartbeat> before = t.n.upstream.latest;
    heartbeat_verdict verdict = apply_heartbeat(t.n.upstream, beat, t.now);
    if (verdict != heartbeat_verdict::accepted) {
        return verdict;
    }
    bool is_new = !is_same_incarnation(before, beat);
    bool has_changed = is_new || before->state != beat.state;
    if (is_new && before && before->state == mesh_wire::upstream_state::ready) {
        handle_unannounced_end(t, *before);
    }
    t.n.upstream_backoff_until = time_point{};
    if (is_new) {
        t.n.gate.mean_run_us = 0;
        t.n.gate.error_share = 0;
        t.n.costs = run_costs{};
        set_rate(t.n.gate.rate, std::nullopt, t.now);
        t.out.emplace_back(upstream_replaced{});
        recall_notice(t);
    }
    sync_gate(t);
    if (std::optional<announced_end> end = end_of(beat); end && has_changed) {
        keep_end(t, *end);
    }
    if (has_changed) {
        t.out.emplace_back(write_line{write_line::severity::info,
                                      "upstream",
                                      "upstream-state",
                                      {{"upstream", beat.upstream},
                                       {"service", beat.service},
                                       {"state", mesh_wire::EnumNameupstream_state(beat.state)},
                                       {"slots", std::to_string(beat.slots)},
                                       {"born", std::to_string(beat.started_ms)},
                                       {"sequence", std::to_string(beat.sequence)},
                                       {"cold_ms", std::to_string(to_ms(beat.warmup_time))}}});
        send_status_to_callers(t);
        dispatch_waiting_calls(t);
    }
    return verdict;
}

void handle_leave(mesh_turn &t, const std::string &upstream, std::uint64_t unix_ms)
{
    const std::optional<announced_end> &known = t.n.upstream_end.end;
    bool is_present = t.n.upstream.latest && t.n.upstream.latest->upstream == upstream;
    if (!is_present && known && known->has_departed && known->upstream == upstream) {
        return;  // repeated, since it was not acknowledged in time
    }
    apply_leave(t.n.upstream, upstream, unix_ms);
    keep_end(t, announced_end{upstream, t.n.upstream.departed.back().started_ms, 0, true});
    t.out.emplace_back(write_line{
        write_line::severity::info, "upstream", "upstream-left", {{"upstream", upstream}}});
    sync_gate(t);
    send_status_to_callers(t);
}

bool awaits_stored_end(const mesh_node &n, time_point now)
{
    return n.expects_stored_end && !n.has_read_stored_end &&
           now < n.started_at + max_stored_end_wait;
}

void handle_stored_end(mesh_turn &t, const std::optional<announced_end> &stored)
{
    t.n.has_read_stored_end = true;
    if (stored) {
        apply_earlier_end(t, *stored, "stored-end-read", {});
    }
}

}  // namespace gullstall::mesh
