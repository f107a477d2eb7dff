#include <algorithm>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// A run that is still queued this long before its deadline is refused. The refusal then
/// reaches the entry node before that answers its caller that the outcome is unknown.
constexpr duration queue_expiry_margin = 2 * tick_interval;

/// Sends the reply to the node that sent the call, with the admission levels of
/// this service and of the services that the call reached.
void reply_to(step_context &t, const std::string &origin, wire::reply_message reply,
              const std::map<std::string, admission_level> &touched)
{
    const std::string &self = t.n.settings.node.instance;
    reply.leaving = t.n.stopping || t.n.worker_draining || t.n.contacts.worker_silent;
    reply.running = t.n.slots_used;
    reply.wait_us = static_cast<std::uint32_t>(expected_wait(t.n).count());
    reply.touched.push_back(t.n.settings.node.service);
    reply.levels.push_back(t.n.level.level.highest);
    for (const auto &[service, level] : touched) {
        reply.touched.push_back(service);
        reply.levels.push_back(level.highest);
    }
    if (origin == self) {
        on_reply(t, self, reply);
        return;
    }
    send_to(t, origin, make_frame(std::move(reply)));
}

void refuse(step_context &t, const std::string &origin, const wire::call_message &call,
            wire::refusal why)
{
    wire::reply_message reply;
    reply.correlation = call.correlation;
    // A suspect may have run on the workers that crashed.
    reply.outcome = why == wire::refusal::suspect ? wire::outcome::unknown : wire::outcome::not_run;
    reply.refusal = why;
    reply.refused_by = t.n.settings.node.service;
    reply.unspent = call.allowance;
    reply_to(t, origin, std::move(reply), {});
}

/// Removes the run from all tables.
active_run erase_run(step_context &t, run_ref id)
{
    auto found = t.n.runs.find(id);
    active_run run = std::move(found->second);
    t.n.runs.erase(found);
    t.n.runs_by_origin.erase({run.origin, run.call.correlation});
    std::erase(t.n.exclusive_waiting, id);
    if (t.n.exclusive_run == id) {
        t.n.exclusive_run.reset();
    }
    erase_expiry(t.n.run_expiry, run.expires, id);
    return run;
}

void start_run(step_context &t, run_ref id)
{
    active_run &run = t.n.runs.at(id);
    run.started_at = t.now;
    erase_expiry(t.n.run_expiry, run.expires, id);
    run.expires = run.deadline;
    t.n.run_expiry.emplace(run.expires, id);
    ++t.n.slots_used;
    ++t.n.counters.runs_started;
    record_wait(t.n.level, t.now - run.queued_at);
    note_latency(t.n.latencies.queue_wait, t.now - run.queued_at);
    note_event(t.n.events, t.now, event_kind::run_started, run.call.request_id,
               t.n.settings.node.instance, run.call.operation);
    t.out.emplace_back(run_on_worker{id, run.call.request_id, run.call.key, format_context(t.n, id),
                                     run.call.operation, run.deadline - t.now,
                                     std::move(run.call.body)});
}

void refuse_queued(step_context &t, run_ref id, wire::refusal why)
{
    active_run run = erase_run(t, id);
    refuse(t, run.origin, run.call, why);
}

/// \returns whether a slot is free and no run has or awaits the worker exclusively
bool can_start_run(const node &n)
{
    return n.slots_used < n.slots && !n.exclusive_run && n.exclusive_waiting.empty();
}

/// \returns whether all started runs belong to the request \a suspect_id. A
/// nested call that returns to a worker of its own request must not wait for
/// the run that waits for it, which would be a deadlock.
bool runs_only_request(const node &n, const std::string &suspect_id)
{
    return std::all_of(n.runs.begin(), n.runs.end(), [&](const auto &entry) {
        return !entry.second.started_at || entry.second.call.suspect_id == suspect_id;
    });
}

/// Starts runs of suspect requests, one request at a time: if it crashes the
/// worker, no other request is in flight and becomes a suspect too.
void start_suspect_runs(step_context &t)
{
    std::deque<run_ref> waiting = t.n.exclusive_waiting;
    for (run_ref id : waiting) {
        const std::string &suspect_id = t.n.runs.at(id).call.suspect_id;
        if (t.n.slots_used < t.n.slots && runs_only_request(t.n, suspect_id)) {
            std::erase(t.n.exclusive_waiting, id);
            t.n.exclusive_run = t.n.exclusive_run.value_or(id);
            start_run(t, id);
        }
    }
}

