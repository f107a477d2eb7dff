#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// Set in the ids of calls that another node forwarded to the issuer of their
/// key, so that they never equal an id assigned by the callers' port.
constexpr std::uint64_t issuer_call_bit = 1ULL << 63U;
constexpr std::uint16_t http_ok = 200;

wire::reply_message reply_from_row(const claim_row &row)
{
    wire::reply_message out;
    switch (row.state) {
        case wire::claim_state::ran:
            out.outcome = wire::outcome::ran;
            out.status = row.status;
            out.content_type = row.content_type;
            out.body = row.body;
            out.refusal = row.body_kept ? wire::refusal::none : wire::refusal::answer_not_kept;
            return out;
        case wire::claim_state::released:
            out.outcome = wire::outcome::not_run;
            out.refusal = row.refusal;
            return out;
        case wire::claim_state::unknown:
            out.outcome = wire::outcome::unknown;
            out.refusal = row.refusal;
            return out;
        case wire::claim_state::claimed:
            break;  // the holder of the claim did not record the outcome in time
    }
    out.outcome = wire::outcome::unknown;
    out.refusal = wire::refusal::key_elsewhere;
    return out;
}

void apply_once_orders(step_context &t, once_orders &orders)
{
    for (once_order &order : orders) {
        auto found = t.n.calls.find(order.call);
        if (found == t.n.calls.end()) {
            continue;  // already answered
        }
        if (order.what == once_order::kind::run) {
            start_call(t, order.call);
            continue;
        }
        found->second.outcome_known = true;
        wire::reply_message reply;
        if (order.what == once_order::kind::remember) {
            reply = reply_from_row(order.row);
        } else {
            reply.outcome = order.outcome;
            reply.refusal = order.refusal;
        }
        reply.refused_by = reply.refusal == wire::refusal::none ? "" : t.n.settings.node.service;
        finish_call(t, order.call, reply);
    }
}

/// \returns the node that issued the key, if it is another node that still runs
/// in the incarnation named by the key
std::optional<std::string> find_other_issuer(const node &n, const std::string &key)
{
    std::optional<issued_key> parts = parse_issued_key(key);
    if (!parts || parts->instance == n.settings.node.instance ||
        !n.idempotency.guards.issuer_only) {
        return std::nullopt;
    }
    auto known = n.members.members.find(parts->instance);
    bool lives = known != n.members.members.end() &&
                 known->second.incarnation == parts->incarnation &&
                 known->second.state != wire::member_state::dead;
    return lives ? std::optional(parts->instance) : std::nullopt;
}

}  // namespace

bool continues_without_caller(const pending_call &call)
{
    // A cancelled non-idempotent call has an unknown outcome. If it runs to its
    // end, a repeat of the caller gets its answer.
    return call.request.non_idempotent && !call.request.key.empty();
}

void on_key_asked(step_context &t, call_ref id)
{
    caller_answer answer{wire::outcome::not_run,
                         wire::refusal::starting,
                         "",
                         "",
                         0,
                         0,
                         version_in_force(t.n.bundles),
                         "",
                         {}};
    if (t.n.bundles.in_force && !t.n.stopping) {
        std::string key = issue_key(t.n.idempotency, t.now);
        answer.outcome = wire::outcome::ran;
        answer.refusal = wire::refusal::none;
        answer.status = http_ok;
        answer.content_type = "text/plain";
        answer.body.assign(key.begin(), key.end());
    }
    t.out.emplace_back(answer_call{id, std::move(answer)});
}

void on_once_tick(step_context &t)
{
    if (t.n.bundles.in_force) {
        t.n.idempotency.memory = milliseconds(t.n.bundles.in_force->content.limits.key_memory_ms);
    }
    expire_forwarded(t);
    flush_claims(t);
    if (std::optional<table_read> read = next_claim_read(t.n.idempotency, t.now)) {
        platform_ref id = send_platform_request(t, platform_purpose::claim_read, *read);
        t.n.claim_reads[id] = std::move(*read);
    }
    forget_keys(t.n.idempotency, t.now);
}

void accept_once_call(step_context &t, call_ref id)
{
    pending_call &call = t.n.calls.at(id);
    if (auto issuer = find_other_issuer(t.n, call.request.key)) {
        call.request.to_issuer = true;
        std::uint32_t share = call.retries.left;
        call.retries.left = 0;
        send_attempt(t, call, *issuer, share);
        return;
    }
    const wire::call_message &request = call.request;
    once_orders orders;
    take_ticket(t.n.idempotency, request.key,
                once_ticket{id, request.attempt,
                            digest_of_request(request.service, request.operation, request.body),
                            call.deadline},
                t.now, orders);
    apply_once_orders(t, orders);
    flush_claims(t);
}

void end_once_call(step_context &t, const pending_call &call, wire::reply_message &reply)
{
    const wire::call_message &request = call.request;
    if (!request.non_idempotent || request.key.empty()) {
        return;
    }
    bool certain = call.outcome_known || holds_claim(t.n.idempotency, call.id) ||
                   knows_not_run(t.n.idempotency, request.key, request.attempt);
    if (reply.outcome == wire::outcome::not_run && !certain) {
        reply.outcome = wire::outcome::unknown;
    }
    once_orders orders;
    end_ticket(t.n.idempotency, call.id,
               once_end{reply.outcome, reply.status, reply.content_type, reply.body, reply.refusal},
               t.now, orders);
    apply_once_orders(t, orders);
    flush_claims(t);
}

void on_call_to_issuer(step_context &t, const std::string &from, wire::call_message &message)
{
    pending_call call;
    call.id = call_ref{issuer_call_bit | next_id(t.n)};
    call.origin = {from, message.correlation};
    call.taken_at = t.now;
    call.deadline = t.now + microseconds(message.left_us);
    call.retries.left = message.allowance;
    call.request = std::move(message);
    call.request.to_issuer = false;
    call.request.non_idempotent = true;
    if (!t.n.bundles.in_force) {
        // An earlier process issued the key and may have run the call.
        wire::reply_message reply =
            make_refusal_reply(wire::refusal::starting, call.request.service);
        reply.outcome = wire::outcome::unknown;
        reply.correlation = call.origin->second;
        reply.unspent = call.retries.left;
        send_to(t, from, make_frame(std::move(reply)));
        return;
    }
    accept_call(t, std::move(call));
}

void handle_batch_answer(step_context &t, std::uint64_t batch, const platform_answer &answer)
{
    once_orders orders;
    take_claim_answer(t.n.idempotency, batch, answer, t.now, orders);
    apply_once_orders(t, orders);
}

void on_claim_read(step_context &t, platform_ref request, const platform_answer &answer)
{
    auto found = t.n.claim_reads.find(request);
    table_read asked = std::move(found->second);
    t.n.claim_reads.erase(found);
    once_orders orders;
    take_claim_rows(t.n.idempotency, asked, answer, t.now, orders);
    apply_once_orders(t, orders);
    flush_claims(t);
}

}  // namespace gullstall::internal
