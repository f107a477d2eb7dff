#include "gullstall/src/quota/quota_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gullstall {

namespace {

/// Fraction of overage and slack that the keepers hand out.
constexpr double used_tolerance = 0.7;

/// Time after a change of the members in which other nodes may still ask the previous
/// keeper.
constexpr duration handover_time = milliseconds(500);

std::size_t index_of(std::int64_t slot)
{
    constexpr auto n = static_cast<std::int64_t>(slots_kept);
    return static_cast<std::size_t>((slot % n + n) % n);  // slots before the clock's origin too
}

duration slot_length(duration window)
{
    return window / slots_per_window;
}

std::int64_t slot_at(time_point at, duration window)
{
    return at.time_since_epoch() / slot_length(window);
}

/// \returns the slots that \a d covers, rounded up
std::int64_t slots_of(duration d, duration window)
{
    duration slot = slot_length(window);
    return (d + slot - duration(1)) / slot;
}

/// \returns the slots to come that \a d covers, as far as an account holds them
std::int64_t slots_ahead(duration d, duration window)
{
    return std::min(slots_of(d, window), static_cast<std::int64_t>(slots_per_window));
}

/// Forgets the slots that no window with the current one includes.
void advance(quota_account &it, std::int64_t slot)
{
    constexpr auto past_slots = static_cast<std::int64_t>(slots_per_window);
    std::int64_t oldest = it.newest - past_slots;
    std::int64_t first_kept = std::max(oldest, slot - past_slots);
    std::int64_t end = oldest + static_cast<std::int64_t>(slots_kept);
    for (std::int64_t i = oldest; i < std::min(first_kept, end); ++i) {
        it.sum -= std::exchange(it.used[index_of(i)], 0);
    }
    it.newest = std::max(it.newest, slot);
}

/// Gives up a part of the share, with what was used of it: whoever gets it counts it as used.
void give_up_share(quota_account &it, double kept_part)
{
    for (double &n : it.used) {
        n *= kept_part;
    }
    it.sum *= kept_part;
    it.tokens *= kept_part;
}

/// Counts as used the most that other nodes may have handed out from \a part of the limits, and
/// may still hand out for the handover time: for each window a burst at its end, and before it
/// tokens at the rate.
void take_over_share(quota_account &it, const quota_limits &limits, double part)
{
    double per_slot = part * limits.in_window / static_cast<double>(slots_per_window);
    double left = part * limits.in_window;
    double n = std::min(left, part * limits.burst + per_slot);
    std::int64_t last = it.newest + slots_ahead(handover_time, limits.window);
    for (std::int64_t i = last; i >= it.newest - static_cast<std::int64_t>(slots_per_window); --i) {
        it.used[index_of(i)] += n;
        it.sum += n;
        left -= n;
        n = std::min(left, per_slot);
    }
}

double own_tokens(const quota_account &it, const quota_limits &limits)
{
    return std::max(0.0, std::min(it.tokens, limits.in_window - it.sum));
}

double lent_tokens(const quota_account &it)
{
    double out = 0;
    for (const quota_loan &loan : it.loans) {
        out += loan.tokens;
    }
    return out;
}

/// Uses up to \a n tokens of loans, those that expire first.
/// \returns the number used
double use_loans(quota_account &it, double n)
{
    double used = 0;
    while (used < n && !it.loans.empty()) {
        quota_loan &loan = it.loans.front();
        double part = std::min(loan.tokens, n - used);
        used += part;
        loan.tokens -= part;
        if (loan.tokens <= 0) {
            it.loans.pop_front();
        }
    }
    return used;
}

/// Applies the share of the limits.
void update_share(quota_account &it, const quota_limits &limits)
{
    if (limits.share > it.share) {
        take_over_share(it, limits, (limits.share - it.share) / limits.share);
    } else if (limits.share < it.share) {
        give_up_share(it, limits.share / it.share);
    }
    it.share = limits.share;
}

/// \returns the time until \a missing tokens are available
duration time_until(const quota_account &it, double missing, duration window)
{
    auto slots = static_cast<std::int64_t>(slots_per_window);
    std::int64_t waited = 0;
    for (std::int64_t i = it.newest - slots; i <= it.newest + slots && missing > 0; ++i) {
        missing -= it.used[index_of(i)];
        ++waited;
    }
    return waited * slot_length(window);
}

}  // namespace

