#include <algorithm>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// Sets the fields that a nested call inherits from its run, or that the bundle
/// defines for a new request.
void set_request_context(step_context &t, pending_call &call, const call_request &asked)
{
    wire::call_message &request = call.request;
    // A nested call uses the bundle version of its request, even if a newer one
    // is in force by now.
    std::uint64_t version =
        call.parent ? t.n.runs.at(*call.parent).call.bundle_version : version_in_force(t.n.bundles);
    const bundle &policy = content_of(t.n.bundles, version);
    call_policy rule = policy_for(policy, request.service, request.operation);
    request.non_idempotent = rule.non_idempotent;
    duration time = asked.time_left.value_or(milliseconds(rule.time_ms));
    call.deadline = t.now + std::min<duration>(time, milliseconds(rule.time_ms));
    if (call.parent) {
        active_run &run = t.n.runs.at(*call.parent);
        request.request_id = run.call.request_id;
        request.suspect_id = run.call.suspect_id;
        request.call_type = run.call.call_type;
        request.class_priority = run.call.class_priority;
        request.protect = run.call.protect;
        request.rank = run.call.rank;
        request.bundle_version = run.call.bundle_version;
        request.depth = static_cast<std::uint8_t>(run.call.depth + 1);
        call.deadline = std::min(call.deadline, run.deadline);
        call.retries.left =
            t.n.guards.divide_allowance ? take_share(run.retries) : run.retries.left;
        run.child_calls.insert(call.id);
        return;
    }
    request.request_id = asked.request_id;
    request.suspect_id = suspect_id_of(asked);
    if (request.request_id.empty()) {
        request.request_id = t.n.settings.node.instance + "-" + std::to_string(t.n.incarnation) +
                             "-" + std::to_string(next_id(t.n));
    }
    request.call_type = request.service + "/" + request.operation;
    request.class_priority = rule.class_priority;
    request.protect = rule.protect;
    request.rank = rank_of(request.request_id);
    request.bundle_version = version;
    bool lost_context = !asked.context.empty();
    t.n.counters.unknown_contexts += lost_context ? 1 : 0;
    call.retries.left = lost_context ? 0 : policy.limits.retry_allowance;
}

void refuse_on_arrival(step_context &t, call_ref id, wire::refusal why, const call_request &asked)
{
    ++t.n.counters.refusals[std::string(wire::EnumNamerefusal(why)) + "/-"];
    bool knows = knows_not_run(t.n.idempotency, asked.key, asked.attempt);
    note_event(t.n.events, t.now, event_kind::call_refused, asked.request_id,
               t.n.settings.node.service, describe_arrival_refusal(t.n, asked, why));
    t.out.emplace_back(
        answer_call{id, caller_answer{knows ? wire::outcome::not_run : wire::outcome::unknown,
                                      why,
                                      "",
                                      asked.request_id,
                                      0,
                                      draw_retry_after_ms(t.n.random, 0),
                                      version_in_force(t.n.bundles),
                                      "",
                                      {}}});
}

/// Lets a repeat wait for the call in flight with the same request id instead of
/// running it again with a retry allowance of its own.
/// \returns whether the call was handled as a repeat
bool join_call_in_flight(step_context &t, const call_arrived &e)
{
    auto entered = t.n.calls_by_request_id.find(e.request.request_id);
    if (!t.n.guards.join_repeats || entered == t.n.calls_by_request_id.end()) {
        return false;
    }
    pending_call &call = t.n.calls.at(entered->second);
    bool same = call.request.service == e.request.service &&
                call.request.operation == e.request.operation &&
                call.request.key == e.request.key && call.request.body == e.request.body;
    if (!same) {
        refuse_on_arrival(t, e.call, wire::refusal::key_mismatch, e.request);
        return true;
    }
    ++t.n.counters.repeats_joined;
    call.waiters.push_back(e.call);
    t.n.joined_repeats[e.call] = call.id;
    return true;
}

}  // namespace

