#include "gullstall/src/overload/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall {

namespace {

/// Time for which unused tokens are kept. It evens out arrivals that are random in time.
constexpr double burst_s = 0.25;

/// Lowest rate. At a limit of zero a request is still admitted now and then, since only a
/// response can raise the limit.
constexpr double min_per_s = 0.5;

/// Tolerance of comparisons, in tokens.
constexpr double epsilon = 1e-9;

/// Longest wait that is returned.
constexpr duration max_wait = seconds(3600);

double effective_rate(const rate_limiter &it)
{
    return std::max(*it.per_s, min_per_s);
}

double capacity(const rate_limiter &it)
{
    return std::max(1.0, effective_rate(it) * burst_s);
}

}  // namespace

void set_rate(rate_limiter &it, std::optional<double> per_s, time_point now)
{
    refill_tokens(it, now);
    bool was_limited = it.per_s.has_value();
    it.per_s = per_s;
    it.refilled_at = now;
    it.tokens = was_limited && per_s ? std::min(it.tokens, capacity(it)) : 0;
}

void refill_tokens(rate_limiter &it, time_point now)
{
    if (!it.per_s || now <= it.refilled_at) {
        return;
    }
    it.tokens =
        std::min(capacity(it), it.tokens + effective_rate(it) * to_seconds(now - it.refilled_at));
    it.refilled_at = now;
}

bool has_token(const rate_limiter &it)
{
    return !it.per_s || it.tokens >= 1 - epsilon;
}

void take_token(rate_limiter &it)
{
    if (it.per_s) {
        it.tokens = std::max(0.0, it.tokens - 1);
    }
}

void return_token(rate_limiter &it)
{
    if (it.per_s) {
        it.tokens = std::min(capacity(it), it.tokens + 1);
    }
}

duration token_wait(const rate_limiter &it, std::size_t ahead)
{
    if (!it.per_s) {
        return duration{};
    }
    double missing = static_cast<double>(ahead) + 1 - epsilon - it.tokens;
    if (missing <= 0) {
        return duration{};
    }
    double wait_us = std::ceil(missing / effective_rate(it) * 1e6);
    return std::min(
        max_wait,
        duration(static_cast<std::int64_t>(std::min(wait_us, to_seconds(max_wait) * 1e6))));
}

}  // namespace gullstall