quota_limits keeper_limits(const request_quota &quota, const quota_terms &terms, double share)
{
    double factor = 1 + used_tolerance * terms.overage;
    double slack = used_tolerance * terms.slack;
    double burst = quota.burst * factor + slack;
    return quota_limits{share * (quota.rate_per_s * to_seconds(terms.window) * factor + burst),
                        share * burst, terms.window, share};
}

quota_account &open_account(quota_ledger &it, const std::string &customer,
                            const quota_limits &limits, time_point now)
{
    auto [found, is_new] = it.accounts.try_emplace(customer);
    quota_account &out = found->second;
    std::int64_t slot = slot_at(now, limits.window);
    if (is_new) {
        out.refilled_at = std::min(now, it.members_since);
        out.newest = slot_at(out.refilled_at, limits.window);
        update_share(out, limits);
    }
    advance(out, slot);
    update_share(out, limits);
    while (!out.loans.empty() && out.loans.front().expires <= now) {
        out.loans.pop_front();
    }
    double per_s = limits.in_window / to_seconds(limits.window);
    out.tokens += per_s * std::max(0.0, to_seconds(now - out.refilled_at));
    out.tokens = std::min(out.tokens, limits.burst);
    out.refilled_at = std::max(out.refilled_at, now);
    return out;
}

double available_tokens(const quota_account &it, const quota_limits &limits)
{
    return own_tokens(it, limits) + lent_tokens(it);
}

token_grant draw_tokens(quota_account &it, const quota_limits &limits, const token_request &request)
{
    double all = own_tokens(it, limits) + (request.is_loan ? 0 : lent_tokens(it));
    double available = std::floor(std::max(0.0, all - request.reserve));
    double granted = std::min(available, static_cast<double>(request.tokens));
    double own = granted - (request.is_loan ? 0 : use_loans(it, granted));
    std::int64_t slots = request.is_loan ? slots_ahead(loan_time, limits.window) : 0;
    it.used[index_of(it.newest + slots)] += own;
    it.sum += own;
    it.tokens -= own;
    it.is_untouched = it.is_untouched && own == 0;
    if (granted > 0) {
        return token_grant{static_cast<std::uint32_t>(granted), {}};
    }
    double needed = 1 + request.reserve;
    duration window_end = time_until(it, needed + it.sum - limits.in_window, limits.window);
    double per_s = limits.in_window / to_seconds(limits.window);
    duration refill = per_s > 0 ? from_seconds((needed - it.tokens) / per_s) : limits.window;
    return token_grant{0, std::max(window_end, refill)};
}

void add_loan(quota_account &it, std::uint32_t tokens, time_point expires)
{
    auto later = std::upper_bound(
        it.loans.begin(), it.loans.end(), expires,
        [](time_point when, const quota_loan &loan) { return when < loan.expires; });
    it.loans.insert(later, quota_loan{expires, static_cast<double>(tokens)});
}

void return_tokens(quota_account &it, duration window, std::uint32_t tokens, duration age)
{
    std::int64_t slots = slots_of(age, window);
    if (slots > static_cast<std::int64_t>(slots_per_window)) {
        return;
    }
    it.used[index_of(it.newest - slots)] -= tokens;
    it.sum -= tokens;
    it.tokens += tokens;
}

quota_history history_of(const quota_account &it)
{
    quota_history out{it.share, it.tokens, {}};
    auto slots = static_cast<std::int64_t>(slots_per_window);
    for (std::int64_t i = it.newest - slots; i <= it.newest + slots; ++i) {
        out.used.push_back(it.used[index_of(i)]);
    }
    while (!out.used.empty() && out.used.back() == 0) {
        out.used.pop_back();
    }
    return out;
}

bool is_valid(const quota_history &it)
{
    return it.share > 0 && it.share <= 1 && std::isfinite(it.tokens) &&
           it.used.size() <= slots_kept &&
           std::all_of(it.used.begin(), it.used.end(), [](double n) { return std::isfinite(n); });
}

void adopt_history(quota_account &it, const quota_history &history)
{
    it.used.fill(0);
    it.sum = 0;
    std::int64_t slot = it.newest - static_cast<std::int64_t>(slots_per_window);
    for (double n : history.used) {
        it.used[index_of(slot++)] = n;
        it.sum += n;
    }
    it.tokens = history.tokens;
    it.share = history.share;
}

}  // namespace gullstall
