#include "gullstall/src/mesh/return_time.hpp"

#include <algorithm>

#include "gullstall/core.hpp"

namespace gullstall::mesh {

namespace {

/// Part of the time left within which a caller comes back while there is too much load.
constexpr double soon_part = 0.1;

/// Part of the time left within which a caller comes back at all: later it would give
/// up instead.
constexpr double latest_part = 0.3;

/// Part of the latest time at which the earliest come back.
constexpr double earliest_part = 0.25;

duration part_of(duration it, double part)
{
    return duration(static_cast<std::int64_t>(part * static_cast<double>(it.count())));
}

}  // namespace

duration latest_return_time(const refusal &it)
{
    duration soon = part_of(it.left, soon_part);
    duration latest = part_of(it.left, latest_part);
    return std::max(duration{}, std::min(latest, std::max(soon, it.until_better)));
}

duration draw_return_time(const refusal &it, random_source &random)
{
    double part = earliest_part + (1 - earliest_part) * draw_fraction(random);
    return part_of(latest_return_time(it), part);
}

}  // namespace gullstall::mesh
