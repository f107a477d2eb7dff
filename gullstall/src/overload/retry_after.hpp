#ifndef GULLSTALL_OVERLOAD_RETRY_AFTER_HPP
#define GULLSTALL_OVERLOAD_RETRY_AFTER_HPP

#include <algorithm>
#include <cstdint>

#include "gullstall/src/core/random.hpp"

namespace gullstall {

/// Shortest advice on when to come back, milliseconds.
constexpr std::uint32_t base_retry_after_ms = 500;

/// Classes beyond the level that still lengthen the advice.
constexpr double most_classes_beyond = 7;

/// Advises a refused caller when to come back: the later the further the level
/// is from its request, and spread over as long a time again, so that callers
/// refused together do not come back together.
/// \param classes_beyond how far the request is beyond the level
/// \returns milliseconds
inline std::uint32_t draw_retry_after_ms(random_source &random, double classes_beyond)
{
    double beyond = std::clamp(classes_beyond, 0.0, most_classes_beyond);
    auto least = static_cast<std::uint32_t>(base_retry_after_ms * (1 + beyond));
    return least + static_cast<std::uint32_t>(draw_below(random, least));
}

}  // namespace gullstall

#endif
