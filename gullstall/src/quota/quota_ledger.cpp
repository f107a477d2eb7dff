#include "gullstall/src/quota/quota_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall {

namespace {

/// Fraction of the tolerance that the keepers hand out.
constexpr double used_tolerance = 0.5;

/// Time after a change of the members in which a new keeper hands out no tokens: the other
/// nodes learn of the change within this time and may ask the previous keeper until then.
constexpr duration handover_time = milliseconds(500);

/// Longest time until the next token that is reported.
constexpr duration max_retry_after = seconds(60);

}  // namespace

token_rate token_rate_of(const request_quota &quota, const quota_tolerance &tolerance, double share)
{
    double factor = 1 + used_tolerance * tolerance.overage;
    return token_rate{share * quota.rate_per_s * factor,
                      share * (quota.burst * factor + used_tolerance * tolerance.slack)};
}

quota_account &refill_account(quota_ledger &it, const std::string &customer, const token_rate &rate,
                              time_point now)
{
    auto [found, is_new] = it.accounts.try_emplace(customer);
    quota_account &out = found->second;
    if (is_new) {
        out.refilled_at = std::min(now, it.members_since + handover_time);
    }
    out.tokens += rate.per_s * std::max(0.0, to_seconds(now - out.refilled_at));
    out.tokens = std::min(out.tokens, rate.capacity);
    out.refilled_at = std::max(out.refilled_at, now);
    return out;
}

token_grant draw_tokens(quota_account &it, const token_rate &rate, const token_request &request)
{
    double available = std::floor(std::max(0.0, it.tokens - request.reserve));
    auto granted = static_cast<std::uint32_t>(
        std::min(available, static_cast<double>(request.tokens)));
    it.tokens -= granted;
    if (granted > 0) {
        return token_grant{granted, {}};
    }
    double missing = 1 + request.reserve - it.tokens;
    double wait_s = rate.per_s > 0 ? missing / rate.per_s : to_seconds(max_retry_after);
    return token_grant{0, std::min(max_retry_after, from_seconds(wait_s))};
}

void add_tokens(quota_account &it, std::uint32_t tokens)
{
    it.tokens += tokens;
}

}  // namespace gullstall