/// Maximum queue wait of a call that is not protected. While protected calls use
/// all slots it would otherwise hold slots of the services above until its deadline.
constexpr duration max_unprotected_wait = milliseconds(200);

void start_queued(step_context &t)
{
    start_suspect_runs(t);
    while (can_start_run(t.n)) {
        std::optional<run_ref> next = dequeue(t.n.queue);
        if (!next) {
            return;
        }
        start_run(t, *next);
    }
}

/// Cancels the calls that the run has issued.
void cancel_child_calls(step_context &t, const active_run &run)
{
    std::set<call_ref> children = run.child_calls;
    for (call_ref child : children) {
        cancel_call(t, child);
    }
}

/// Cancels a run and removes it.
active_run cancel_run(step_context &t, run_ref id)
{
    cancel_child_calls(t, t.n.runs.at(id));
    active_run run = erase_run(t, id);
    if (run.started_at) {
        --t.n.slots_used;
        t.out.emplace_back(cancel_on_worker{id});
        note_event(t.n.events, t.now, event_kind::run_cancelled, run.call.request_id,
                   t.n.settings.node.instance, "");
    } else {
        remove_run(t.n.queue, id);
    }
    return run;
}

/// \param open_calls number of unanswered calls issued by the run
void log_expired(step_context &t, const active_run &run, std::size_t open_calls)
{
    log(t, write_log::severity::warning, "serve",
        "run-expired request=" + run.call.request_id + " origin=" + run.origin +
            " operation=" + run.call.operation + " started=" + (run.started_at ? "yes" : "no") +
            " open_calls=" + std::to_string(open_calls) +
            " waited_ms=" + std::to_string(to_ms(t.now - run.queued_at)));
}

wire::reply_message make_reply(const active_run &run, worker_answered &e,
                               const std::string &service)
{
    wire::reply_message out;
    out.correlation = run.call.correlation;
    out.unspent = run.retries.left;
    switch (e.end) {
        case worker_end::answered:
            out.outcome = wire::outcome::ran;
            out.status = e.status;
            out.content_type = std::move(e.content_type);
            out.body = std::move(e.body);
            return out;
        case worker_end::refused:
            out.outcome = wire::outcome::not_run;
            out.refusal = wire::refusal::busy;
            break;
        case worker_end::not_sent:
            out.outcome = wire::outcome::not_run;
            out.refusal = wire::refusal::connection_lost;
            break;
        case worker_end::lost:
            out.outcome = wire::outcome::unknown;
            out.refusal = wire::refusal::connection_lost;
            break;
    }
    out.refused_by = service;
    return out;
}

}  // namespace

std::string format_context(const node &n, run_ref run)
{
    return n.settings.node.instance + ":" + std::to_string(n.incarnation) + ":" +
           std::to_string(static_cast<std::uint64_t>(run));
}

std::optional<run_ref> parse_context(const node &n, const std::string &context)
{
    std::size_t last = context.rfind(':');
    if (last == std::string::npos) {
        return std::nullopt;
    }
    run_ref run{std::strtoull(context.c_str() + last + 1, nullptr, 10)};
    if (n.runs.count(run) == 0 || format_context(n, run) != context) {
        return std::nullopt;
    }
    return run;
}

