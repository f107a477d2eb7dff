#include <algorithm>
#include <utility>

#include "gullstall/src/mesh/crash_guard.hpp"
#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/retry_grant.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

using mesh_wire::outcome;
using mesh_wire::reason;

namespace {

/// Grace period after the deadline in which the upstream may report the timeout itself. It
/// knows whether the request ran; the node does not.
constexpr duration answer_grace = milliseconds(100);

/// Back-off after the upstream refused a connection.
constexpr duration connect_backoff = milliseconds(300);

void send_reply(mesh_turn &t, link_ref link, mesh_wire::reply_message &&reply)
{
    if (link == local_link) {
        handle_reply(t, t.n.settings.node.name, reply);
        return;
    }
    reply.load = std::make_unique<mesh_wire::node_load_message>(own_load(t.n, t.now));
    t.out.emplace_back(send_to_link{link, mesh_frame(std::move(reply))});
}

void add_limit_fields(const mesh_turn &t, write_line &line)
{
    const std::optional<named_limit> &limit = t.n.upstream.limit;
    if (!limit) {
        return;
    }
    std::size_t in_window = counts_in_window(t.n.upstream.requests, t.now).all;
    line.fields.push_back({"limit_per_s", std::to_string(limit->per_s)});
    line.fields.push_back({"limit_age_ms", std::to_string(to_ms(t.now - limit->first_named_at))});
    line.fields.push_back({"limit_named_by", limit->source});
    line.fields.push_back({"in_window", std::to_string(in_window)});
}

void refuse(mesh_turn &t, link_ref link, const mesh_wire::call_message &call, reason why)
{
    write_line line{write_line::severity::info,
                    "serve",
                    "call-refused",
                    {{"request", call.request_id},
                     {"route", call.route},
                     {"reason", mesh_wire::EnumNamereason(why)},
                     {"priority", std::to_string(call.priority)},
                     {"left_ms", std::to_string(call.left_us / 1000)},
                     {"running", std::to_string(t.n.gate.running)},
                     {"waiting", std::to_string(t.n.gate.waiting.size())},
                     {"slots", std::to_string(t.n.gate.slots)}}};
    if (why == reason::upstream_limit) {
        ++t.n.counters.refused_by_limit;
        add_limit_fields(t, line);
    }
    t.out.emplace_back(std::move(line));
    mesh_wire::reply_message reply;
    reply.correlation = call.correlation;
    reply.outcome = outcome::not_started;
    reply.reason = why;
    send_reply(t, link, std::move(reply));
}

/// Removes the run from all tables without releasing its slot.
local_run forget_run(mesh_turn &t, run_ref id, bool ended_well = false)
{
    auto found = t.n.runs.find(id);
    local_run run = std::move(found->second);
    t.n.runs.erase(found);
    t.n.runs_by_correlation.erase({run.link, run.call.correlation});
    erase_expiry(t.n.run_expiry, run.expires, run.id);
    if (run.started_at) {
        record_run_end(t.n.chain, id, run.call.request_id, ended_well);
    }
    return run;
}

void dispatch_run(mesh_turn &t, run_ref id)
{
    local_run &run = t.n.runs.at(id);
    run.started_at = t.now;
    erase_expiry(t.n.run_expiry, run.expires, run.id);
    run.expires = run.deadline + answer_grace;
    t.n.run_expiry.emplace(run.expires, id);
    count_for_retries(t, run.call);
    record_request(t.n.upstream.requests, {t.now, run.call.repeat, run.call.inner});
    record_run_start(t.n.chain, id, run.call.request_id, run.call.route);
    ++t.n.counters.runs_started;
    note_latency(t.n.latencies.queue_wait, t.now - run.arrived_at);
    t.out.emplace_back(
        start_run{id, std::move(run.call), t.n.upstream.latest->upstream, run.deadline - t.now});
    // The fields needed for the reply, the log and the call chain are kept.
    const mesh_wire::call_message &moved = std::get<start_run>(t.out.back()).call;
    run.call.correlation = moved.correlation;
    run.call.request_id = moved.request_id;
    run.call.idempotent = moved.idempotent;
    run.call.priority = moved.priority;
    run.call.repeat = moved.repeat;
    run.call.route = moved.route;
    run.call.root = moved.root;
    run.call.share_milli = moved.share_milli;
}

/// \returns the reason to refuse the call regardless of load, if any
std::optional<reason> refusal_reason(const mesh_turn &t, const mesh_wire::call_message &call)
{
    if (t.n.gate_closed) {
        return reason::stopping;
    }
    if (!t.n.upstream.latest) {
        return t.n.upstream.departed.empty() ? reason::no_upstream : reason::leaving;
    }
    if (t.n.upstream.latest->service != call.service) {
        return reason::other_service;
    }
    if (t.n.upstream.has_crashed || awaits_suspects(t.n, t.now) || awaits_stored_end(t.n, t.now)) {
        return reason::no_upstream;
    }
    if (!accepts_work(t.n.upstream)) {
        return reason::leaving;
    }
    if (t.now < t.n.upstream_backoff_until) {
        return reason::unreachable;
    }
    return std::nullopt;
}

slot_request slot_request_of(const mesh_turn &t, const local_run &run)
{
    bool is_late = run.due <= t.now;
    slot_request out{run.id, run.call.priority, run.call.inner, run.deadline - t.now, run.due,
                     is_late};
    if (!t.n.features.gate_order) {
        out.priority = 0;
        out.late = false;
        out.due = time_point{};
    }
    out.limited_by_queue_length = !out.inner || !t.n.features.patient_calls;
    out.waits_for_rate = run.call.waits_for_limit;
    out.waited = t.now - run.arrived_at;
    return out;
}

reason reason_of(gate_verdict refusal)
{
    return refusal == gate_verdict::rate_limited ? reason::upstream_limit : reason::queue_full;
}

/// Removes a run that has not started and refuses its call.
void refuse_run(mesh_turn &t, run_ref id, reason why)
{
    local_run run = forget_run(t, id);
    refuse(t, run.link, run.call, why);
}

/// A run that outlasts its node is broken off, and its caller can't tell whether it was completed.
bool outlasts_node(const mesh_turn &t, const local_run &run)
{
    return !ends_before_stop(t.n, t.n.costs, run.call.route, t.now, run.deadline);
}

/// Starts a run that has a slot, unless its node ends before or its request may crash the upstream.
void start_or_hold(mesh_turn &t, run_ref id)
{
    if (outlasts_node(t, t.n.runs.at(id))) {
        return_slot(t.n.gate);
        refuse_run(t, id, reason::stopping);
        return;
    }
    suspect_verdict verdict = judge_run(t.n, t.n.runs.at(id), t.now);
    if (verdict == suspect_verdict::start) {
        dispatch_run(t, id);
        return;
    }
    return_slot(t.n.gate);
    if (verdict == suspect_verdict::refuse) {
        refuse_run(t, id, reason::crashes_upstreams);
        return;
    }
    t.n.held_runs.push_back(id);
}

/// Starts held runs that need not wait any more and refuses those of quarantined requests.
void resume_held_runs(mesh_turn &t)
{
    std::vector<run_ref> held = std::exchange(t.n.held_runs, {});
    for (run_ref id : held) {
        auto found = t.n.runs.find(id);
        if (found == t.n.runs.end()) {
            continue;
        }
        suspect_verdict verdict = judge_run(t.n, found->second, t.now);
        if (verdict == suspect_verdict::hold) {
            t.n.held_runs.push_back(id);
            continue;
        }
        if (verdict == suspect_verdict::refuse) {
            refuse_run(t, id, reason::crashes_upstreams);
            continue;
        }
        if (outlasts_node(t, found->second)) {
            refuse_run(t, id, reason::stopping);
            continue;
        }
        gate_verdict slot = request_slot(t.n.gate, slot_request_of(t, found->second));
        if (slot == gate_verdict::granted) {
            dispatch_run(t, id);
        } else if (slot != gate_verdict::queued) {
            refuse_run(t, id, reason_of(slot));
        }
    }
}

/// \returns the time left, less the transit time of the frame. A network cut can delay a
/// frame by seconds. The caller has timed out by then, and the upstream would run the
/// request with time that has already passed.
duration time_left(mesh_turn &t, link_ref link, const mesh_wire::call_message &call)
{
    auto left = duration(static_cast<std::int64_t>(call.left_us));
    auto known = t.n.links.find(link);
    if (known == t.n.links.end() || !known->second.known || !t.n.features.age_of_frames) {
        return left;
    }
    std::int64_t offset =
        static_cast<std::int64_t>(frame_time_us(t.now)) - static_cast<std::int64_t>(call.sent_us);
    known->second.min_offset_us = std::min(known->second.min_offset_us, offset);
    return left - duration(offset - known->second.min_offset_us);
}

/// Cancels a run whose reply is no longer awaited. A non-idempotent run that has started
/// continues, so that it completes.
void cancel_unawaited(mesh_turn &t, run_ref id)
{
    local_run &run = t.n.runs.at(id);
    if (!run.started_at) {
        remove_from_queue(t.n.gate, id);
        forget_run(t, id);
        return;
    }
    if (!run.call.idempotent) {
        run.abandoned = true;
        return;
    }
    t.out.emplace_back(cancel_run{id});
    forget_run(t, id);
    release_slot(t.n.gate, std::nullopt);
}

mesh_wire::reply_message make_reply(const local_run &run, run_result &result)
{
    mesh_wire::reply_message out;
    out.correlation = run.call.correlation;
    out.handed_over = result.end != run_end::not_sent;
    switch (result.end) {
        case run_end::answered:
            out.outcome = outcome::answered;
            out.status = result.status;
            out.status_text = std::move(result.status_text);
            out.header_lines = std::move(result.header_lines);
            out.body = std::move(result.body);
            break;
        case run_end::not_executed:
            out.outcome = outcome::not_started;
            out.reason = reason::shed;
            break;
        case run_end::not_sent:
            out.outcome = outcome::not_started;
            out.reason = reason::unreachable;
            break;
        case run_end::lost:
            out.outcome = outcome::unknown;
            out.reason = reason::connection_lost;
            break;
        case run_end::bad_answer:
            out.outcome = outcome::unknown;
            out.reason = reason::bad_answer;
            break;
    }
    return out;
}

}  // namespace

