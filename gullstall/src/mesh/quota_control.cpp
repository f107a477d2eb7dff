#include "gullstall/src/mesh/quota_control.hpp"

#include <algorithm>
#include <cmath>

#include "gullstall/src/mesh/entry_answers.hpp"
#include "gullstall/src/mesh/zone_duty.hpp"

namespace gullstall::mesh {

using mesh_wire::reason;

namespace {

/// Time after which an unanswered ask is repeated.
constexpr duration ask_timeout = milliseconds(250);

/// Longest wait of a request for a token. Longer than the detection of a lost keeper.
constexpr duration max_token_wait = milliseconds(900);

/// Time for which spare tokens are kept for the next request before they are returned.
constexpr duration spare_time = milliseconds(200);

/// Age up to which unused tokens are returned. Older ones count for the window in which
/// they were granted.
constexpr duration max_return_age = milliseconds(500);

/// Interval between asks of a keeper to those of other zones for the same customer.
constexpr duration borrow_interval = milliseconds(100);

/// Fraction of the burst below which a keeper asks those of other zones for tokens, and the
/// fraction of the limit that it asks for.
constexpr double borrow_below = 0.1;
constexpr double borrowed_fraction = 0.1;

/// Fraction of the burst that a keeper retains when it lends tokens.
constexpr double lending_reserve = 0.25;

/// Fraction of the burst that is kept for each more urgent class, where the requests of a
/// customer differ in priority.
constexpr double class_reserve = 0.1;
constexpr std::uint32_t max_reserved_classes = 3;

/// Minimum interval of log lines about the same customer at its keeper.
constexpr duration report_interval = seconds(1);

/// Maximum number of customers that are counted by name.
constexpr std::size_t max_counted_customers = 100;

const customer *find_limited_customer(const mesh_node &n, const std::string &name)
{
    const customer *who = n.policy ? find_customer_by_name(n.policy->customers, name) : nullptr;
    return who != nullptr && who->quota.rate_per_s > 0 ? who : nullptr;
}

/// \returns the limits of this node as a keeper
quota_limits limits_of(const mesh_node &n, const customer &who)
{
    const auto &limits = n.settings.limits;
    quota_terms terms{from_seconds(limits.quota_window_s), limits.quota_overage,
                      limits.quota_slack};
    return keeper_limits(who.quota, terms, quota_share(n.quotas.members));
}

const std::string &own_name(const mesh_node &n)
{
    return n.settings.node.name;
}

bool is_keeper(const mesh_node &n, const std::string &customer_name)
{
    return choose_quota_keeper(n.quotas.members.zone, customer_name) == own_name(n);
}

/// \returns the tokens that a request of this priority leaves to more urgent ones
double reserve_for(const customer &who, const quota_limits &limits, std::uint32_t priority)
{
    if (who.priority) {
        return 0;  // all requests of the customer have the same priority
    }
    return class_reserve * std::min(priority, max_reserved_classes) * limits.burst;
}

/// Asks the keeper of another zone for tokens, the zones in turn.
void borrow_tokens(mesh_turn &t, const customer &who, quota_account &account,
                   const quota_limits &limits)
{
    const auto &zones = t.n.quotas.other_zones;
    if (zones.empty() || t.now - account.borrowed_at < borrow_interval) {
        return;
    }
    account.borrowed_at = t.now;
    auto turn = static_cast<std::size_t>(t.now.time_since_epoch() / borrow_interval) % zones.size();
    auto zone = std::next(zones.begin(), static_cast<std::ptrdiff_t>(turn));
    mesh_wire::quota_ask_message ask;
    ask.customer = who.name;
    ask.tokens = static_cast<std::uint32_t>(std::ceil(borrowed_fraction * limits.in_window));
    ask.limited = true;
    t.out.emplace_back(
        send_to_node{choose_quota_keeper(zone->second, who.name), mesh_frame(std::move(ask))});
}

/// Logs that a customer has used up its quota, with what the decision rests on.
void report_exhaustion(mesh_turn &t, const customer &who, quota_account &account,
                       const quota_limits &limits)
{
    if (t.now - account.reported_at < report_interval) {
        return;
    }
    account.reported_at = t.now;
    const quota_members &members = t.n.quotas.members;
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "quota",
                                  "quota-used-up",
                                  {{"customer", who.name},
                                   {"policy", std::to_string(t.n.policy->version)},
                                   {"rate_per_s", std::to_string(who.quota.rate_per_s)},
                                   {"burst", std::to_string(who.quota.burst)},
                                   {"in_window", std::to_string(account.sum)},
                                   {"limit", std::to_string(limits.in_window)},
                                   {"tokens", std::to_string(account.tokens)},
                                   {"reachable_in_zone", std::to_string(members.zone.size())},
                                   {"known_nodes", std::to_string(members.known)}}});
}

