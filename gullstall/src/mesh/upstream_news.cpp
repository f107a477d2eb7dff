#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

using mesh_wire::reason;

namespace {

/// Updates the gate to the state reported by the upstream.
void sync_gate(mesh_turn &t)
{
    if (accepts_work(t.n.upstream)) {
        t.n.gate.slots = usable_slots(t.n.upstream.latest->slots);
        dispatch_queued(t);
    } else {
        refuse_queued(t, reason::leaving);
    }
}

/// Updates the gate to the limit that the upstream has named.
void sync_limit(mesh_turn &t)
{
    if (!t.n.features.upstream_limits) {
        return;
    }
    const std::optional<named_limit> &limit = t.n.upstream.limit;
    set_rate(t.n.gate.rate, limit ? std::optional(limit->per_s) : std::nullopt, t.now);
    refuse_beyond_limit(t);
    dispatch_queued(t);
    send_status_to_callers(t);
}

/// Interval between log lines on the use of a limit.
constexpr duration limit_log_interval = seconds(1);

std::string print_rate(const std::optional<named_limit> &limit)
{
    return limit ? std::to_string(limit->per_s) : "none";
}

void log_limit(mesh_turn &t, const std::optional<named_limit> &before, const std::string &request)
{
    const own_upstream &up = t.n.upstream;
    duration age = before ? t.now - before->first_named_at : duration{};
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "upstream",
                                  up.limit ? "upstream-limit" : "upstream-limit-lifted",
                                  {{"upstream", up.latest->upstream},
                                   {"request", request},
                                   {"limit_per_s", print_rate(up.limit)},
                                   {"before", print_rate(before)},
                                   {"before_ms", std::to_string(to_ms(age))}}});
}

void log_leave(mesh_turn &t, const std::string &request)
{
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "upstream",
                   "upstream-announced-leave",
                   {{"upstream", t.n.upstream.latest->upstream},
                    {"request", request},
                    {"running", std::to_string(t.n.gate.running)},
                    {"state", mesh_wire::EnumNameupstream_state(t.n.upstream.latest->state)}}});
}

void log_unreadable_notice(mesh_turn &t, const std::string &field, const std::string &request)
{
    t.out.emplace_back(write_line{write_line::severity::warning,
                                  "upstream",
                                  "upstream-notice-unreadable",
                                  {{"request", request}, {"field", field}}});
}

/// Stops dispatching to an upstream that has said in a response that it leaves.
void begin_leave(mesh_turn &t, const std::string &request)
{
    if (t.n.upstream.has_announced_leave || !t.n.features.upstream_limits) {
        return;
    }
    t.n.upstream.has_announced_leave = true;
    log_leave(t, request);
    sync_gate(t);
    send_status_to_callers(t);
}

/// Applies what a peer remembers of the upstream. Its limit counts until a response shows
/// whether it is still in force; an announced leave is final.
void recall_notice(mesh_turn &t)
{
    own_upstream &up = t.n.upstream;
    bool is_same = up.latest && up.remembered &&
                   is_notice_of(*up.remembered, up.latest->upstream, up.latest->started_ms);
    if (!is_same) {
        return;
    }
    if (up.remembered->limited && !up.has_responded) {
        constexpr double milli = 1000;
        upstream_notice notice;
        notice.limit_per_s = static_cast<double>(up.remembered->limit_milli) / milli;
        std::optional<named_limit> before = up.limit;
        if (apply_limit(up.limit, notice, std::nullopt, up.remembered_by, t.now)) {
            log_limit(t, before, "");
            sync_limit(t);
        }
    }
    if (up.remembered->leaving) {
        begin_leave(t, "");
    }
}

}  // namespace

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
        set_rate(t.n.gate.rate, std::nullopt, t.now);
        t.out.emplace_back(upstream_replaced{});
        recall_notice(t);
    }
    sync_gate(t);
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

void handle_upstream_notice(mesh_turn &t, std::optional<run_ref> run, const upstream_notice &notice)
{
    auto found = run ? t.n.runs.find(*run) : t.n.runs.end();
    bool is_known = found != t.n.runs.end();
    std::string request = is_known ? found->second.call.request_id : "";
    if (!notice.unreadable.empty()) {
        log_unreadable_notice(t, notice.unreadable, request);
    }
    if (!t.n.upstream.latest) {
        return;
    }
    t.n.upstream.has_responded |= is_known;
    std::optional<named_limit> before = t.n.upstream.limit;
    if (apply_limit(t.n.upstream.limit, notice, is_known ? found->second.started_at : std::nullopt,
                    request, t.now)) {
        log_limit(t, before, request);
        sync_limit(t);
    }
    if (notice.is_leaving) {
        begin_leave(t, request);
    }
}

void handle_remembered_notice(mesh_turn &t, const std::string &from,
                              const mesh_wire::upstream_notice_message &notice)
{
    merge_notice(t.n.upstream.remembered, notice);
    t.n.upstream.remembered_by = from;
    recall_notice(t);
}

void upstream_limit_tick(mesh_turn &t)
{
    refuse_beyond_limit(t);
    own_upstream &up = t.n.upstream;
    if (!up.limit || t.now - up.limit_logged_at < limit_log_interval) {
        return;
    }
    up.limit_logged_at = t.now;
    request_counts counts = counts_in_window(up.requests, t.now);
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "upstream",
                   "upstream-limit-use",
                   {{"limit_per_s", print_rate(up.limit)},
                    {"named_by", up.limit->source},
                    {"age_ms", std::to_string(to_ms(t.now - up.limit->first_named_at))},
                    {"window_ms", std::to_string(to_ms(request_window_length))},
                    {"in_window", std::to_string(counts.all)},
                    {"retries", std::to_string(counts.retries)},
                    {"nested", std::to_string(counts.nested)},
                    {"running", std::to_string(t.n.gate.running)},
                    {"waiting", std::to_string(t.n.gate.waiting.size())}}});
}

void handle_leave(mesh_turn &t, const std::string &upstream, std::uint64_t unix_ms)
{
    apply_leave(t.n.upstream, upstream, unix_ms);
    t.out.emplace_back(write_line{
        write_line::severity::info, "upstream", "upstream-left", {{"upstream", upstream}}});
    sync_gate(t);
    send_status_to_callers(t);
}

}  // namespace gullstall::mesh