void dispatch_queued(mesh_turn &t)
{
    refill_tokens(t.n.gate.rate, t.now);
    resume_held_runs(t);
    while (std::optional<run_ref> next = dequeue_run(t.n.gate)) {
        if (t.n.runs.at(*next).deadline - t.now >= min_time_left) {
            start_or_hold(t, *next);
            continue;
        }
        return_slot(t.n.gate);
        refuse_run(t, *next, reason::too_late);
    }
}

void refuse_beyond_limit(mesh_turn &t)
{
    if (!t.n.gate.rate.per_s || t.n.gate.waiting.empty()) {
        return;
    }
    refill_tokens(t.n.gate.rate, t.now);
    std::vector<run_ref> refused;
    std::size_t ahead = 0;
    for (const auto &[position, id] : t.n.gate.waiting) {
        slot_request request = slot_request_of(t, t.n.runs.at(id));
        if (refusal_in_queue(t.n.gate, request, ahead) == gate_verdict::rate_limited) {
            refused.push_back(id);
        } else {
            ++ahead;
        }
    }
    for (run_ref id : refused) {
        remove_from_queue(t.n.gate, id);
        refuse_run(t, id, reason::upstream_limit);
    }
}

void refuse_queued(mesh_turn &t, reason why)
{
    std::vector<run_ref> waiting;
    for (const auto &[rank, run] : t.n.gate.waiting) {
        waiting.push_back(run);
    }
    t.n.gate.waiting.clear();
    for (run_ref id : std::exchange(t.n.held_runs, {})) {
        if (t.n.runs.count(id) > 0) {
            waiting.push_back(id);
        }
    }
    for (run_ref id : waiting) {
        refuse_run(t, id, why);
    }
}

