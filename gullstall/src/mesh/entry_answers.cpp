#include "gullstall/src/mesh/entry_answers.hpp"

#include <algorithm>

#include "gullstall/src/mesh/crash_guard.hpp"
#include "gullstall/src/mesh/quota_control.hpp"
#include "gullstall/src/mesh/return_time.hpp"

namespace gullstall::mesh {

using mesh_wire::reason;

namespace {

/// Time left assumed for a caller without a deadline.
constexpr duration default_time_left = seconds(5);

/// Sampling interval of log lines for successful responses; given in the line as one_of.
constexpr std::uint64_t answer_log_interval = 100;

/// \returns the time after which a retry may succeed
/// \param service that refused the request, empty if none did
duration retry_delay(const mesh_turn &t, reason why, duration left, const std::string &service)
{
    if (why == reason::shed || why == reason::crashes_upstreams) {
        return left;  // it outlasts any early retry
    }
    if (why == reason::upstream_limit) {
        return shortest_limit_wait(t.n.nodes, service, t.now);
    }
    bool is_missing = why == reason::no_upstream || why == reason::no_policy;
    duration interval = from_milliseconds(t.n.settings.upstream.heartbeat_interval_ms);
    return is_missing ? t.n.started_at + interval - t.now : duration{};
}

duration return_time(mesh_turn &t, reason why, duration left, const std::string &service = "")
{
    refusal it{left, t.n.features.timed_returns ? retry_delay(t, why, left, service) : duration{}};
    return t.n.features.spread_returns ? draw_retry_delay(it, t.n.random) : max_retry_delay(it);
}

std::uint16_t status_of(reason why, bool may_have_run)
{
    constexpr std::uint16_t unauthorized = 401;
    constexpr std::uint16_t too_many_requests = 429;
    constexpr std::uint16_t not_found = 404;
    constexpr std::uint16_t bad_gateway = 502;
    constexpr std::uint16_t unavailable = 503;
    constexpr std::uint16_t gateway_timeout = 504;
    if (why == reason::no_route) {
        return not_found;
    }
    if (why == reason::bad_key) {
        return unauthorized;
    }
    if (why == reason::over_quota) {
        return too_many_requests;
    }
    if (why == reason::timed_out) {
        return gateway_timeout;
    }
    return may_have_run ? bad_gateway : unavailable;
}

std::string reason_name(reason why)
{
    return mesh_wire::EnumNamereason(why);
}

/// Records at the run that makes the call, if any, that it was not answered with success.
void mark_failed_call(mesh_turn &t, const entry_call &call)
{
    auto parent = call.parent ? t.n.runs.find(*call.parent) : t.n.runs.end();
    if (parent != t.n.runs.end()) {
        parent->second.call_failed = true;
    }
}

/// \returns the services that shed load, as service=level/shed
std::string print_states(const std::map<std::string, service_state> &states)
{
    constexpr double min_logged_shed = 0.01;
    std::string out;
    for (const auto &[service, state] : states) {
        if (state.admission_level < unlimited_level || state.shed_share > min_logged_shed) {
            out += (out.empty() ? "" : " ") + service + "=" +
                   std::to_string(state.admission_level) + "/" + std::to_string(state.shed_share);
        }
    }
    return out;
}

}  // namespace

void remove_call(mesh_turn &t, call_ref id)
{
    auto found = t.n.calls.find(id);
    if (found->second.current) {
        t.n.calls_by_correlation.erase(found->second.current->correlation);
    }
    erase_expiry(t.n.call_expiry, found->second.expires, id);
    t.n.calls.erase(found);
}

void count_answer(mesh_turn &t, const std::string &route, const char *kind, const std::string &why)
{
    ++t.n.counters
          .answers["route=\"" + route + "\",outcome=\"" + kind + "\",reason=\"" + why + "\""];
}

void refuse_request(mesh_turn &t, call_ref id, const caller_request &request, reason why)
{
    duration left = request.time_left.value_or(default_time_left);
    caller_answer answer;
    answer.status = status_of(why, false);
    answer.why = why;
    if (why != reason::no_route && why != reason::bad_key) {
        answer.retry_after = return_time(t, why, left);
    }
    count_answer(t, "", "refused", reason_name(why));
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "entry",
                   "request-refused",
                   {{"request", request.request_id},
                    {"reason", reason_name(why)},
                    {"host", request.host},
                    {"target", request.target},
                    {"left_ms", std::to_string(to_ms(left))},
                    {"levels", print_states(t.n.states)},
                    {"policy", std::to_string(t.n.policy ? t.n.policy->version : 0)}}});
    t.out.emplace_back(answer_caller{id, std::move(answer)});
}