token_grant grant_tokens(mesh_turn &t, const customer &who, const token_request &request)
{
    quota_limits limits = limits_of(t.n, who);
    quota_account &account = open_account(t.n.quotas.ledger, who.name, limits, t.now);
    token_grant out = draw_tokens(account, limits, request);
    if (available_tokens(account, limits) < std::max(1.0, borrow_below * limits.burst)) {
        borrow_tokens(t, who, account, limits);
    }
    if (out.tokens < request.tokens) {
        report_exhaustion(t, who, account, limits);
    }
    return out;
}

void deposit_tokens(mesh_turn &t, const customer &who, std::uint32_t tokens)
{
    add_tokens(open_account(t.n.quotas.ledger, who.name, limits_of(t.n, who), t.now), tokens);
}

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

void admit_with_token(mesh_turn &t, call_ref id)
{
    entry_call &call = t.n.calls.at(id);
    call.waits_for_token = false;
    call.token_at = t.now;
    place_admitted_call(t, id);
}

void send_to_keeper(mesh_turn &t, const std::string &keeper, mesh_wire::quota_ask_message &&ask)
{
    if (keeper == own_name(t.n)) {
        handle_quota_ask(t, local_link, ask);
        return;
    }
    t.out.emplace_back(send_to_node{keeper, mesh_frame(std::move(ask))});
}

/// Asks the keeper for a token for each waiting call.
void ask_keeper(mesh_turn &t, const std::string &customer_name, quota_queue &queue)
{
    queue.keeper = choose_quota_keeper(t.n.quotas.members.zone, customer_name);
    queue.asked_at = t.now;
    queue.asked_tokens = static_cast<std::uint32_t>(queue.calls.size());
    mesh_wire::quota_ask_message ask;
    ask.customer = customer_name;
    ask.tokens = queue.asked_tokens;
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

void use_spare_tokens(mesh_turn &t, quota_queue &queue)
{
    tidy_queue(t.n, queue);
    while (queue.spare > 0 && !queue.calls.empty()) {
        call_ref id = queue.calls.front();
        queue.calls.erase(queue.calls.begin());
        --queue.spare;
        admit_with_token(t, id);
    }
    queue.spare_since = t.now;
}

void on_grant(mesh_turn &t, const std::string &customer_name, quota_queue &queue,
              const mesh_wire::quota_grant_message &grant)
{
    std::uint32_t asked = queue.asked_tokens;
    queue.keeper.clear();
    queue.spare += grant.tokens;
    use_spare_tokens(t, queue);
    if (!grant.known) {
        return;  // asked again on the next tick
    }
    std::uint32_t missing = asked - std::min(asked, grant.tokens);
    refuse_calls(t, queue, missing, duration(static_cast<std::int64_t>(grant.retry_after_us)));
    if (!queue.calls.empty()) {
        ask_keeper(t, customer_name, queue);
    }
}

/// Sends spare tokens back to the keeper.
void return_spare_tokens(mesh_turn &t, const std::string &customer_name, quota_queue &queue)
{
    mesh_wire::quota_ask_message ask;
    ask.customer = customer_name;
    ask.returned = std::exchange(queue.spare, 0);
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

bool takes_part(const node_view &it, time_point now)
{
    return is_responsive(it, now) && it.status.keeps_quotas;
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
    if (queue.spare > 0 && queue.calls.empty()) {
        --queue.spare;
        call.token_at = t.now;
        return true;
    }
    call.waits_for_token = true;
    queue.calls.push_back(id);
    if (queue.keeper.empty()) {
        ask_keeper(t, name, queue);
    }
    return false;
}

void return_token(mesh_turn &t, const entry_call &call)
{
    if (!call.token_at || t.now - *call.token_at > max_return_age) {
        return;
    }
    quota_queue &queue = t.n.quotas.queues[call.call.customer];
    queue.spare_since = queue.spare == 0 ? t.now : queue.spare_since;
    ++queue.spare;
}

void handle_quota_ask(mesh_turn &t, link_ref link, const mesh_wire::quota_ask_message &ask)
{
    mesh_wire::quota_grant_message reply;
    reply.customer = ask.customer;
    const customer *who = find_limited_customer(t.n, ask.customer);
    if (who == nullptr && t.n.policy &&
        find_customer_by_name(t.n.policy->customers, ask.customer)) {
        reply.known = true;  // the limit has been lifted
        reply.tokens = ask.tokens;
    } else if (who != nullptr && is_keeper(t.n, ask.customer)) {
        if (ask.returned > 0) {
            deposit_tokens(t, *who, ask.returned);
        }
        quota_limits limits = limits_of(t.n, *who);
        double reserve =
            ask.limited ? lending_reserve * limits.burst : reserve_for(*who, limits, ask.priority);
        token_grant granted = grant_tokens(t, *who, token_request{ask.tokens, reserve});
        reply.known = true;
        reply.tokens = granted.tokens;
        reply.retry_after_us = static_cast<std::uint64_t>(granted.retry_after.count());
    }
    if (ask.tokens == 0) {
        return;
    }
    if (link == local_link) {
        handle_quota_grant(t, own_name(t.n), reply);
        return;
    }
    t.out.emplace_back(send_to_link{link, mesh_frame(std::move(reply))});
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
            deposit_tokens(t, *who, grant.tokens);
        }
        return;
    }
    auto found = t.n.quotas.queues.find(grant.customer);
    if (found == t.n.quotas.queues.end()) {
        return;
    }
    if (found->second.keeper == from) {
        on_grant(t, grant.customer, found->second, grant);
    } else {
        found->second.spare += grant.tokens;  // of an ask that was repeated elsewhere
    }
}