bool accepts_runs(const mesh_node &n, time_point now)
{
    return !n.gate_closed && accepts_work(n.upstream) && now >= n.upstream_backoff_until &&
           !awaits_suspects(n, now) && !awaits_stored_end(n, now);
}

void handle_call(mesh_turn &t, link_ref link, mesh_wire::call_message &&call)
{
    if (auto known = t.n.links.find(link); known != t.n.links.end()) {
        known->second.last_call_at = t.now;
    }
    duration left = time_left(t, link, call);
    if (std::optional<reason> why = refusal_reason(t, call)) {
        refuse(t, link, call, *why);
        return;
    }
    if (left < min_time_left) {
        ++t.n.counters.stale_frames;
        refuse(t, link, call, reason::too_late);
        return;
    }
    if (!ends_before_stop(t.n, t.n.costs, call.route, t.now, t.now + left)) {
        refuse(t, link, call, reason::stopping);
        return;
    }
    if (call.asks_grant && !grant_retry(t, call)) {
        refuse(t, link, call, reason::retry_limit);
        return;
    }
    run_ref id{++t.n.last_id};
    // The transit time is deducted here too.
    time_point due = t.now + duration(call.due_us) + (left - duration(call.left_us));
    local_run run;
    run.id = id;
    run.link = link;
    run.arrived_at = t.now;
    run.deadline = t.now + left;
    // The refusal of a run that is still queued then reaches the entry node in time.
    run.expires = run.deadline - min_time_left;
    run.due = due;
    run.call = std::move(call);
    run.signature = signature_of(content_of(run.call));
    refill_tokens(t.n.gate.rate, t.now);
    gate_verdict verdict = request_slot(t.n.gate, slot_request_of(t, run));
    // A call that does not wait for the limit is counted at the upstream where it goes next.
    if (verdict != gate_verdict::rate_limited || run.call.waits_for_limit) {
        record_arrival(t.n.demand, run.call.root, run.call.share_milli / share_scale,
                       load_of_run(t.n, run.call.route));
    }
    if (verdict != gate_verdict::granted && verdict != gate_verdict::queued) {
        if (run.call.asks_grant) {
            return_grant(t, run.call);
        }
        refuse(t, link, run.call, reason_of(verdict));
        return;
    }
    t.n.runs_by_correlation[{link, run.call.correlation}] = id;
    t.n.run_expiry.emplace(run.expires, id);
    t.n.runs.emplace(id, std::move(run));
    if (verdict == gate_verdict::granted) {
        start_or_hold(t, id);
    }
}

