#include "gullstall/src/mesh/quota_keeper.hpp"

#include <algorithm>
#include <cmath>

#include "gullstall/src/mesh/quota_control.hpp"
#include "gullstall/src/mesh/quota_handover.hpp"
#include "gullstall/src/mesh/zone_duty.hpp"

namespace gullstall::mesh {

namespace {

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

/// Time after the start before a node takes itself for the only one of its zone.
constexpr duration lone_keeper_delay = milliseconds(800);

/// Time for which returned tokens are assumed to be under way.
constexpr duration max_return_delay = milliseconds(100);

/// Minimum interval of log lines about the same customer at its keeper.
constexpr duration report_interval = seconds(1);

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

/// Counts tokens of an account and of the node.
void count_tokens(mesh_turn &t, quota_account &account, std::uint64_t quota_flow::*kind,
                  std::uint32_t tokens)
{
    account.flow.*kind += tokens;
    t.n.quotas.flow.*kind += tokens;
}

/// \returns the customer's account as of now; opens it if this node has none
quota_account &account_of(mesh_turn &t, const customer &who)
{
    quota_ledger &ledger = t.n.quotas.ledger;
    bool is_new = ledger.accounts.count(who.name) == 0;
    quota_limits limits = limits_of(t.n, who);
    quota_account &out = open_account(ledger, who.name, limits, t.now);
    if (is_new) {
        t.out.emplace_back(
            write_line{write_line::severity::info,
                       "quota",
                       "quota-account-opened",
                       {{"customer", who.name},
                        {"members_since_ms", std::to_string(to_ms(t.now - ledger.members_since))},
                        {"in_window", std::to_string(out.sum)},
                        {"limit", std::to_string(limits.in_window)},
                        {"tokens", std::to_string(out.tokens)}}});
    }
    apply_history(t, who.name, limits, out);
    return out;
}

/// \returns whether the node hears others of its zone, or has run for long enough to take itself
/// for the only one. Its callers wait until then, rather than being refused by its small share.
bool knows_zone(const mesh_turn &t)
{
    return t.n.quotas.members.zone.size() > 1 || t.now - t.n.started_at >= lone_keeper_delay;
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
    ask.asked_us = frame_time_us(t.now);
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
                                   {"granted", std::to_string(account.flow.granted)},
                                   {"lent", std::to_string(account.flow.lent)},
                                   {"borrowed", std::to_string(account.flow.borrowed)},
                                   {"returned", std::to_string(account.flow.returned)},
                                   {"reachable_in_zone", std::to_string(members.zone.size())},
                                   {"known_nodes", std::to_string(members.known)}}});
}

token_grant grant_tokens(mesh_turn &t, const customer &who, const token_request &request)
{
    quota_limits limits = limits_of(t.n, who);
    quota_account &account = account_of(t, who);
    token_grant out = draw_tokens(account, limits, request);
    count_tokens(t, account, request.is_loan ? &quota_flow::lent : &quota_flow::granted,
                 out.tokens);
    if (available_tokens(account, limits) < std::max(1.0, borrow_below * limits.burst)) {
        borrow_tokens(t, who, account, limits);
    }
    if (out.tokens < request.tokens) {
        report_exhaustion(t, who, account, limits);
    }
    return out;
}

void take_back_tokens(mesh_turn &t, const customer &who, std::uint32_t tokens, duration age)
{
    quota_account &account = account_of(t, who);
    return_tokens(account, limits_of(t.n, who).window, tokens, age + max_return_delay);
    count_tokens(t, account, &quota_flow::returned, tokens);
}

/// Passes on the accounts that other nodes keep now, and applies the share of this node to its
/// own ones at once, so that a customer which comes back later finds the tokens gathered since.
void update_accounts(mesh_turn &t)
{
    auto &accounts = t.n.quotas.ledger.accounts;
    for (auto it = accounts.begin(); it != accounts.end();) {
        const customer *who = find_limited_customer(t.n, it->first);
        bool is_kept = is_keeper(t.n, it->first);
        if (who != nullptr) {
            open_account(t.n.quotas.ledger, it->first, limits_of(t.n, *who), t.now);
        }
        if (who != nullptr && !is_kept) {
            pass_on_account(t, it->first, it->second);
        }
        it = is_kept ? std::next(it) : accounts.erase(it);
    }
}

/// Logs the members among which the quotas are divided, and which customers have left.
void report_members(mesh_turn &t, std::size_t accounts_before)
{
    const quota_members &members = t.n.quotas.members;
    std::size_t accounts = t.n.quotas.ledger.accounts.size();
    std::string names;
    for (const std::string &it : members.zone) {
        names += it + '/';
    }
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "quota",
                                  "quota-members",
                                  {{"reachable_in_zone", std::to_string(members.zone.size())},
                                   {"known_nodes", std::to_string(members.known)},
                                   {"members_hash", std::to_string(hash_text(names))},
                                   {"accounts", std::to_string(accounts)},
                                   {"moved", std::to_string(accounts_before - accounts)}}});
}

bool takes_part(const node_view &it, time_point now)
{
    return is_responsive(it, now) && it.status.keeps_quotas;
}

}  // namespace

const customer *find_limited_customer(const mesh_node &n, const std::string &name)
{
    const customer *who = n.policy ? find_customer_by_name(n.policy->customers, name) : nullptr;
    return who != nullptr && who->quota.rate_per_s > 0 ? who : nullptr;
}

void deposit_loan(mesh_turn &t, const customer &who, std::uint32_t tokens, time_point asked_at)
{
    quota_account &account = account_of(t, who);
    add_loan(account, tokens, asked_at + loan_time);
    count_tokens(t, account, &quota_flow::borrowed, tokens);
}

void handle_quota_ask(mesh_turn &t, link_ref link, const mesh_wire::quota_ask_message &ask)
{
    mesh_wire::quota_grant_message reply;
    reply.customer = ask.customer;
    reply.asked_us = ask.asked_us;
    if (ask.history) {
        handle_quota_history(t, ask.customer, *ask.history);
        return;
    }
    const customer *who = find_limited_customer(t.n, ask.customer);
    if (who == nullptr && t.n.policy &&
        find_customer_by_name(t.n.policy->customers, ask.customer)) {
        reply.known = true;  // the limit has been lifted
        reply.tokens = ask.tokens;
    } else if (who != nullptr && is_keeper(t.n, ask.customer) && knows_zone(t)) {
        if (ask.returned > 0) {
            take_back_tokens(t, *who, ask.returned,
                             duration(static_cast<std::int64_t>(ask.returned_age_us)));
        }
        quota_limits limits = limits_of(t.n, *who);
        double reserve =
            ask.limited ? lending_reserve * limits.burst : reserve_for(*who, limits, ask.priority);
        token_grant granted =
            grant_tokens(t, *who, token_request{ask.tokens, reserve, ask.limited});
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
    if (seen == quotas.members) {
        return;
    }
    if (seen.zone != quotas.members.zone) {
        quotas.ledger.members_since = t.now;
        ++quotas.member_changes;
    }
    quotas.members = std::move(seen);
    std::size_t accounts = quotas.ledger.accounts.size();
    update_accounts(t);
    if (accounts > 0) {
        report_members(t, accounts);
    }
}

}  // namespace gullstall::mesh
