#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

namespace {

/// Interval between log lines on the use of a limit.
constexpr duration limit_log_interval = seconds(1);

/// Minimum interval between the statuses that tell the other nodes of a changed limit. Replies
/// and periodic statuses tell of it, too.
constexpr duration limit_status_interval = milliseconds(100);

std::string print_rate(const std::optional<named_limit> &limit)
{
    return limit ? std::to_string(limit->per_s) : "none";
}

void log_limit(mesh_turn &t, const std::optional<named_limit> &before, const std::string &source)
{
    const own_upstream &up = t.n.upstream;
    duration age = before ? t.now - before->first_named_at : duration{};
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "upstream",
                                  up.limit ? "upstream-limit" : "upstream-limit-lifted",
                                  {{"upstream", up.latest->upstream},
                                   {"named_by", source},
                                   {"limit_per_s", print_rate(up.limit)},
                                   {"before", print_rate(before)},
                                   {"before_ms", std::to_string(to_ms(age))}}});
}

void log_limit_use(mesh_turn &t)
{
    const own_upstream &up = t.n.upstream;
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

void log_leave(mesh_turn &t, const std::string &source)
{
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "upstream",
                   "upstream-announced-leave",
                   {{"upstream", t.n.upstream.latest->upstream},
                    {"named_by", source},
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

/// Applies the limit of a notice to the gate.
/// \param source request whose response it is, or the peer that remembers it
void update_limit(mesh_turn &t, const upstream_notice &notice,
                  std::optional<time_point> requested_at, const std::string &source)
{
    own_upstream &up = t.n.upstream;
    std::optional<named_limit> before = up.limit;
    if (!apply_limit(up.limit, notice, requested_at, source, t.now)) {
        return;
    }
    log_limit(t, before, source);
    if (!t.n.features.upstream_limits) {
        return;
    }
    set_rate(t.n.gate.rate, up.limit ? std::optional(up.limit->per_s) : std::nullopt, t.now);
    refuse_beyond_limit(t);
    dispatch_queued(t);
    if (t.now - up.limit_sent_at >= limit_status_interval) {
        up.limit_sent_at = t.now;
        send_status_to_callers(t);
    }
}

/// Stops dispatching to an upstream that has announced in a response that it leaves.
void begin_leave(mesh_turn &t, const std::string &source)
{
    if (t.n.upstream.has_announced_leave || !t.n.features.upstream_limits) {
        return;
    }
    t.n.upstream.has_announced_leave = true;
    log_leave(t, source);
    sync_gate(t);
    send_status_to_callers(t);
}

}  // namespace

void handle_upstream_notice(mesh_turn &t, std::optional<run_ref> run, const upstream_notice &notice)
{
    auto found = run ? t.n.runs.find(*run) : t.n.runs.end();
    bool is_known = found != t.n.runs.end();
    std::string request = is_known ? found->second.call.request_id : "";
    std::optional<time_point> requested_at = is_known ? found->second.started_at : std::nullopt;
    if (!notice.unreadable.empty()) {
        log_unreadable_notice(t, notice.unreadable, request);
    }
    if (!t.n.upstream.latest) {
        return;
    }
    t.n.upstream.has_responded |= is_known;
    update_limit(t, notice, requested_at, request);
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

void recall_notice(mesh_turn &t)
{
    const own_upstream &up = t.n.upstream;
    bool is_same = up.latest && up.remembered &&
                   is_notice_of(*up.remembered, up.latest->upstream, up.latest->started_ms);
    if (!is_same) {
        return;
    }
    if (up.remembered->limited && !up.has_responded) {
        upstream_notice notice;
        notice.limit_per_s = limit_per_s(*up.remembered);
        update_limit(t, notice, std::nullopt, up.remembered_by);
    }
    if (up.remembered->leaving) {
        begin_leave(t, up.remembered_by);
    }
}

void upstream_limit_tick(mesh_turn &t)
{
    refuse_beyond_limit(t);
    own_upstream &up = t.n.upstream;
    if (up.limit && t.now - up.limit_logged_at >= limit_log_interval) {
        up.limit_logged_at = t.now;
        log_limit_use(t);
    }
}

}  // namespace gullstall::mesh
