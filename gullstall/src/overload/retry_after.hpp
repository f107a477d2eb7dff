#ifndef GULLSTALL_OVERLOAD_RETRY_AFTER_HPP
#define GULLSTALL_OVERLOAD_RETRY_AFTER_HPP

#include <algorithm>
#include <cstdint>

#include "gullstall/src/core/random.hpp"

namespace gullstall {

/// Minimum retry delay, milliseconds.
constexpr std::uint32_t min_retry_after_ms = 500;

/// Distance from the level, in classes, beyond which the delay grows no further.
constexpr double max_classes_beyond = 7;

/// Draws the delay after which a refused caller should retry. The minimum grows
/// with the distance of the request from the admission level; jitter of up to the
/// same length keeps callers refused together from retrying together.
/// \param classes_beyond distance of the request from the level, in classes
/// \returns milliseconds
inline std::uint32_t draw_retry_after_ms(random_source &random, double classes_beyond)
{
    double beyond = std::clamp(classes_beyond, 0.0, max_classes_beyond);
    auto min_ms = static_cast<std::uint32_t>(min_retry_after_ms * (1 + beyond));
    return min_ms + static_cast<std::uint32_t>(draw_below(random, min_ms));
}

}  // namespace gullstall

#endif