void update_quota_members(mesh_turn &t)
{
    quota_members seen;
    seen.known = 0;
    std::map<std::string, std::vector<std::string>> others;
    for (const auto &[name, view] : t.n.nodes.nodes) {
        bool is_self = name == own_name(t.n);
        bool has_left = view.status.stopping || view.status.stop_asked;
        seen.known += is_self || !has_left ? 1 : 0;
        if (is_self ? !t.n.stopping : takes_part(view, t.now)) {
            bool is_own_zone = view.address.zone == t.n.settings.node.zone;
            (is_own_zone ? seen.zone : others[view.address.zone]).push_back(name);
        }
    }
    if (seen.zone.empty()) {
        seen.zone.push_back(own_name(t.n));
    }
    quota_state &quotas = t.n.quotas;
    quotas.other_zones = std::move(others);
    bool is_same_zone = seen.zone == quotas.members.zone;
    quotas.members = std::move(seen);
    if (is_same_zone) {
        return;
    }
    quotas.ledger.members_since = t.now;
    std::erase_if(quotas.ledger.accounts,
                  [&](const auto &entry) { return !is_keeper(t.n, entry.first); });
}

void quota_tick(mesh_turn &t)
{
    update_quota_members(t);
    std::vector<std::string> names;
    for (const auto &[name, queue] : t.n.quotas.queues) {
        names.push_back(name);
    }
    for (const std::string &name : names) {
        quota_queue &queue = t.n.quotas.queues.at(name);
        refuse_unanswered(t, queue);
        if (queue.spare > 0 && !queue.calls.empty()) {
            use_spare_tokens(t, queue);
        }
        bool is_moved = choose_quota_keeper(t.n.quotas.members.zone, name) != queue.keeper;
        if (!queue.calls.empty() && (is_moved || t.now - queue.asked_at >= ask_timeout)) {
            ask_keeper(t, name, queue);
        }
        if (queue.spare > 0 && t.now - queue.spare_since >= spare_time) {
            return_spare_tokens(t, name, queue);
        }
        if (queue.calls.empty() && queue.spare == 0 && queue.keeper.empty()) {
            t.n.quotas.queues.erase(name);
        }
    }
}

}  // namespace gullstall::mesh
