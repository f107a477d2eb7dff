#include <algorithm>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

wire::reply_message refusal_reply(wire::refusal why, const std::string &by)
{
    wire::reply_message out;
    out.outcome = wire::outcome::not_run;
    out.refusal = why;
    out.refused_by = by;
    return out;
}

void forget_call(turn &t, pending_call &call)
{
    if (call.current) {
        t.n.attempts.erase(call.current->correlation);
    }
    auto [begin, end] = t.n.call_deadlines.equal_range(call.deadline);
    for (auto it = begin; it != end; ++it) {
        if (it->second == call.id) {
            t.n.call_deadlines.erase(it);
            break;
        }
    }
    if (call.parent) {
        auto run = t.n.runs.find(*call.parent);
        if (run != t.n.runs.end()) {
            run->second.children.erase(call.id);
            run->second.retries.left += call.retries.left;
        }
    } else {
        auto entered = t.n.entered.find(call.request.request_id);
        if (entered != t.n.entered.end() && entered->second == call.id) {
            t.n.entered.erase(entered);
        }
    }
    for (call_ref waiter : call.waiters) {
        t.n.joined.erase(waiter);
    }
    t.n.calls.erase(call.id);
}

void count_refusal(turn &t, const wire::call_message &request, wire::refusal why)
{
    std::string name = wire::EnumNamerefusal(why);
    ++t.n.counters.refusals[name + "/" + std::to_string(request.class_priority)];
}

