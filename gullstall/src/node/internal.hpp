#ifndef GULLSTALL_NODE_INTERNAL_HPP
#define GULLSTALL_NODE_INTERNAL_HPP

#include "gullstall/src/node/node.hpp"

/// Implementation of step(). A call is accepted by entry.cpp and sent to an
/// upstream by attempt.cpp. On the upstream's node serve.cpp queues and runs it.
/// Its reply is processed by attempt.cpp, and answer.cpp answers the caller.
namespace gullstall::internal {

/// State of one step: the node, the time and the actions collected so far.
struct step_context
{
    node &n;
    time_point now;
    actions &out;
};

// entry.cpp: acceptance, cancellation and expiry of calls
void on_call_arrived(step_context &t, call_arrived &e);
void on_call_abandoned(step_context &t, call_ref id);
void expire_calls(step_context &t);
void cancel_call(step_context &t, call_ref id);
void accept_call(step_context &t, pending_call &&call);

// attempt.cpp: sending calls to upstreams, and their replies
void start_call(step_context &t, call_ref id);
/// Retries the calls that wait for an upstream.
void start_waiting_calls(step_context &t);
void send_attempt(step_context &t, pending_call &call, const std::string &upstream,
                  std::uint32_t share);
void on_reply(step_context &t, const std::string &from, wire::reply_message &reply);
void on_peer_unreachable(step_context &t, const peer_unreachable &e);

// answer.cpp: completion of calls
void finish_call(step_context &t, call_ref id, wire::reply_message &reply);
void refuse_call(step_context &t, call_ref id, wire::refusal why, const std::string &by);
void erase_call(step_context &t, pending_call &call);
wire::reply_message make_refusal_reply(wire::refusal why, const std::string &by);

// serve.cpp: calls that run on the local worker
void on_call(step_context &t, const std::string &from, wire::call_message &call);
void on_cancel(step_context &t, const std::string &from, std::uint64_t correlation);
void on_worker_answered(step_context &t, worker_answered &e);
void expire_runs(step_context &t);
void refuse_long_waiting(step_context &t);
void on_origin_lost(step_context &t, const std::string &origin);
std::string format_context(const node &n, run_ref run);
std::optional<run_ref> parse_context(const node &n, const std::string &context);

// admission.cpp: admission control of the local worker
void on_level_tick(step_context &t);
std::optional<wire::refusal> find_refusal_reason(step_context &t, const wire::call_message &call);
std::optional<std::string> find_refusing_service(step_context &t, const wire::call_message &call);
void record_reply(step_context &t, const pending_call &call, const wire::reply_message &reply);
duration expected_wait(const node &n);
priority priority_of(const wire::call_message &it);
waiting_run make_waiting_run(const node &n, const active_run &run);

// control.cpp: answers of the platform, worker registration and shutdown
void on_control_tick(step_context &t);
void on_platform_answered(step_context &t, platform_answered &e);
void on_worker_announced(step_context &t, const worker_announced &e);
/// Announces this node as alive once the local worker has registered and a
/// bundle is in force.
void advertise_own_worker(step_context &t);
void on_worker_leaving(step_context &t);
void on_stop_requested(step_context &t);
/// \returns whether the node accepts calls of callers; true for a short time after a stop request
bool accepts_callers(const node &n, time_point now);
void on_control_frame(step_context &t, wire::frame_message &frame);
void finish_stop(step_context &t);

// member_control.cpp: membership
void on_member_tick(step_context &t);
void on_member_frame(step_context &t, wire::frame_message &frame);
void on_lease_answer(step_context &t, const platform_answer &answer);
void on_scan_answer(step_context &t, const platform_answer &answer);
void set_own_state(step_context &t, wire::member_state state);
void on_step_time(step_context &t);
void on_member_unreachable(step_context &t, const std::string &instance);
void on_worker_end(step_context &t, worker_end end);
void on_worker_checked(step_context &t, const worker_checked &e);
void check_silent_worker(step_context &t);

// bundle_control.cpp: bundles
void on_bundle_tick(step_context &t);
void on_bundle_frame(step_context &t, wire::frame_message &frame);
void on_head_answer(step_context &t, const platform_answer &answer);
void on_bundle_row(step_context &t, const platform_answer &answer);
void on_bundle_object(step_context &t, const platform_answer &answer);

// once_control.cpp: non-idempotent calls
void on_key_asked(step_context &t, call_ref id);
void on_once_tick(step_context &t);
void accept_once_call(step_context &t, call_ref id);
void end_once_call(step_context &t, const pending_call &call, wire::reply_message &reply);
void on_call_to_issuer(step_context &t, const std::string &from, wire::call_message &call);
void handle_batch_answer(step_context &t, std::uint64_t batch, const platform_answer &answer);
void on_claim_read(step_context &t, platform_ref request, const platform_answer &answer);
bool continues_without_caller(const pending_call &call);

// claim_control.cpp: writing of claims in groups per zone
void flush_claims(step_context &t);
void on_claim_commit(step_context &t, platform_ref request, const platform_answer &answer);
void expire_forwarded(step_context &t);
void on_claim_frame(step_context &t, wire::frame_message &frame);
void on_claim_writer_gone(step_context &t, const std::string &instance);

// explain.cpp: descriptions of refusals, read by `gullstall explain`
std::string describe_refusal(const node &n, const pending_call &call,
                             const wire::reply_message &reply);
std::string describe_arrival_refusal(const node &n, const call_request &asked, wire::refusal why);

// suspect_control.cpp: requests suspected of crashing workers
std::string suspect_id_of(const call_request &asked);
bool is_refused_suspect(step_context &t, wire::call_message &request);
void on_run_lost(step_context &t, const active_run &run);
void on_run_answered(step_context &t, const active_run &run);
void on_attempt_lost(step_context &t, pending_call &call, const std::string &instance);
void on_suspect_tick(step_context &t);
void on_suspect_frame(step_context &t, wire::frame_message &frame);
bool requires_exclusive_worker(const node &n, const wire::call_message &call);

// admin.cpp: pages of the admin port
void on_admin_asked(step_context &t, const admin_requested &e);

// send.cpp: helpers that emit actions
void send_to(step_context &t, const std::string &instance, wire::frame_message frame);
/// Sends to a node that may not be a known member: over the connection it opened,
/// or to the address \a to when \a instance is empty.
void send_to_address(step_context &t, const std::string &instance, const endpoint &to,
                     wire::frame_message frame);
platform_ref send_platform_request(step_context &t, platform_purpose purpose,
                                   platform_request what);
void log(step_context &t, write_log::severity level, const char *part, std::string text);
std::uint64_t next_id(node &n);
member own_member(const node &n);

template <class Message>
wire::frame_message make_frame(Message message)
{
    wire::frame_message out;
    out.payload.Set(std::move(message));
    return out;
}

}  // namespace gullstall::internal

#endif
