#ifndef GULLSTALL_MESH_RETURN_TIME_HPP
#define GULLSTALL_MESH_RETURN_TIME_HPP

#include "gullstall/core.hpp"

namespace gullstall::mesh {

/// What decides when a refused caller should come back.
struct refusal
{
    duration left{};  ///< time that the caller still has
    /// Time until a return may find what is missing now: until every upstream has had its
    /// turn to announce itself to a node that has just started, or as late as possible
    /// where upstreams turn calls away. 0 or less: any moment is as good.
    duration until_better{};

    bool operator==(const refusal &) const = default;
};

/// \returns when a refused caller should come back, spread so that callers refused
/// together don't return together. Load: an overload that lasts, where each moment is
/// as good as the next, and a caller that comes back soon is still answered in time;
/// the first second after a loss of power, where nothing can be served before the
/// upstreams are heard; and upstreams that turn calls away for seconds, where a soon
/// return meets the same.
duration draw_return_time(const refusal &it, random_source &random);

/// \returns the latest time of all that draw_return_time may give
duration latest_return_time(const refusal &it);

}  // namespace gullstall::mesh

#endif
