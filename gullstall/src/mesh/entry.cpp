#include <algorithm>
#include <utility>

#include "gullstall/src/mesh/crash_guard.hpp"
#include "gullstall/src/mesh/entry_answers.hpp"
#include "gullstall/src/mesh/quota_control.hpp"
#include "gullstall/src/mesh/retry_grant.hpp"

namespace gullstall::mesh {

using mesh_wire::outcome;
using mesh_wire::reason;

namespace {

/// Maximum number of nodes tried for one request before it is refused. Each refusal carries
/// the load of the refusing node, so that the third choice is already well informed; more
/// attempts would only delay the caller.
constexpr std::uint32_t max_placements = 4;

constexpr std::uint32_t max_priority = 15;

/// \returns the reason for ending a call whose time is over
reason timeout_reason(const mesh_node &n, const entry_call &call)
{
    if (call.may_have_run) {
        return reason::timed_out;
    }
    return call.expires >= latest_answer(n) ? reason::stopping : reason::too_late;
}

bool has_time_to_run(const entry_call &call, time_point now)
{
    return call.expires - now >= min_time_left;
}

/// \returns whether a call that was refused after it had waited at a gate is refused for good:
/// at another gate it would wait again
bool has_used_placing_time(const entry_call &call, time_point now)
{
    constexpr double max_placing_fraction = 0.1;
    return to_seconds(now - call.received_at) >
           max_placing_fraction * to_seconds(call.expires - call.received_at);
}

/// \returns the retry budget of a service, accrued up to now
retry_token_bucket &budget_of(mesh_turn &t, const std::string &service)
{
    double retries = t.n.settings.limits.retry_slack * entry_share(t.n);
    retry_slack slack{retries, from_seconds(t.n.settings.limits.retry_window_s),
                      t.n.nodes.nodes.size()};
    retry_token_bucket &out = t.n.budgets[service];
    accrue_slack_tokens(out, slack, t.now);
    return out;
}

/// Charges a retry to the budget of every service that it reaches, since the calls of a
/// repeated run are retries too.
/// \returns false if a budget does not suffice; nothing is charged then
bool charge_retry(mesh_turn &t, const entry_call &call)
{
    service_runs needs = t.n.plan.runs_per_request.count(call.route) > 0
                             ? t.n.plan.runs_per_request.at(call.route)
                             : service_runs{{call.call.service, 1.0}};
    for (const auto &[service, runs] : needs) {
        if (!has_retry_tokens(budget_of(t, service), runs)) {
            return false;
        }
    }
    for (const auto &[service, runs] : needs) {
        spend_retry_tokens(t.n.budgets[service], runs);
    }
    return true;
}

/// Selects the node to send a call to. At the last attempt it may wait for the limit of the
/// upstream anyway: what is known of its room may be outdated.
placement choose_next_node(mesh_turn &t, const entry_call &call)
{
    if (call.send_count >= max_placements) {
        return placement{};
    }
    placement_request wanted{call.call.service, t.n.settings.node.zone, call.excluded_nodes,
                             call.route};
    placement out = choose_placement(t.n.nodes, t.n.zones, wanted, t.n.random, t.now, t.n.features);
    out.waits_for_limit |= call.send_count + 1 == max_placements;
    return out;
}

/// Sends the call to a node not tried yet, lets it wait for one, or refuses it.
void place_call(mesh_turn &t, call_ref id)
{
    entry_call &call = t.n.calls.at(id);
    if (!has_time_to_run(call, t.now)) {
        fail_call(t, id, timeout_reason(t.n, call));
        return;
    }
    if (judge_call(t.n, call, t.now) == suspicion::quarantined) {
        fail_call(t, id, reason::crashes_upstreams);
        return;
    }
    update_own_status(t);
    auto [node, waits_for_limit] = choose_next_node(t, call);
    if (node.empty()) {
        if (!wait_for_upstream(t, call)) {
            fail_call(t, id, call.last_reason);
        }
        return;
    }
    if (call.call.asks_grant && !t.n.nodes.nodes.at(node).status.grants_retries) {
        call.call.asks_grant = false;
        if (!charge_retry(t, call)) {
            ++t.n.counters.repeats_denied;
            fail_call(t, id, call.last_reason);
            return;
        }
    }
    ++call.send_count;
    call.tried.push_back(node);
    call.excluded_nodes.push_back(node);
    std::uint64_t correlation = ++t.n.last_id;
    call.current = sent_call{correlation, node, t.now, waits_for_limit};
    t.n.calls_by_correlation[correlation] = id;
    record_sent_call(t.n.nodes, node);
    mesh_wire::call_message message = call.call;
    message.correlation = correlation;
    message.left_us = static_cast<std::uint64_t>((call.expires - t.now).count());
    message.sent_us = frame_time_us(t.now);
    message.due_us = (call.due - t.now).count();
    message.repeat = call.call.repeat || call.dispatch_count > 0;
    message.waits_for_limit = waits_for_limit;
    if (node == t.n.settings.node.name) {
        handle_call(t, local_link, std::move(message));
        return;
    }
    t.out.emplace_back(send_to_node{node, mesh_frame(std::move(message))});
}

/// Retries a call that has reached an upstream.
/// \returns false if no retry is allowed
bool retry_call(mesh_turn &t, call_ref id)
{
    entry_call &call = t.n.calls.at(id);
    bool allowed = t.n.features.repeats && call.dispatch_count < call.max_attempts &&
                   (call.call.idempotent || !call.may_have_run) && has_time_to_run(call, t.now) &&
                   judge_call(t.n, call, t.now) != suspicion::quarantined;
    if (!allowed) {
        return false;
    }
    call.call.asks_grant = is_granted_at_gate(t.n, call);
    if (!call.call.asks_grant && !charge_retry(t, call)) {
        ++t.n.counters.repeats_denied;
        return false;
    }
    ++t.n.counters.repeats;
    place_call(t, id);
    return true;
}

/// Cancels a call at the node that it was sent to.
void cancel_send(mesh_turn &t, const sent_call &sent)
{
    if (sent.node == t.n.settings.node.name) {
        handle_cancel(t, local_link, sent.correlation);
        return;
    }
    mesh_wire::cancel_message message;
    message.correlation = sent.correlation;
    t.out.emplace_back(send_to_node{sent.node, mesh_frame(message)});
}

/// \returns whether the response is a server error that another upstream may not return
bool is_retryable_error(const entry_call &call, const mesh_wire::reply_message &reply)
{
    constexpr std::uint16_t first_server_error = 500;
    constexpr std::uint16_t gateway_timeout = 504;
    return call.call.idempotent && !call.call.inner && reply.status >= first_server_error &&
           reply.status != gateway_timeout;
}

/// Retries a call after an error response, or forwards the error if no retry is allowed.
void retry_after_error(mesh_turn &t, call_ref id, mesh_wire::reply_message &reply)
{
    entry_call &call = t.n.calls.at(id);
    ++call.dispatch_count;
    t.n.calls_by_correlation.erase(call.current->correlation);
    call.current.reset();
    call.may_have_run = true;
    call.error_answer = std::move(reply);
    if (!retry_call(t, id)) {
        fail_call(t, id, reason::none);
    }
}

/// Ends a transmission without a response: sends the call again if allowed, or fails it.
/// \param reached whether the call has reached an upstream, or may have
void end_send(mesh_turn &t, call_ref id, outcome how, reason why, bool reached)
{
    entry_call &call = t.n.calls.at(id);
    t.n.calls_by_correlation.erase(call.current->correlation);
    bool has_waited = call.current->waits_for_limit && has_used_placing_time(call, t.now);
    if (why == reason::upstream_limit && !call.current->waits_for_limit) {
        call.excluded_nodes.pop_back();
    }
    call.current.reset();
    if (why != reason::retry_limit) {
        call.last_reason = why;  // otherwise the reason of the failed attempt is kept
    }
    call.dispatch_count += reached ? 1 : 0;
    call.may_have_run = call.may_have_run || how == outcome::unknown;
    if (why == reason::crashes_upstreams || (why == reason::upstream_limit && has_waited)) {
        fail_call(t, id, why);  // another node would refuse it, too, or let it wait again
        return;
    }
    if (!reached) {
        place_call(t, id);
        return;
    }
    if (!retry_call(t, id)) {
        fail_call(t, id, why);
    }
}

/// Associates the call with the local run that makes it, if any. Such a call inherits the
/// admission decision of the caller's request and is not subject to admission itself.
void inherit_from_run(mesh_turn &t, entry_call &entry, const caller_request &request,
                      const std::string &route)
{
    mesh_wire::call_message &call = entry.call;
    std::optional<run_ref> parent = find_parent(t.n.chain, request.request_id);
    auto run = parent ? t.n.runs.find(*parent) : t.n.runs.end();
    if (run == t.n.runs.end()) {
        return;
    }
    entry.parent = parent;
    call.inner = true;
    call.priority = run->second.call.priority;
    call.repeat = run->second.call.repeat;
    call.root = run->second.call.root;
    call.share_milli = run->second.call.share_milli;
    entry.due = run->second.due;
    record_call(t.n.chain, run->second.call.request_id, route);
}

/// \returns the sampling position of a request, uniform in [0, 1)
double sampling_position(const std::string &request_id)
{
    constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53
    constexpr unsigned unused_bits = 11;
    return static_cast<double>(hash_text(request_id) >> unused_bits) * scale;
}

}  // namespace

void handle_request(mesh_turn &t, call_ref id, caller_request &&request)
{
    if (!t.n.policy) {
        refuse_request(t, id, request, reason::no_policy);
        return;
    }
    const traffic_route *route = find_route(*t.n.policy, request.host, request.target);
    if (route == nullptr) {
        refuse_request(t, id, request, reason::no_route);
        return;
    }
    entry_call call;
    const customer *who = nullptr;
    if (has_customers(*t.n.policy)) {
        who = find_customer(t.n.policy->customers, request.credentials.api_key);
        if (who == nullptr && !route->is_public) {
            refuse_request(t, id, request, reason::bad_key);
            return;
        }
        call.call.customer = who == nullptr ? "" : who->name;
    }
    // Calls of runs carry no key: a request that has one is a client's, whatever its id.
    if (request.credentials.found == caller_credentials::state::absent) {
        inherit_from_run(t, call, request, route->name);
    }
    call.deadline = t.now + request.time_left.value_or(route->timeout);
    call.expires = std::min(call.deadline, t.now + route->timeout);
    bool is_accepted = call.call.inner ? accepts_call_of_run(t.n, route->name, t.now, call.expires)
                                       : accepts_callers(t.n, t.now, call.expires);
    if (!is_accepted) {
        refuse_request(t, id, request, reason::stopping);
        return;
    }
    if (!call.call.inner) {
        std::uint32_t priority = request_priority(*route, who);
        call.call.priority = static_cast<std::uint16_t>(std::min(priority, max_priority));
        call.call.root = traffic_class(*route, call.call.priority);
        admission_decision verdict =
            admit_request(t, route->name, call.call.root, sampling_position(request.request_id));
        if (verdict.refused) {
            refuse_request(t, id, request, *verdict.refused);
            return;
        }
        call.call.share_milli = static_cast<std::uint16_t>(verdict.admitted_share * share_scale);
    }
    call.id = id;
    call.route = route->name;
    call.policy_version = t.n.policy->version;
    call.call.route = route->name;
    call.max_attempts = std::max(1U, route->max_attempts);
    call.received_at = t.now;
    call.call.request_id = std::move(request.request_id);
    call.call.service = choose_service(t.n.split, *route);
    call.call.caller_service = t.n.settings.node.service;
    call.call.method = std::move(request.method);
    call.call.target = std::move(request.target);
    call.call.header_lines = std::move(request.header_lines);
    call.call.body = std::move(request.body);
    call.call.idempotent = route->request_idempotency == idempotency::idempotent;
    call.expires = std::min(call.expires, latest_answer(t.n));
    if (!call.call.inner) {
        call.due = t.now + route->latency_objective;
    }
    t.n.call_expiry.emplace(call.expires, id);
    t.n.calls.emplace(id, std::move(call));
    if (obtain_token(t, id)) {
        place_admitted_call(t, id);
    }
}

void place_admitted_call(mesh_turn &t, call_ref id)
{
    const entry_call &call = t.n.calls.at(id);
    if (!call.call.inner) {
        earn_retry_tokens(budget_of(t, call.call.service),
                          t.n.settings.limits.retry_ratio * entry_share(t.n));
    }
    place_call(t, id);
}

void abandon_request(mesh_turn &t, call_ref id)
{
    auto found = t.n.calls.find(id);
    if (found == t.n.calls.end()) {
        return;
    }
    std::optional<sent_call> current = found->second.current;
    found->second.may_have_run = found->second.may_have_run || current.has_value();
    count_answer(t, found->second.route, "abandoned", "none");
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "entry",
                   "caller-left",
                   {{"request", found->second.call.request_id},
                    {"route", found->second.route},
                    {"after_ms", std::to_string(to_ms(t.now - found->second.received_at))}}});
    remove_call(t, id);
    if (current) {
        record_call_result(t.n.nodes, current->node, call_end::refused, t.now);
        cancel_send(t, *current);
    }
}

