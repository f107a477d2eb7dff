#ifndef GULLSTALL_CORE_RANDOM_HPP
#define GULLSTALL_CORE_RANDOM_HPP

#include <cstdint>
#include <random>

namespace gullstall {

/// Seeded generator that is handed to every decision that draws.
using random_source = std::mt19937_64;

/// \returns a number in [0, n); \a n must be above 0
inline std::uint64_t draw_below(random_source &random, std::uint64_t n)
{
    return random() % n;
}

/// \returns a number in [0, 1)
inline double draw_fraction(random_source &random)
{
    constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(random() >> 11U) * scale;
}

}  // namespace gullstall

#endif
