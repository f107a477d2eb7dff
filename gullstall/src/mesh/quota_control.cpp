#include "gullstall/src/mesh/quota_control.hpp"

#include <algorithm>

#include "gullstall/src/mesh/entry_answers.hpp"
#include "gullstall/src/mesh/quota_handover.hpp"
#include "gullstall/src/mesh/quota_keeper.hpp"

namespace gullstall::mesh {

using mesh_wire::reason;

namespace {

/// Time after which an unanswered ask is repeated.
constexpr duration ask_timeout = milliseconds(250);

/// Longest wait of a request for a token. Longer than the detection of a lost keeper.
constexpr duration max_token_wait = milliseconds(900);

/// Maximum number of customers that are counted by name.
constexpr std::size_t max_counted_customers = 100;

void refuse_over_quota(mesh_turn &t, call_ref id, duration retry_after)
{
    entry_call &call = t.n.calls.at(id);
    call.quota_retry_after = retry_after;
    std::map<std::string, std::uint64_t> &refused = t.n.quotas.refused;
    bool is_counted = refused.size() < max_counted_customers || refused.count(call.call.customer);
    ++refused[is_counted ? call.call.customer : "other"];
    fail_call(t, id, reason::over_quota);
}

bool is_waiting(const mesh_node &n, call_ref id)
{
    auto found = n.calls.find(id);
    return found != n.calls.end() && found->second.waits_for_token;
}

/// Sorts the waiting calls by priority, those of the same priority by arrival, and removes
/// those that have ended.
void tidy_queue(const mesh_node &n, quota_queue &queue)
{
    std::erase_if(queue.calls, [&](call_ref id) { return !is_waiting(n, id); });
    std::stable_sort(queue.calls.begin(), queue.calls.end(), [&](call_ref a, call_ref b) {
        return n.calls.at(a).call.priority < n.calls.at(b).call.priority;
    });
}

void admit_with_token(mesh_turn &t, call_ref id, time_point asked_at)
{
    entry_call &call = t.n.calls.at(id);
    call.waits_for_token = false;
    call.token_asked_at = asked_at;
    place_admitted_call(t, id);
}

void send_to_keeper(mesh_turn &t, const std::string &keeper, mesh_wire::quota_ask_message &&ask)
{
    if (keeper == t.n.settings.node.name) {
        handle_quota_ask(t, local_link, ask);
        return;
    }
    t.out.emplace_back(send_to_node{keeper, mesh_frame(std::move(ask))});
}

/// Asks the keeper for a token for each waiting call, if any is left.
void ask_keeper(mesh_turn &t, const std::string &customer_name, quota_queue &queue)
{
    tidy_queue(t.n, queue);
    if (queue.calls.empty()) {
        return;
    }
    queue.keeper = choose_quota_keeper(t.n.quotas.members.zone, customer_name);
    queue.asked_at = t.now;
    queue.asked_tokens = static_cast<std::uint32_t>(queue.calls.size());
    mesh_wire::quota_ask_message ask;
    ask.customer = customer_name;
    ask.tokens = queue.asked_tokens;
    ask.asked_us = frame_time_us(t.now);
    ask.priority = static_cast<std::uint16_t>(t.n.calls.at(queue.calls.front()).call.priority);
    // The answer of the local keeper clears the name before the call returns.
    send_to_keeper(t, std::string(queue.keeper), std::move(ask));
}

/// Refuses the calls of an answered ask that got no token: the least urgent, latest ones.
void refuse_calls(mesh_turn &t, quota_queue &queue, std::uint32_t count, duration retry_after)
{
    for (; count > 0 && !queue.calls.empty(); --count) {
        call_ref id = queue.calls.back();
        queue.calls.pop_back();
        refuse_over_quota(t, id, retry_after);
    }
}

void add_spare_tokens(quota_queue &queue, std::uint32_t tokens, time_point asked_at)
{
    queue.spare_asked_at = queue.spare == 0 ? asked_at : std::min(queue.spare_asked_at, asked_at);
    queue.spare += tokens;
}

/// Admits waiting calls with the tokens of an ask, those that were received before it: the keeper
/// has counted the tokens when it got the ask, which may be long ago.
/// \returns the number of tokens left
std::uint32_t use_tokens(mesh_turn &t, quota_queue &queue, std::uint32_t tokens,
                         time_point asked_at)
{
    tidy_queue(t.n, queue);
    for (call_ref id : std::vector<call_ref>(queue.calls)) {
        if (tokens > 0 && is_waiting(t.n, id) && t.n.calls.at(id).received_at <= asked_at) {
            std::erase(queue.calls, id);
            --tokens;
            admit_with_token(t, id, asked_at);
        }
    }
    return tokens;
}

/// \returns when the tokens of a grant were asked for
/// \param otherwise for a grant of a node that does not tell
time_point asked_time(const mesh_wire::quota_grant_message &grant, time_point otherwise)
{
    return grant.asked_us == 0 ? otherwise : time_point(duration(grant.asked_us));
}

void on_grant(mesh_turn &t, const std::string &customer_name, quota_queue &queue,
              const mesh_wire::quota_grant_message &grant)
{
    std::uint32_t asked = queue.asked_tokens;
    time_point asked_at = asked_time(grant, queue.asked_at);
    add_spare_tokens(queue, use_tokens(t, queue, grant.tokens, asked_at), asked_at);
    if (asked_at != queue.asked_at) {
        return;  // the ask has been repeated
    }
    queue.keeper.clear();
    if (!grant.known) {
        return;  // asked again on the next tick
    }
    std::uint32_t missing = asked - std::min(asked, grant.tokens);
    refuse_calls(t, queue, missing, duration(static_cast<std::int64_t>(grant.retry_after_us)));
    if (!queue.calls.empty()) {
        ask_keeper(t, customer_name, queue);
    }
}

/// Sends spare tokens back to the keeper. They are not kept for later requests: the keeper counts
/// them for the window in which it granted them.
void return_spare_tokens(mesh_turn &t, const std::string &customer_name, quota_queue &queue)
{
    mesh_wire::quota_ask_message ask;
    ask.customer = customer_name;
    ask.returned = std::exchange(queue.spare, 0);
    ask.returned_age_us = static_cast<std::uint64_t>((t.now - queue.spare_asked_at).count());
    send_to_keeper(t, choose_quota_keeper(t.n.quotas.members.zone, customer_name), std::move(ask));
}

/// Refuses calls that have waited too long. They may be within the quota: the keeper has
/// not answered.
void refuse_unanswered(mesh_turn &t, quota_queue &queue)
{
    tidy_queue(t.n, queue);
    for (call_ref id : std::vector<call_ref>(queue.calls)) {
        if (t.now - t.n.calls.at(id).received_at >= max_token_wait) {
            fail_call(t, id, reason::quota_unknown);
        }
    }
    tidy_queue(t.n, queue);
}

}  // namespace

bool obtain_token(mesh_turn &t, call_ref id)
{
    entry_call &call = t.n.calls.at(id);
    const std::string name = call.call.customer;
    const customer *who = name.empty() ? nullptr : find_limited_customer(t.n, name);
    if (who == nullptr) {
        return true;
    }
    quota_queue &queue = t.n.quotas.queues[name];
    call.waits_for_token = true;
    queue.calls.push_back(id);
    if (queue.keeper.empty()) {
        ask_keeper(t, name, queue);
    }
    return false;
}

void return_token(mesh_turn &t, const entry_call &call)
{
    if (call.token_asked_at) {
        add_spare_tokens(t.n.quotas.queues[call.call.customer], 1, *call.token_asked_at);
    }
}

void handle_quota_grant(mesh_turn &t, const std::string &from,
                        const mesh_wire::quota_grant_message &grant)
{
    auto node = t.n.nodes.nodes.find(from);
    bool is_loan =
        node != t.n.nodes.nodes.end() && node->second.address.zone != t.n.settings.node.zone;
    if (is_loan) {
        const customer *who = find_limited_customer(t.n, grant.customer);
        if (who != nullptr && grant.tokens > 0) {
            deposit_loan(t, *who, grant.tokens, asked_time(grant, t.now - loan_time));
        }
        return;
    }
    auto found = t.n.quotas.queues.find(grant.customer);
    if (found == t.n.quotas.queues.end()) {
        return;
    }
    quota_queue &queue = found->second;
    if (queue.keeper == from) {
        on_grant(t, grant.customer, queue, grant);
        return;
    }
    // Of an ask that was repeated elsewhere.
    time_point asked_at = asked_time(grant, t.now - max_token_wait);
    add_spare_tokens(queue, use_tokens(t, queue, grant.tokens, asked_at), asked_at);
}

void quota_tick(mesh_turn &t)
{
    update_quota_members(t);
    forget_old_histories(t);
    std::vector<std::string> names;
    for (const auto &[name, queue] : t.n.quotas.queues) {
        names.push_back(name);
    }
    for (const std::string &name : names) {
        quota_queue &queue = t.n.quotas.queues.at(name);
        refuse_unanswered(t, queue);
        bool is_moved = choose_quota_keeper(t.n.quotas.members.zone, name) != queue.keeper;
        if (!queue.calls.empty() && (is_moved || t.now - queue.asked_at >= ask_timeout)) {
            ask_keeper(t, name, queue);
        }
        if (queue.spare > 0) {
            return_spare_tokens(t, name, queue);
        }
        if (queue.calls.empty() && queue.spare == 0 && queue.keeper.empty()) {
            t.n.quotas.queues.erase(name);
        }
    }
}

}  // namespace gullstall::mesh