void on_call(step_context &t, const std::string &from, wire::call_message &call)
{
    if (call.to_issuer) {
        on_call_to_issuer(t, from, call);
        return;
    }
    if (is_refused_suspect(t, call)) {
        refuse(t, from, call, wire::refusal::suspect);
        return;
    }
    if (std::optional<wire::refusal> why = find_refusal_reason(t, call)) {
        refuse(t, from, call, *why);
        return;
    }
    run_ref id{next_id(t.n)};
    active_run run;
    run.id = id;
    run.origin = from;
    run.deadline = t.now + microseconds(call.left_us);
    run.expires = run.deadline - queue_expiry_margin;
    run.queued_at = t.now;
    run.retries.left = call.allowance;
    run.call = std::move(call);
    waiting_run waiting = make_waiting_run(t.n, run);
    t.n.runs_by_origin[{from, run.call.correlation}] = id;
    t.n.run_expiry.emplace(run.expires, id);
    t.n.runs.emplace(id, std::move(run));
    if (requires_exclusive_worker(t.n, t.n.runs.at(id).call)) {
        t.n.exclusive_waiting.push_back(id);
        start_queued(t);
        return;
    }
    if (can_start_run(t.n)) {
        start_run(t, id);
        return;
    }
    if (std::optional<run_ref> displaced = enqueue(t.n.queue, waiting)) {
        refuse_queued(t, *displaced, wire::refusal::overload);
    }
}

void refuse_long_waiting(step_context &t)
{
    while (std::optional<run_ref> oldest = first_unprotected(t.n.queue)) {
        if (t.now - t.n.runs.at(*oldest).queued_at <= max_unprotected_wait) {
            return;
        }
        remove_run(t.n.queue, *oldest);
        refuse_queued(t, *oldest, wire::refusal::overload);
    }
}

void on_cancel(step_context &t, const std::string &from, std::uint64_t correlation)
{
    auto found = t.n.runs_by_origin.find({from, correlation});
    if (found == t.n.runs_by_origin.end() || !t.n.rules.propagate_cancellation) {
        return;
    }
    cancel_run(t, found->second);
    start_queued(t);
}

/// Cancels the runs requested by \a origin. It no longer waits for the replies,
/// and their slots are needed for requests that can be answered. Non-idempotent
/// runs that have started continue, so that their outcome is known.
void on_origin_lost(step_context &t, const std::string &origin)
{
    std::vector<run_ref> lost;
    for (auto it = t.n.runs_by_origin.lower_bound({origin, 0});
         it != t.n.runs_by_origin.end() && it->first.first == origin; ++it) {
        const active_run &run = t.n.runs.at(it->second);
        if (!run.started_at || !run.call.non_idempotent) {
            lost.push_back(it->second);
        }
    }
    for (run_ref id : lost) {
        cancel_run(t, id);
    }
    start_queued(t);
}

void on_worker_answered(step_context &t, worker_answered &e)
{
    if (t.n.runs.count(e.run) == 0) {
        return;  // already cancelled
    }
    cancel_child_calls(t, t.n.runs.at(e.run));
    active_run run = erase_run(t, e.run);
    --t.n.slots_used;
    if (e.end == worker_end::answered) {
        record_run_time(t.n.times, run.call.operation, t.now - run.started_at.value_or(t.now));
    }
    on_worker_end(t, e.end);
    record_completion(t.n.level, t.now - run.started_at.value_or(t.now));
    t.n.counters.runs_lost += e.end == worker_end::lost ? 1 : 0;
    if (e.end == worker_end::lost) {
        on_run_lost(t, run);
    } else if (e.end == worker_end::answered) {
        on_run_answered(t, run);
    }
    note_latency(t.n.latencies.run, t.now - *run.started_at);
    note_event(t.n.events, t.now, event_kind::run_finished, run.call.request_id,
               t.n.settings.node.instance, std::to_string(e.status));
    reply_to(t, run.origin, make_reply(run, e, t.n.settings.node.service), run.reached_levels);
    start_queued(t);
}

void expire_runs(step_context &t)
{
    while (t.n.rules.propagate_cancellation && !t.n.run_expiry.empty() &&
           t.n.run_expiry.begin()->first <= t.now) {
        run_ref id = t.n.run_expiry.begin()->second;
        std::size_t open_calls = t.n.runs.at(id).child_calls.size();
        active_run run = cancel_run(t, id);
        log_expired(t, run, open_calls);
        wire::reply_message reply;
        reply.correlation = run.call.correlation;
        reply.outcome = run.started_at ? wire::outcome::unknown : wire::outcome::not_run;
        reply.refusal = wire::refusal::deadline;
        reply.refused_by = t.n.settings.node.service;
        reply.unspent = run.retries.left;
        reply_to(t, run.origin, std::move(reply), run.reached_levels);
    }
    start_queued(t);
}

}  // namespace gullstall::internal
