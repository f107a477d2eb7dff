#include <algorithm>
#include <utility>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

void send_attempt(step_context &t, pending_call &call, const std::string &upstream,
                  std::uint32_t share)
{
    const std::string &self = t.n.settings.node.instance;
    std::uint64_t correlation = next_id(t.n);
    call.current = attempt{correlation, upstream, share, t.now};
    t.n.calls_by_attempt[correlation] = call.id;
    record_sent(t.n.routes, upstream);
    wire::call_message message = call.request;
    message.correlation = correlation;
    message.allowance = share;
    message.left_us = static_cast<std::uint64_t>((call.deadline - t.now).count());
    note_event(t.n.events, t.now, event_kind::call_sent, call.request.request_id, upstream, "");
    if (upstream == self) {
        on_call(t, self, message);
        return;
    }
    send_to(t, upstream, make_frame(std::move(message)));
}

namespace {

/// Maximum wait for an upstream: long enough for a replaced upstream to return, or
/// for a started node to learn of other members.
constexpr duration max_upstream_wait = seconds(1);

/// A call waits for an upstream for its remaining time divided by this; the rest is
/// left for its run.
constexpr int upstream_wait_divisor = 2;

/// Lets a call issued by a run wait for an upstream of its service. If it were refused, the
/// run would end with an error, which is stored as the outcome of the run's key.
/// \returns whether it waits
bool wait_for_upstream(step_context &t, pending_call &call)
{
    if (!call.parent || !t.n.guards.wait_for_upstreams) {
        return false;
    }
    if (!call.upstream_wait_deadline) {
        duration part = (call.deadline - t.now) / upstream_wait_divisor;
        call.upstream_wait_deadline = t.now + std::min(max_upstream_wait, part);
        log(t, write_log::severity::info, "call",
            "call-waits request=" + call.request.request_id + " service=" + call.request.service +
                " members=" + std::to_string(t.n.members.members.size()));
    }
    if (t.now >= *call.upstream_wait_deadline) {
        return false;
    }
    t.n.calls_awaiting_upstream.push_back(call.id);
    return true;
}

}  // namespace

/// Sends the call to an upstream that has not been tried yet.
void start_call(step_context &t, call_ref id)
{
    pending_call &call = t.n.calls.at(id);
    if (is_refused_suspect(t, call.request)) {
        // It may have run on the workers that crashed.
        wire::reply_message reply =
            make_refusal_reply(wire::refusal::suspect, call.request.service);
        reply.outcome = wire::outcome::unknown;
        finish_call(t, id, reply);
        return;
    }
    const std::string &self = t.n.settings.node.instance;
    route_request wanted{call.request.service, self, t.n.settings.node.zone, call.tried,
                         call.request.non_idempotent};
    auto upstream = choose_upstream(t.n.routes, t.n.members, wanted, t.n.random, t.now);
    if (!upstream) {
        if (!wait_for_upstream(t, call)) {
            refuse_call(t, id, wire::refusal::no_upstream, call.request.service);
        }
        return;
    }
    std::uint32_t share =
        t.n.guards.divide_allowance ? take_share(call.retries) : call.retries.left;
    call.tried.push_back(*upstream);
    send_attempt(t, call, *upstream, share);
}

void start_waiting_calls(step_context &t)
{
    std::vector<call_ref> waiting = std::exchange(t.n.calls_awaiting_upstream, {});
    for (call_ref id : waiting) {
        auto found = t.n.calls.find(id);
        if (found == t.n.calls.end() || found->second.current) {
            continue;
        }
        // Upstreams that refused it may have been restarted.
        found->second.tried.clear();
        start_call(t, id);
    }
}