void on_call_arrived(step_context &t, call_arrived &e)
{
    ++t.n.counters.calls_taken;
    std::optional<run_ref> parent = parse_context(t.n, e.request.context);
    if (!t.n.bundles.in_force || is_stale(t.n.gossip, t.now)) {
        refuse_on_arrival(t, e.call, wire::refusal::starting, e.request);
        return;
    }
    if (!parent && !accepts_callers(t.n, t.now)) {
        refuse_on_arrival(t, e.call, wire::refusal::leaving, e.request);
        return;
    }
    if (!parent && join_call_in_flight(t, e)) {
        return;
    }
    pending_call call;
    call.id = e.call;
    call.waiters.push_back(e.call);
    call.parent = parent;
    call.taken_at = t.now;
    call.request.service = e.request.service;
    call.request.operation = e.request.operation;
    call.request.key = e.request.key;
    call.request.attempt = e.request.attempt;
    call.request.body = std::move(e.request.body);
    set_request_context(t, call, e.request);
    accept_call(t, std::move(call));
}

void accept_call(step_context &t, pending_call &&taken)
{
    call_ref id = taken.id;
    auto [found, fresh] = t.n.calls.emplace(id, std::move(taken));
    const pending_call &call = found->second;
    note_event(t.n.events, t.now, event_kind::call_taken, call.request.request_id,
               call.request.service, call.request.operation);
    add_retry_tokens(t.n.budgets[call.request.service],
                     t.n.bundles.in_force->content.limits.retry_budget_percent);
    t.n.call_deadlines.emplace(call.deadline, id);
    if (!call.parent && !call.request.non_idempotent) {
        // Repeats of non-idempotent calls are matched by their key instead.
        t.n.calls_by_request_id.try_emplace(call.request.request_id, id);
    }
    if (!call.parent) {
        if (auto by = find_refusing_service(t, call.request)) {
            refuse_call(t, id, wire::refusal::overload, *by);
            return;
        }
    }
    if (call.request.non_idempotent) {
        accept_once_call(t, id);
        return;
    }
    start_call(t, id);
}

namespace {

/// Cancels the run of an attempt, on the local worker or at its upstream's node.
void cancel_attempt(step_context &t, const attempt &last)
{
    if (last.instance == t.n.settings.node.instance) {
        on_cancel(t, last.instance, last.correlation);
        return;
    }
    wire::cancel_message message;
    message.correlation = last.correlation;
    send_to(t, last.instance, make_frame(message));
}

}  // namespace

void cancel_call(step_context &t, call_ref id)
{
    auto found = t.n.calls.find(id);
    if (found == t.n.calls.end()) {
        return;
    }
    pending_call &call = found->second;
    if (continues_without_caller(call)) {
        return;
    }
    if (call.current) {
        attempt last = *call.current;
        cancel_attempt(t, last);
        record_abandoned(t.n.routes, last.instance);
    }
    erase_call(t, call);
}

void on_call_abandoned(step_context &t, call_ref id)
{
    auto repeat = t.n.joined_repeats.find(id);
    auto found = t.n.calls.find(repeat == t.n.joined_repeats.end() ? id : repeat->second);
    if (found == t.n.calls.end()) {
        return;
    }
    std::vector<call_ref> &waiters = found->second.waiters;
    waiters.erase(std::remove(waiters.begin(), waiters.end(), id), waiters.end());
    t.n.joined_repeats.erase(id);
    if (waiters.empty()) {
        cancel_call(t, found->first);
    }
}

void expire_calls(step_context &t)
{
    while (!t.n.call_deadlines.empty() && t.n.call_deadlines.begin()->first <= t.now) {
        call_ref id = t.n.call_deadlines.begin()->second;
        pending_call &call = t.n.calls.at(id);
        wire::reply_message reply =
            make_refusal_reply(wire::refusal::deadline, call.request.service);
        if (call.current) {
            reply.outcome = wire::outcome::unknown;
            attempt last = *call.current;
            record_answer(t.n.routes, last.instance, t.now - last.sent_at);
            t.n.calls_by_attempt.erase(last.correlation);
            call.current.reset();
            cancel_attempt(t, last);
        }
        finish_call(t, id, reply);
    }
}

}  // namespace gullstall::internal