void handle_reply(mesh_turn &t, const std::string &from, mesh_wire::reply_message &reply)
{
    if (reply.load) {
        update_load(t.n.nodes, from, *reply.load, t.now);
    }
    auto known = t.n.calls_by_correlation.find(reply.correlation);
    if (known == t.n.calls_by_correlation.end()) {
        return;  // the request has already been answered
    }
    call_ref id = known->second;
    if (t.n.calls.at(id).current->node != from) {
        return;  // the correlation belongs to a call to another node
    }
    call_end end = reply.outcome == outcome::answered      ? call_end::succeeded
                   : reply.outcome == outcome::not_started ? call_end::refused
                                                           : call_end::failed;
    record_call_result(t.n.nodes, from, end, t.now);
    if (reply.outcome == outcome::answered) {
        if (reply.load && !(reply.load->notice && reply.load->notice->limited)) {
            forget_limit(t.n.nodes, from);
        }
        if (is_retryable_error(t.n.calls.at(id), reply)) {
            retry_after_error(t, id, reply);
            return;
        }
        forward_answer(t, id, reply);
        return;
    }
    end_send(t, id, reply.outcome, reply.reason, reply.handed_over);
}

void expire_calls(mesh_turn &t)
{
    while (!t.n.call_expiry.empty() && t.n.call_expiry.begin()->first <= t.now) {
        call_ref id = t.n.call_expiry.begin()->second;
        entry_call &call = t.n.calls.at(id);
        std::optional<sent_call> current = call.current;
        call.may_have_run = call.may_have_run || current.has_value();
        fail_call(t, id, timeout_reason(t.n, call));
        if (current) {
            record_call_result(t.n.nodes, current->node, call_end::failed, t.now);
            cancel_send(t, *current);
        }
    }
}

