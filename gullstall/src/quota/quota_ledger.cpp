#include "gullstall/src/quota/quota_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall {

namespace {

/// Fraction of overage and slack that the keepers hand out.
constexpr double used_tolerance = 0.7;

/// Time after a change of the members in which other nodes may still ask the previous
/// keeper.
constexpr duration handover_time = milliseconds(500);

std::size_t index_of(std::int64_t slot)
{
    return static_cast<std::size_t>(slot) % (slots_per_window + 1);
}

duration slot_length(duration window)
{
    return window / slots_per_window;
}

std::int64_t slot_at(time_point at, duration window)
{
    return at.time_since_epoch() / slot_length(window);
}

/// Forgets the slots that no window with the current one includes.
void advance(quota_account &it, std::int64_t slot)
{
    auto slots = static_cast<std::int64_t>(it.used.size());
    std::int64_t first = std::max(it.newest + 1, slot - slots + 1);
    for (std::int64_t i = first; i <= slot; ++i) {
        it.sum -= it.used[index_of(i)];
        it.used[index_of(i)] = 0;
    }
    it.newest = std::max(it.newest, slot);
}

/// Counts the tokens that a previous keeper may have handed out until \a end.
void assume_used(quota_account &it, double limit, std::int64_t end)
{
    double per_slot = limit / static_cast<double>(it.used.size());
    auto slots = static_cast<std::int64_t>(it.used.size());
    for (std::int64_t i = it.newest - slots + 1; i <= std::min(it.newest, end); ++i) {
        it.used[index_of(i)] = per_slot;
        it.sum += per_slot;
    }
}

/// \returns the time until \a missing tokens are available
duration time_until(const quota_account &it, double missing, duration window)
{
    auto slots = static_cast<std::int64_t>(it.used.size());
    std::int64_t waited = 0;
    for (std::int64_t i = it.newest - slots + 1; i <= it.newest && missing > 0; ++i) {
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
                        share * burst, terms.window};
}

quota_account &open_account(quota_ledger &it, const std::string &customer,
                            const quota_limits &limits, time_point now)
{
    auto [found, is_new] = it.accounts.try_emplace(customer);
    quota_account &out = found->second;
    std::int64_t slot = slot_at(now, limits.window);
    if (is_new) {
        time_point handed_over = it.members_since + handover_time;
        out.newest = slot;
        out.refilled_at = std::min(now, handed_over);
        assume_used(out, limits.in_window, slot_at(handed_over, limits.window));
    }
    advance(out, slot);
    double per_s = limits.in_window / to_seconds(limits.window);
    out.tokens += per_s * std::max(0.0, to_seconds(now - out.refilled_at));
    out.tokens = std::min(out.tokens, limits.burst);
    out.refilled_at = std::max(out.refilled_at, now);
    return out;
}

double available_tokens(const quota_account &it, const quota_limits &limits)
{
    return std::max(0.0, std::min(it.tokens, limits.in_window - it.sum));
}

token_grant draw_tokens(quota_account &it, const quota_limits &limits, const token_request &request)
{
    double available = std::floor(std::max(0.0, available_tokens(it, limits) - request.reserve));
    double granted = std::min(available, static_cast<double>(request.tokens));
    it.used[index_of(it.newest)] += granted;
    it.sum += granted;
    it.tokens -= granted;
    if (granted > 0) {
        return token_grant{static_cast<std::uint32_t>(granted), {}};
    }
    double needed = 1 + request.reserve;
    duration window_end = time_until(it, needed + it.sum - limits.in_window, limits.window);
    double per_s = limits.in_window / to_seconds(limits.window);
    duration refill = per_s > 0 ? from_seconds((needed - it.tokens) / per_s) : limits.window;
    return token_grant{0, std::max(window_end, refill)};
}

void add_tokens(quota_account &it, std::uint32_t tokens)
{
    it.used[index_of(it.newest)] -= tokens;
    it.sum -= tokens;
    it.tokens += tokens;
}

}  // namespace gullstall