void fail_call(mesh_turn &t, call_ref id, reason why)
{
    entry_call &call = t.n.calls.at(id);
    if (call.error_answer) {
        mesh_wire::reply_message answer = std::move(*call.error_answer);
        forward_answer(t, id, answer);
        return;
    }
    mark_failed_call(t, call);
    caller_answer answer;
    answer.why = why;
    answer.status = status_of(why, call.may_have_run);
    bool is_refusal = !call.may_have_run && why != reason::timed_out;
    if (is_refusal) {
        return_token(t, call);
        duration left = call.deadline - t.now;
        refusal over_quota{left, call.quota_retry_after.value_or(duration{})};
        answer.retry_after = call.quota_retry_after ? draw_retry_delay(over_quota, t.n.random)
                                                    : return_time(t, why, left, call.call.service);
    }
    count_answer(t, call.route, is_refusal ? "refused" : "failed", reason_name(why));
    if (why == reason::crashes_upstreams) {
        log_quarantined_call(t, call);
    }
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "entry",
                   is_refusal ? "request-refused" : "request-failed",
                   {{"request", call.call.request_id},
                    {"reason", reason_name(why)},
                    {"status", std::to_string(answer.status)},
                    {"route", call.route},
                    {"customer", call.call.customer},
                    {"service", call.call.service},
                    {"nodes", std::to_string(call.send_count)},
                    {"last_node", call.tried.empty() ? "" : call.tried.back()},
                    {"handed_over", std::to_string(call.dispatch_count)},
                    {"after_ms", std::to_string(to_ms(t.now - call.received_at))},
                    {"left_ms", std::to_string(to_ms(call.deadline - t.now))},
                    {"load", std::to_string(service_load(t.n.nodes, call.call.service, t.now))},
                    {"policy", std::to_string(call.policy_version)}}});
    note_latency(t.n.latencies.call, t.now - call.received_at);
    t.out.emplace_back(answer_caller{id, std::move(answer)});
    remove_call(t, id);
}

void forward_answer(mesh_turn &t, call_ref id, mesh_wire::reply_message &reply)
{
    entry_call &call = t.n.calls.at(id);
    caller_answer answer;
    answer.from_upstream = true;
    answer.status = reply.status;
    answer.status_text = std::move(reply.status_text);
    answer.header_lines = std::move(reply.header_lines);
    answer.body = std::move(reply.body);
    constexpr std::uint16_t first_error = 400;
    bool is_good = reply.status < first_error;
    if (is_good) {
        record_held_time(t.n.call_times, call.route, t.now - call.received_at);
    } else {
        mark_failed_call(t, call);
    }
    count_answer(t, call.route, is_good ? "answered" : "upstream-error", "none");
    bool is_sampled = is_good && ++t.n.counters.successful_answers % answer_log_interval == 0;
    if (!is_good || is_sampled) {
        t.out.emplace_back(
            write_line{write_line::severity::info,
                       "entry",
                       is_good ? "request-answered" : "upstream-error",
                       {{"one_of", std::to_string(is_good ? answer_log_interval : 1)},
                        {"request", call.call.request_id},
                        {"status", std::to_string(reply.status)},
                        {"route", call.route},
                        {"peer", call.tried.empty() ? "" : call.tried.back()},
                        {"after_ms", std::to_string(to_ms(t.now - call.received_at))},
                        {"policy", std::to_string(call.policy_version)}}});
    }
    note_latency(t.n.latencies.call, t.now - call.received_at);
    t.out.emplace_back(answer_caller{id, std::move(answer)});
    remove_call(t, id);
}

}  // namespace gullstall::mesh
