#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

wire::reply_message make_refusal_reply(wire::refusal why, const std::string &by)
{
    wire::reply_message out;
    out.outcome = wire::outcome::not_run;
    out.refusal = why;
    out.refused_by = by;
    return out;
}

void erase_call(step_context &t, pending_call &call)
{
    if (call.current) {
        t.n.calls_by_attempt.erase(call.current->correlation);
    }
    erase_expiry(t.n.call_deadlines, call.deadline, call.id);
    if (call.parent) {
        auto run = t.n.runs.find(*call.parent);
        if (run != t.n.runs.end()) {
            run->second.child_calls.erase(call.id);
            run->second.retries.left += call.retries.left;
        }
    } else {
        auto entered = t.n.calls_by_request_id.find(call.request.request_id);
        if (entered != t.n.calls_by_request_id.end() && entered->second == call.id) {
            t.n.calls_by_request_id.erase(entered);
        }
    }
    for (call_ref waiter : call.waiters) {
        t.n.joined_repeats.erase(waiter);
    }
    t.n.calls.erase(call.id);
}

namespace {

void count_refusal(step_context &t, const wire::call_message &request, wire::refusal why)
{
    std::string name = wire::EnumNamerefusal(why);
    ++t.n.counters.refusals[name + "/" + std::to_string(request.class_priority)];
}

/// Logs a call that is answered with an unknown outcome.
void log_unknown_outcome(step_context &t, const pending_call &call, const std::string &refused_by,
                         const std::string &description)
{
    log(t, write_log::severity::warning, "call",
        "call-failed request=" + call.request.request_id + " " + description + " refused_by=" +
            refused_by + " last_upstream=" + (call.tried.empty() ? "" : call.tried.back()) +
            " after_ms=" + std::to_string(to_ms(t.now - call.taken_at)));
}

/// Sends the final answer to all callers, or to the node that forwarded the call
/// to the issuer of its key.
void deliver_answer(step_context &t, pending_call &call, wire::reply_message &reply)
{
    if (call.origin) {
        wire::reply_message out = std::move(reply);
        out.correlation = call.origin->second;
        out.unspent = call.retries.left;
        send_to(t, call.origin->first, make_frame(std::move(out)));
        return;
    }
    caller_answer answer{reply.outcome,
                         reply.refusal,
                         reply.refused_by,
                         call.request.request_id,
                         reply.status,
                         reply.retry_after_ms,
                         call.request.bundle_version,
                         std::move(reply.content_type),
                         std::move(reply.body)};
    for (call_ref waiter : call.waiters) {
        ++t.n.counters.calls_answered;
        t.out.emplace_back(answer_call{waiter, answer});
    }
}

}  // namespace

/// Answers the callers and removes the call. Every answered call ends here.
void finish_call(step_context &t, call_ref id, wire::reply_message &reply)
{
    pending_call &call = t.n.calls.at(id);
    bool ran = reply.outcome == wire::outcome::ran;
    if (!ran && call.may_have_run) {
        // An earlier attempt may have run, so not_run can't be guaranteed.
        reply.outcome = wire::outcome::unknown;
    }
    end_once_call(t, call, reply);
    if (!ran) {
        count_refusal(t, call.request, reply.refusal);
        std::string description = describe_refusal(t.n, call, reply);
        if (reply.outcome == wire::outcome::unknown) {
            log_unknown_outcome(t, call, reply.refused_by, description);
        }
        note_event(t.n.events, t.now, event_kind::call_refused, call.request.request_id,
                   reply.refused_by, description);
        if (reply.retry_after_ms == 0) {
            double beyond = classes_beyond(t.n.touched_services, reply.refused_by,
                                           priority_of(call.request), t.now);
            reply.retry_after_ms = draw_retry_after_ms(t.n.random, beyond);
        }
    } else {
        note_event(t.n.events, t.now, event_kind::call_answered, call.request.request_id,
                   call.request.service, std::to_string(reply.status));
    }
    note_latency(t.n.latencies.call, t.now - call.taken_at);
    deliver_answer(t, call, reply);
    erase_call(t, call);
}

void refuse_call(step_context &t, call_ref id, wire::refusal why, const std::string &by)
{
    wire::reply_message reply = make_refusal_reply(why, by);
    finish_call(t, id, reply);
}

}  // namespace gullstall::internal