/// Hands the final answer to whoever asked: a caller, or the node that sent
/// the call on to the issuer of its key.
void give_answer(turn &t, pending_call &call, wire::reply_message &reply)
{
    if (call.origin) {
        wire::reply_message out = std::move(reply);
        out.correlation = call.origin->second;
        out.unspent = call.retries.left;
        send_to(t, call.origin->first, frame_of(std::move(out)));
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

/// Answers the caller; this is the one place where a call ends with an answer.
void finish_call(turn &t, call_ref id, wire::reply_message &reply)
{
    pending_call &call = t.n.calls.at(id);
    bool ran = reply.outcome == wire::outcome::ran;
    if (!ran && call.may_have_run) {
        // An earlier attempt may have run: nobody can say `not run` any more.
        reply.outcome = wire::outcome::unknown;
    }
    end_once_call(t, call, reply);
    if (!ran) {
        count_refusal(t, call.request, reply.refusal);
        note_event(t.n.events, t.now, event_kind::call_refused, call.request.request_id,
                   reply.refused_by, describe_refusal(t.n, call, reply));
        if (reply.retry_after_ms == 0) {
            double beyond =
                classes_beyond(t.n.touches, reply.refused_by, priority_of(call.request), t.now);
            reply.retry_after_ms = draw_retry_after_ms(t.n.random, beyond);
        }
    } else {
        note_event(t.n.events, t.now, event_kind::call_answered, call.request.request_id,
                   call.request.service, std::to_string(reply.status));
    }
    note_latency(t.n.latencies.call, t.now - call.taken_at);
    give_answer(t, call, reply);
    forget_call(t, call);
}

void refuse_call(turn &t, call_ref id, wire::refusal why, const std::string &by)
{
    wire::reply_message reply = refusal_reply(why, by);
    finish_call(t, id, reply);
}

void send_attempt(turn &t, pending_call &call, const std::string &upstream, std::uint32_t share)
{
    const std::string &self = t.n.settings.node.instance;
    std::uint64_t correlation = next_id(t.n);
    call.current = attempt{correlation, upstream, share, t.now};
    t.n.attempts[correlation] = call.id;
    note_sent(t.n.routes, upstream);
    wire::call_message message = call.request;
    message.correlation = correlation;
    message.allowance = share;
    message.left_us = static_cast<std::uint64_t>((call.deadline - t.now).count());
    note_event(t.n.events, t.now, event_kind::call_sent, call.request.request_id, upstream, "");
    if (upstream == self) {
        on_call(t, self, message);
        return;
    }
    send_to(t, upstream, frame_of(std::move(message)));
}

/// Sends the call to an upstream that was not tried yet.
void start_call(turn &t, call_ref id)
{
    pending_call &call = t.n.calls.at(id);
    if (refuses_suspect(t, call.request)) {
        // It ran before, on the workers that it took down.
        wire::reply_message reply = refusal_reply(wire::refusal::suspect, call.request.service);
        reply.outcome = wire::outcome::unknown;
        finish_call(t, id, reply);
        return;
    }
    const std::string &self = t.n.settings.node.instance;
    route_request wanted{call.request.service, self, t.n.settings.node.zone, call.tried,
                         call.request.non_idempotent};
    auto upstream = choose_upstream(t.n.routes, t.n.members, wanted, t.n.random, t.now);
    if (!upstream) {
        refuse_call(t, id, wire::refusal::no_upstream, call.request.service);
        return;
    }
    std::uint32_t share =
        t.n.guards.divide_allowance ? take_share(call.retries) : call.retries.left;
    call.tried.push_back(*upstream);
    send_attempt(t, call, *upstream, share);
}

namespace {

bool worth_resending(const pending_call &call, const wire::reply_message &reply)
{
    if (call.request.to_issuer) {
        return false;  // only the issuer may run it, and it re-sends by itself
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

/// Sends the call once more when the request's allowance and the service's
/// budget both pay for it.
bool try_resend(turn &t, call_ref id)
{
    pending_call &call = t.n.calls.at(id);
    if (call.retries.left == 0 || t.now >= call.deadline ||
        !spend_budget(t.n.budgets[call.request.service])) {
        return false;
    }
    spend_retry(call.retries);
    ++t.n.counters.calls_resent;
    note_event(t.n.events, t.now, event_kind::call_resent, call.request.request_id,
               call.request.service, "");
    start_call(t, id);
    return true;
}

/// Ends the current attempt with \a reply: re-sends or answers.
void end_attempt(turn &t, call_ref id, wire::reply_message &reply)
{
    pending_call &call = t.n.calls.at(id);
    return_share(call.retries, call.current->share, reply.unspent);
    t.n.attempts.erase(call.current->correlation);
    call.current.reset();
    // The issuer of the key says `not run` only when it knows.
    call.settled = call.request.to_issuer && reply.refusal != wire::refusal::connection_lost;
    call.may_have_run = call.may_have_run || reply.outcome == wire::outcome::unknown;
    if (worth_resending(call, reply) && try_resend(t, id)) {
        return;
    }
    finish_call(t, id, reply);
}

/// Fills what a call inherits from the run that makes it, or what the bundle
/// says of a request that enters here.
void set_context(turn &t, pending_call &call, const caller_call &asked)
{
    wire::call_message &request = call.request;
    // A request keeps the version of its entry, also when a newer one has come
    // into force here since.
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
        run.children.insert(call.id);
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
    t.n.counters.contexts_unknown += lost_context ? 1 : 0;
    call.retries.left = lost_context ? 0 : policy.limits.retry_allowance;
}

void refuse_unready(turn &t, call_ref id, wire::refusal why, const caller_call &asked)
{
    ++t.n.counters.refusals[std::string(wire::EnumNamerefusal(why)) + "/-"];
    bool knows = knows_not_run(t.n.once, asked.key, asked.attempt);
    note_event(t.n.events, t.now, event_kind::call_refused, asked.request_id,
               t.n.settings.node.service, describe_unready(t.n, asked, why));
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

/// Lets a caller's repeat wait for the call in flight with the same request id,
/// in place of running it a second time with an allowance of its own.
/// \returns whether the repeat was taken care of
bool join_call_in_flight(turn &t, const call_arrived &e)
{
    auto entered = t.n.entered.find(e.request.request_id);
    if (!t.n.guards.join_repeats || entered == t.n.entered.end()) {
        return false;
    }
    pending_call &call = t.n.calls.at(entered->second);
    bool same = call.request.service == e.request.service &&
                call.request.operation == e.request.operation &&
                call.request.key == e.request.key && call.request.body == e.request.body;
    if (!same) {
        refuse_unready(t, e.call, wire::refusal::key_mismatch, e.request);
        return true;
    }
    ++t.n.counters.repeats_joined;
    call.waiters.push_back(e.call);
    t.n.joined[e.call] = call.id;
    return true;
}

}  // namespace

void on_call_arrived(turn &t, call_arrived &e)
{
    ++t.n.counters.calls_taken;
    std::optional<run_ref> parent = parse_context(t.n, e.request.context);
    if (!t.n.bundles.in_force || is_stale(t.n.gossip, t.now)) {
        refuse_unready(t, e.call, wire::refusal::starting, e.request);
        return;
    }
    if (t.n.stopping && !parent) {
        refuse_unready(t, e.call, wire::refusal::leaving, e.request);
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
    set_context(t, call, e.request);
    take_call(t, std::move(call));
}

void take_call(turn &t, pending_call &&taken)
{
    call_ref id = taken.id;
    auto [found, fresh] = t.n.calls.emplace(id, std::move(taken));
    const pending_call &call = found->second;
    note_event(t.n.events, t.now, event_kind::call_taken, call.request.request_id,
               call.request.service, call.request.operation);
    earn_retry(t.n.budgets[call.request.service],
               t.n.bundles.in_force->content.limits.retry_budget_percent);
    t.n.call_deadlines.emplace(call.deadline, id);
    if (!call.parent && !call.request.non_idempotent) {
        // Repeats of calls that must not run twice are joined by their key.
        t.n.entered.try_emplace(call.request.request_id, id);
    }
    if (!call.parent) {
        if (auto by = refused_at_entry(t, call.request)) {
            refuse_call(t, id, wire::refusal::overload, *by);
            return;
        }
    }
    if (call.request.non_idempotent) {
        take_once_call(t, id);
        return;
    }
    start_call(t, id);
}

void cancel_call(turn &t, call_ref id)
{
    auto found = t.n.calls.find(id);
    if (found == t.n.calls.end()) {
        return;
    }
    pending_call &call = found->second;
    if (runs_on_without_caller(call)) {
        return;
    }
    if (call.current) {
        attempt last = *call.current;
        wire::cancel_message message;
        message.correlation = last.correlation;
        if (last.instance == t.n.settings.node.instance) {
            on_cancel(t, last.instance, last.correlation);
        } else {
            send_to(t, last.instance, frame_of(message));
        }
        note_ended(t.n.routes, last.instance);
    }
    forget_call(t, call);
}

void on_call_abandoned(turn &t, call_ref id)
{
    auto repeat = t.n.joined.find(id);
    auto found = t.n.calls.find(repeat == t.n.joined.end() ? id : repeat->second);
    if (found == t.n.calls.end()) {
        return;
    }
    std::vector<call_ref> &waiters = found->second.waiters;
    waiters.erase(std::remove(waiters.begin(), waiters.end(), id), waiters.end());
    t.n.joined.erase(id);
    if (waiters.empty()) {
        cancel_call(t, found->first);
    }
}

namespace {

/// Tells the router what a reply says of the upstream.
void note_reply(router &routes, const std::string &from, const wire::reply_message &reply,
                duration took, time_point now)
{
    if (reply.refusal == wire::refusal::connection_lost) {
        note_failed(routes, from, now);
    } else if (reply.outcome == wire::outcome::not_run) {
        note_refused(routes, from, now);
    } else {
        // Also one that ran into its deadline: the time it took makes the
        // upstream look slow, which a silent one is.
        note_answered(routes, from, took);
    }
}

}  // namespace

void on_reply(turn &t, const std::string &from, wire::reply_message &reply)
{
    auto known = t.n.attempts.find(reply.correlation);
    if (known == t.n.attempts.end()) {
        return;  // late: its call has its answer already
    }
    call_ref id = known->second;
    pending_call &call = t.n.calls.at(id);
    if (call.current->instance != from) {
        return;  // the number belongs to another node's attempt
    }
    if (reply.leaving) {
        note_leaving(t.n.routes, from, t.now);
    }
    note_reply(t.n.routes, from, reply, t.now - call.current->sent_at, t.now);
    if (reply.refusal == wire::refusal::connection_lost &&
        reply.outcome == wire::outcome::unknown) {
        ++call.request.suspicion;
    }
    learn_from(t, call, reply);
    end_attempt(t, id, reply);
}

void on_peer_unreachable(turn &t, const peer_unreachable &e)
{
    std::vector<std::uint64_t> broken;
    for (const auto &[correlation, id] : t.n.attempts) {
        if (t.n.calls.at(id).current->instance == e.instance) {
            broken.push_back(correlation);
        }
    }
    std::sort(broken.begin(), broken.end());
    for (std::uint64_t correlation : broken) {
        auto known = t.n.attempts.find(correlation);
        if (known == t.n.attempts.end()) {
            continue;
        }
        bool unsent = std::find(e.unsent.begin(), e.unsent.end(), correlation) != e.unsent.end();
        wire::reply_message reply = refusal_reply(wire::refusal::connection_lost,
                                                  t.n.calls.at(known->second).request.service);
        reply.outcome = unsent ? wire::outcome::not_run : wire::outcome::unknown;
        note_failed(t.n.routes, e.instance, t.now);
        if (!unsent) {
            on_attempt_lost(t, t.n.calls.at(known->second), e.instance);
        }
        end_attempt(t, known->second, reply);
    }
}

void expire_calls(turn &t)
{
    while (!t.n.call_deadlines.empty() && t.n.call_deadlines.begin()->first <= t.now) {
        call_ref id = t.n.call_deadlines.begin()->second;
        pending_call &call = t.n.calls.at(id);
        wire::reply_message reply = refusal_reply(wire::refusal::deadline, call.request.service);
        if (call.current) {
            reply.outcome = wire::outcome::unknown;
            attempt last = *call.current;
            wire::cancel_message message;
            message.correlation = last.correlation;
            note_answered(t.n.routes, last.instance, t.now - last.sent_at);
            t.n.attempts.erase(last.correlation);
            call.current.reset();
            if (last.instance == t.n.settings.node.instance) {
                on_cancel(t, last.instance, last.correlation);
            } else {
                send_to(t, last.instance, frame_of(message));
            }
        }
        finish_call(t, id, reply);
    }
}

}  // namespace gullstall::internal
