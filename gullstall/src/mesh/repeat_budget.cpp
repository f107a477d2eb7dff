#include "gullstall/src/mesh/repeat_budget.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall::mesh {

namespace {

/// Fraction of the allowed retries that is handed out as tokens. As many tokens again may
/// have been saved in the previous window.
constexpr double token_fraction = 0.5;

/// Minimum size of the bucket in tokens: a node with few requests could otherwise never
/// pay for a retry.
constexpr double min_bucket_size = 1;

void earn(retry_token_bucket &it, double repeats)
{
    it.earned += repeats;
    it.tokens = std::min(it.tokens + repeats, std::max(it.earned, min_bucket_size));
}

}  // namespace

void earn_retry_tokens(retry_token_bucket &it, double ratio)
{
    earn(it, token_fraction * ratio);
}

void accrue_slack_tokens(retry_token_bucket &it, const retry_slack &slack, time_point now)
{
    auto windows = static_cast<double>((now - it.accrued_at).count()) /
                   static_cast<double>(slack.window.count());
    it.accrued_at = now;
    it.earned *= std::exp(-windows);
    double window_fraction = std::min(windows, 1.0);
    earn(it, token_fraction * slack.retries * window_fraction / static_cast<double>(slack.nodes));
}

bool has_retry_tokens(const retry_token_bucket &it, double runs)
{
    return it.tokens >= runs;
}

void spend_retry_tokens(retry_token_bucket &it, double runs)
{
    it.tokens -= runs;
}

}  // namespace gullstall::mesh