void dispatch_waiting_calls(mesh_turn &t)
{
    std::vector<call_ref> waiting = std::exchange(t.n.waiting_calls, {});
    for (call_ref id : waiting) {
        auto found = t.n.calls.find(id);
        if (found == t.n.calls.end() || found->second.current) {
            continue;
        }
        // Nodes that refused the call may have restarted since.
        found->second.tried.clear();
        found->second.excluded_nodes.clear();
        found->second.send_count = std::min(found->second.send_count, max_placements - 1);
        place_call(t, id);
    }
}

void handle_node_lost(mesh_turn &t, const std::string &node,
                      const std::vector<std::uint64_t> &unsent)
{
    update_link(t.n.nodes, node, false);
    std::vector<std::uint64_t> lost;
    for (const auto &[correlation, id] : t.n.calls_by_correlation) {
        if (t.n.calls.at(id).current->node == node) {
            lost.push_back(correlation);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (std::uint64_t correlation : lost) {
        auto known = t.n.calls_by_correlation.find(correlation);
        if (known == t.n.calls_by_correlation.end()) {
            continue;
        }
        bool left = std::find(unsent.begin(), unsent.end(), correlation) == unsent.end();
        record_call_result(t.n.nodes, node, call_end::failed, t.now);
        end_send(t, known->second, left ? outcome::unknown : outcome::not_started,
                 left ? reason::connection_lost : reason::unreachable, left);
    }
}

void apply_timeouts(mesh_turn &t)
{
    for (auto &entry : t.n.calls) {
        call_ref id = entry.first;
        entry_call &call = entry.second;
        const traffic_route *route = find_route_by_name(*t.n.policy, call.route);
        time_point expires = std::min(call.expires, latest_answer(t.n));
        if (route != nullptr) {
            expires = std::min(expires, call.received_at + route->timeout);
        }
        if (expires == call.expires) {
            continue;
        }
        erase_expiry(t.n.call_expiry, call.expires, id);
        call.expires = expires;
        t.n.call_expiry.emplace(expires, id);
    }
}

}  // namespace gullstall::mesh
