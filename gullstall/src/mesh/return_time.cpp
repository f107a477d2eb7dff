#include "gullstall/src/mesh/return_time.hpp"

#include <algorithm>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

namespace {

/// Fraction of the remaining time within which a caller retries during an overload.
constexpr double overload_delay_fraction = 0.1;

/// Fraction of the remaining time within which a caller must retry in any case: after a
/// later retry too little time would be left, and the caller would give up instead.
constexpr double max_delay_fraction = 0.3;

/// Lower bound of the delay, as a fraction of its upper bound.
constexpr double min_delay_fraction = 0.25;

duration scaled(duration it, double fraction)
{
    return duration(static_cast<std::int64_t>(fraction * static_cast<double>(it.count())));
}

}  // namespace

duration max_retry_delay(const refusal &it)
{
    duration overload_delay = scaled(it.time_left, overload_delay_fraction);
    duration max_delay = scaled(it.time_left, max_delay_fraction);
    return std::max(duration{},
                    std::min(max_delay, std::max(overload_delay, it.expected_recovery)));
}

duration draw_retry_delay(const refusal &it, random_source &random)
{
    double fraction = min_delay_fraction + (1 - min_delay_fraction) * draw_fraction(random);
    return scaled(max_retry_delay(it), fraction);
}

}  // namespace gullstall::mesh