void handle_cancel(mesh_turn &t, link_ref link, std::uint64_t correlation)
{
    auto found = t.n.runs_by_correlation.find({link, correlation});
    if (found == t.n.runs_by_correlation.end()) {
        return;
    }
    cancel_unawaited(t, found->second);
    dispatch_queued(t);
}

void handle_run_result(mesh_turn &t, run_ref id, run_result &&result)
{
    auto found = t.n.runs.find(id);
    if (found == t.n.runs.end()) {
        return;  // already cancelled
    }
    duration held = t.now - found->second.started_at.value_or(t.now);
    bool answered = result.end == run_end::answered;
    constexpr std::uint16_t first_error = 400;
    constexpr std::uint16_t timeout_status = 504;
    local_run run =
        forget_run(t, id, !t.n.features.whole_runs || (answered && result.status < first_error));
    bool is_own_error = answered && is_own_error_of_upstream(run, result.status);
    bool tells_speed = answered && !(is_own_error && t.n.features.upstream_errors);
    release_slot(t.n.gate, tells_speed ? std::optional(held) : std::nullopt);
    if (answered) {
        record_run_error(t.n.gate, is_own_error, t.now);
    }
    if (tells_speed) {
        record_held_time(t.n.costs, run.call.route, held);
    }
    note_latency(t.n.latencies.run, held);
    record_shed(t.n.gate, result.end == run_end::not_executed);
    if (result.end == run_end::not_sent) {
        t.n.upstream_backoff_until = t.now + connect_backoff;
    }
    if (!answered) {
        t.out.emplace_back(write_line{write_line::severity::info,
                                      "serve",
                                      "run-without-answer",
                                      {{"request", run.call.request_id},
                                       {"signature", print_signature(run.signature)},
                                       {"end", result.end == run_end::not_executed ? "not-executed"
                                               : result.end == run_end::not_sent   ? "not-sent"
                                               : result.end == run_end::lost ? "connection-lost"
                                                                             : "bad-answer"},
                                       {"upstream_status", std::to_string(result.status)},
                                       {"held_ms", std::to_string(to_ms(held))},
                                       {"running", std::to_string(t.n.gate.running)},
                                       {"slots", std::to_string(t.n.gate.slots)}}});
    }
    if (result.end == run_end::lost || result.end == run_end::bad_answer) {
        record_lost_run(t, run);
    } else if (answered && result.status != timeout_status) {
        record_completed_run(t, run.signature);
    }
    if (!run.abandoned) {
        send_reply(t, run.link, make_reply(run, result));
    }
    dispatch_queued(t);
}

void expire_runs(mesh_turn &t)
{
    while (!t.n.run_expiry.empty() && t.n.run_expiry.begin()->first <= t.now) {
        run_ref id = t.n.run_expiry.begin()->second;
        if (!t.n.runs.at(id).started_at) {
            remove_from_queue(t.n.gate, id);
            refuse_run(t, id, reason::too_late);
            continue;
        }
        t.out.emplace_back(cancel_run{id});
        local_run run = forget_run(t, id);
        release_slot(t.n.gate, std::nullopt);
        record_unfinished_run(t.n.costs, run.call.route, t.now - *run.started_at);
        mesh_wire::reply_message reply;
        reply.correlation = run.call.correlation;
        reply.outcome = outcome::unknown;
        reply.reason = reason::timed_out;
        reply.handed_over = true;
        if (!run.abandoned) {
            send_reply(t, run.link, std::move(reply));
        }
    }
    dispatch_queued(t);
}

void handle_link_closed(mesh_turn &t, link_ref link)
{
    t.n.links.erase(link);
    std::vector<run_ref> lost;
    for (auto it = t.n.runs_by_correlation.lower_bound({link, 0});
         it != t.n.runs_by_correlation.end() && it->first.first == link; ++it) {
        lost.push_back(it->second);
    }
    for (run_ref id : lost) {
        t.n.runs.at(id).abandoned = true;
        cancel_unawaited(t, id);
    }
    dispatch_queued(t);
}

void close_gate(mesh_turn &t)
{
    t.n.gate_closed = true;
    refuse_queued(t, reason::stopping);
    send_status_to_callers(t);
}

}  // namespace gullstall::mesh
