#ifndef GULLSTALL_OVERLOAD_RATE_LIMITER_HPP
#define GULLSTALL_OVERLOAD_RATE_LIMITER_HPP

#include <cstddef>
#include <optional>

#include "gullstall/core.hpp"

namespace gullstall {

/// Token bucket that holds requests to a rate that may change at any time, also to none. A
/// token admits one request.
struct rate_limiter
{
    std::optional<double> per_s;  ///< tokens per second; none: no limit
    double tokens = 0;
    time_point refilled_at{};
};

/// Sets or lifts the limit. A bucket that had no limit starts empty: how many requests were
/// admitted before is not known.
void set_rate(rate_limiter &it, std::optional<double> per_s, time_point now);

/// Adds the tokens accrued since the last call.
void refill_tokens(rate_limiter &it, time_point now);

/// \returns whether a request may be admitted
bool has_token(const rate_limiter &it);

void take_token(rate_limiter &it);

/// Puts back the token of a request that was not sent.
void return_token(rate_limiter &it);

/// \returns the time from the last refill until a request that has \a ahead others before it
/// is admitted
duration token_wait(const rate_limiter &it, std::size_t ahead);

}  // namespace gullstall

#endif