namespace {

bool is_retryable(const pending_call &call, const wire::reply_message &reply)
{
    if (call.request.to_issuer) {
        return false;  // only the issuer may run it, and the issuer retries
    }
    switch (reply.refusal) {
        case wire::refusal::leaving:
        case wire::refusal::busy:
        case wire::refusal::starting:
            return reply.outcome == wire::outcome::not_run;
        case wire::refusal::connection_lost:
            return reply.outcome == wire::outcome::not_run || !call.request.non_idempotent;
        default:
            return false;
    }
}

/// Retries the call if both the allowance of the request and the retry budget of
/// the service permit it.
bool try_resend(step_context &t, call_ref id)
{
    pending_call &call = t.n.calls.at(id);
    if (call.retries.left == 0 || t.now >= call.deadline ||
        !take_retry_token(t.n.budgets[call.request.service])) {
        return false;
    }
    take_retry(call.retries);
    ++t.n.counters.calls_resent;
    note_event(t.n.events, t.now, event_kind::call_resent, call.request.request_id,
               call.request.service, "");
    start_call(t, id);
    return true;
}

/// Ends the current attempt with \a reply: retries or finishes the call.
void end_attempt(step_context &t, call_ref id, wire::reply_message &reply)
{
    pending_call &call = t.n.calls.at(id);
    return_share(call.retries, call.current->share, reply.unspent);
    t.n.calls_by_attempt.erase(call.current->correlation);
    call.current.reset();
    // The issuer of the key reports not_run only if it is certain.
    call.outcome_known = call.request.to_issuer && reply.refusal != wire::refusal::connection_lost;
    call.may_have_run = call.may_have_run || reply.outcome == wire::outcome::unknown;
    if (is_retryable(call, reply) && try_resend(t, id)) {
        return;
    }
    finish_call(t, id, reply);
}

/// Updates the routing statistics of the upstream.
void note_reply(router &routes, const std::string &from, const wire::reply_message &reply,
                duration took, time_point now)
{
    if (reply.refusal == wire::refusal::connection_lost) {
        record_failure(routes, from, now);
    } else if (reply.outcome == wire::outcome::not_run) {
        record_refusal(routes, from, now);
    } else {
        // This includes expired calls: their duration marks an unresponsive
        // upstream as slow.
        record_answer(routes, from, took);
    }
}

}  // namespace

void on_reply(step_context &t, const std::string &from, wire::reply_message &reply)
{
    auto known = t.n.calls_by_attempt.find(reply.correlation);
    if (known == t.n.calls_by_attempt.end()) {
        return;  // late reply: the call has already been answered
    }
    call_ref id = known->second;
    pending_call &call = t.n.calls.at(id);
    if (call.current->instance != from) {
        return;  // the correlation belongs to an attempt at another node
    }
    if (reply.leaving) {
        record_draining(t.n.routes, from, t.now);
    }
    note_reply(t.n.routes, from, reply, t.now - call.current->sent_at, t.now);
    if (reply.refusal == wire::refusal::connection_lost &&
        reply.outcome == wire::outcome::unknown) {
        ++call.request.suspicion;
    }
    record_reply(t, call, reply);
    end_attempt(t, id, reply);
}

void on_peer_unreachable(step_context &t, const peer_unreachable &e)
{
    std::vector<std::uint64_t> broken;
    for (const auto &[correlation, id] : t.n.calls_by_attempt) {
        if (t.n.calls.at(id).current->instance == e.instance) {
            broken.push_back(correlation);
        }
    }
    std::sort(broken.begin(), broken.end());
    for (std::uint64_t correlation : broken) {
        auto known = t.n.calls_by_attempt.find(correlation);
        if (known == t.n.calls_by_attempt.end()) {
            continue;
        }
        bool unsent = std::find(e.unsent.begin(), e.unsent.end(), correlation) != e.unsent.end();
        wire::reply_message reply = make_refusal_reply(wire::refusal::connection_lost,
                                                       t.n.calls.at(known->second).request.service);
        reply.outcome = unsent ? wire::outcome::not_run : wire::outcome::unknown;
        record_failure(t.n.routes, e.instance, t.now);
        if (!unsent) {
            on_attempt_lost(t, t.n.calls.at(known->second), e.instance);
        }
        end_attempt(t, known->second, reply);
    }
}

}  // namespace gullstall::internal
