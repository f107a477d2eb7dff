#include "gullstall/src/mesh/quota_handover.hpp"

namespace gullstall::mesh {

namespace {

/// Time for which a history is kept for an account that is not open yet. Its receiver may hear
/// later than its sender that the members of the zone have changed.
constexpr duration max_history_age = seconds(1);

/// Maximum number of histories that are kept.
constexpr std::size_t max_histories = 1000;

/// Smallest share of a history, as a fraction of the account's, that is worth more than the
/// assumption that all of the window is used.
constexpr double min_told_share = 0.5;

std::unique_ptr<mesh_wire::quota_history_message> to_message(const quota_history &it)
{
    auto out = std::make_unique<mesh_wire::quota_history_message>();
    out->share = it.share;
    out->tokens = it.tokens;
    out->used.assign(it.used.begin(), it.used.end());
    return out;
}

quota_history from_message(const mesh_wire::quota_history_message &it)
{
    return quota_history{it.share, it.tokens, {it.used.begin(), it.used.end()}};
}

}  // namespace

void pass_on_account(mesh_turn &t, const std::string &customer, const quota_account &account)
{
    mesh_wire::quota_ask_message message;
    message.customer = customer;
    message.history = to_message(history_of(account));
    t.out.emplace_back(send_to_node{choose_quota_keeper(t.n.quotas.members.zone, customer),
                                    mesh_frame(std::move(message))});
}

void handle_quota_history(mesh_turn &t, const std::string &customer,
                          const mesh_wire::quota_history_message &message)
{
    quota_history history = from_message(message);
    auto &histories = t.n.quotas.histories;
    bool has_room = histories.size() < max_histories || histories.count(customer) > 0;
    if (is_valid(history) && has_room) {
        histories[customer] = told_history{std::move(history), t.now};
    }
}

void apply_history(mesh_turn &t, const std::string &customer, const quota_limits &limits,
                   quota_account &account)
{
    auto found = t.n.quotas.histories.find(customer);
    if (found == t.n.quotas.histories.end()) {
        return;
    }
    told_history told = std::move(found->second);
    t.n.quotas.histories.erase(found);
    if (!account.is_untouched || told.history.share < min_told_share * limits.share) {
        return;
    }
    adopt_history(account, told.history);
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "quota",
                                  "quota-account-passed-on",
                                  {{"customer", customer},
                                   {"age_ms", std::to_string(to_ms(t.now - told.at))},
                                   {"in_window", std::to_string(account.sum)},
                                   {"limit", std::to_string(limits.in_window)},
                                   {"tokens", std::to_string(account.tokens)}}});
}

void forget_old_histories(mesh_turn &t)
{
    std::erase_if(t.n.quotas.histories,
                  [&](const auto &entry) { return t.now - entry.second.at >= max_history_age; });
}

}  // namespace gullstall::mesh
