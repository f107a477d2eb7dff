#ifndef GULLSTALL_NODE_INTERNAL_HPP
#define GULLSTALL_NODE_INTERNAL_HPP

#include "gullstall/src/node/node.hpp"

/// Implementation of step(). A call is accepted by entry.cpp and sent to an
/// upstream by attempt.cpp. On the upstream's node serve.cpp queues and runs it.
/// Its reply is processed by attempt.cpp, and answer.cpp answers the caller.
namespace gullstall::internal {

/// State of one step: the node, the time and the actions collected so far.
struct turn
{
    node &n;
    time_point now;
    actions &out;
};

// entry.cpp: acceptance, cancellation and expiry of calls
void on_call_arrived(turn &t, call_arrived &e);
void on_call_abandoned(turn &t, call_ref id);
void expire_calls(turn &t);
void cancel_call(turn &t, call_ref id);
void take_call(turn &t, pending_call &&call);

// attempt.cpp: sending calls to upstreams, and their replies
void start_call(turn &t, call_ref id);
/// Retries the calls that wait for an upstream.
void start_waiting_calls(turn &t);
void send_attempt(turn &t, pending_call &call, const std::string &upstream, std::uint32_t share);
void on_reply(turn &t, const std::string &from, wire::reply_message &reply);
void on_peer_unreachable(turn &t, const peer_unreachable &e);

// answer.cpp: completion of calls
void finish_call(turn &t, call_ref id, wire::reply_message &reply);
void refuse_call(turn &t, call_ref id, wire::refusal why, const std::string &by);
void forget_call(turn &t, pending_call &call);
wire::reply_message refusal_reply(wire::refusal why, const std::string &by);

// serve.cpp: calls that run on the local worker
void on_call(turn &t, const std::string &from, wire::call_message &call);
void on_cancel(turn &t, const std::string &from, std::uint64_t correlation);
void on_worker_answered(turn &t, worker_answered &e);
void expire_runs(turn &t);
void refuse_overdue(turn &t);
void on_origin_lost(turn &t, const std::string &origin);
std::string print_context(const node &n, run_ref run);
std::optional<run_ref> parse_context(const node &n, const std::string &context);

// admission.cpp: admission control of the local worker
void on_level_tick(turn &t);
std::optional<wire::refusal> reason_to_refuse(turn &t, const wire::call_message &call);
std::optional<std::string> refused_at_entry(turn &t, const wire::call_message &call);
void learn_from(turn &t, const pending_call &call, const wire::reply_message &reply);
duration expected_wait(const node &n);
priority priority_of(const wire::call_message &it);
waiting_run waiting_of(const node &n, const active_run &run);

// control.cpp: answers of the platform, worker registration and shutdown
void on_control_tick(turn &t);
void on_platform_answered(turn &t, platform_answered &e);
void on_worker_announced(turn &t, const worker_announced &e);
/// Announces this node as alive once the local worker has registered and a
/// bundle is in force.
void offer_own_worker(turn &t);
void on_worker_leaving(turn &t);
void on_stop_requested(turn &t);
/// \returns whether the node accepts calls of callers; true for a short time after a stop request
bool takes_callers(const node &n, time_point now);
void on_control_frame(turn &t, wire::frame_message &frame);
void finish_stop(turn &t);

// member_control.cpp: membership
void on_member_tick(turn &t);
void on_member_frame(turn &t, wire::frame_message &frame);
void on_lease_answer(turn &t, const platform_answer &answer);
void on_scan_answer(turn &t, const platform_answer &answer);
void set_own_state(turn &t, wire::member_state state);
void on_step_time(turn &t);
void on_member_unreachable(turn &t, const std::string &instance);
void on_worker_end(turn &t, worker_end end);
void on_worker_checked(turn &t, const worker_checked &e);
void check_silent_worker(turn &t);

// bundle_control.cpp: bundles
void on_bundle_tick(turn &t);
void on_bundle_frame(turn &t, wire::frame_message &frame);
void on_head_answer(turn &t, const platform_answer &answer);
void on_bundle_row(turn &t, const platform_answer &answer);
void on_bundle_object(turn &t, const platform_answer &answer);

// once_control.cpp: non-idempotent calls
void on_key_asked(turn &t, call_ref id);
void on_once_tick(turn &t);
void take_once_call(turn &t, call_ref id);
void end_once_call(turn &t, const pending_call &call, wire::reply_message &reply);
void on_call_to_issuer(turn &t, const std::string &from, wire::call_message &call);
void take_batch_answer(turn &t, std::uint64_t batch, const platform_answer &answer);
void on_claim_read(turn &t, platform_ref request, const platform_answer &answer);
bool runs_on_without_caller(const pending_call &call);

// claim_control.cpp: writing of claims in groups per zone
void flush_claims(turn &t);
void on_claim_commit(turn &t, platform_ref request, const platform_answer &answer);
void expire_forwarded(turn &t);
void on_claim_frame(turn &t, wire::frame_message &frame);
void on_claim_writer_gone(turn &t, const std::string &instance);

// explain.cpp: descriptions of refusals, read by `gullstall explain`
std::string describe_refusal(const node &n, const pending_call &call,
                             const wire::reply_message &reply);
std::string describe_unready(const node &n, const caller_call &asked, wire::refusal why);

// suspect_control.cpp: requests suspected of crashing workers
std::string suspect_id_of(const caller_call &asked);
bool refuses_suspect(turn &t, wire::call_message &request);
void on_run_lost(turn &t, const active_run &run);
void on_run_answered(turn &t, const active_run &run);
void on_attempt_lost(turn &t, pending_call &call, const std::string &instance);
void on_suspect_tick(turn &t);
void on_suspect_frame(turn &t, wire::frame_message &frame);
bool runs_alone(const node &n, const wire::call_message &call);

// admin.cpp: pages of the admin port
void on_admin_asked(turn &t, const admin_asked &e);

// send.cpp: helpers that emit actions
void send_to(turn &t, const std::string &instance, wire::frame_message frame);
/// Sends to a node that may not be a known member: over the connection it opened,
/// or to the address \a to when \a instance is empty.
void send_to_address(turn &t, const std::string &instance, const endpoint &to,
                     wire::frame_message frame);
platform_ref ask(turn &t, platform_purpose purpose, platform_request what);
void log(turn &t, write_log::severity level, const char *part, std::string text);
std::uint64_t next_id(node &n);
member own_member(const node &n);

template <class Message>
wire::frame_message frame_of(Message message)
{
    wire::frame_message out;
    out.payload.Set(std::move(message));
    return out;
}

}  // namespace gullstall::internal

#endif
